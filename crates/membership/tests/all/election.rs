//! Election of platform readers.

use lovagelatch_capacity::{rig_address, rig_list};
use lovagelatch_membership::{InstanceTable, READERS_PER_ZONE, ZoneId, is_reader};

#[test]
fn readers_of_a_zone_are_constant_and_change_each_epoch() {
    for targets in [10, 50, 200] {
        let list = rig_list(8, 4, targets, 4);
        let mut table = InstanceTable::default();
        table.offer_list(&list).unwrap();
        let zone = ZoneId::new(&"zone-1".parse().unwrap());
        let elections: Vec<Vec<_>> = (0..5)
            .map(|epoch| {
                let rows = table.rows().iter().filter(|row| row.zone == zone);
                let readers = rows.filter(|row| is_reader(row.control, zone, table.rows(), epoch));
                readers.map(|row| row.control).collect()
            })
            .collect();
        for elected in &elections {
            assert_eq!(elected.len(), READERS_PER_ZONE, "{targets} targets");
        }
        assert!(targets == 10 || elections.windows(2).all(|pair| pair[0] != pair[1]));
    }
}

#[test]
fn unlisted_process_can_be_reader() {
    let list = rig_list(0, 1, 2, 1);
    let mut table = InstanceTable::default();
    table.offer_list(&list).unwrap();
    let zone = ZoneId::new(&"zone-0".parse().unwrap());
    assert!(is_reader(rig_address(99), zone, table.rows(), 1));
}
