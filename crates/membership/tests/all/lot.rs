//! Who reads the platform.

use lovagelatch_capacity::{rig_address, rig_list};
use lovagelatch_membership::{ListKeeper, READERS_PER_ZONE, ZoneId, is_reader};

#[test]
fn readers_of_a_zone_are_constant_and_change_each_epoch() {
    for targets in [10, 50, 200] {
        let list = rig_list(8, 4, targets, 4);
        let mut keeper = ListKeeper::default();
        keeper.offer_list(&list).unwrap();
        let zone = ZoneId::new(&"zone-1".parse().unwrap());
        let draws: Vec<Vec<_>> = (0..5)
            .map(|epoch| {
                let rows = keeper.rows().iter().filter(|row| row.zone == zone);
                let drawn = rows.filter(|row| is_reader(row.control, zone, keeper.rows(), epoch));
                drawn.map(|row| row.control).collect()
            })
            .collect();
        for draw in &draws {
            assert_eq!(draw.len(), READERS_PER_ZONE, "{targets} targets");
        }
        assert!(targets == 10 || draws.windows(2).all(|pair| pair[0] != pair[1]));
    }
}

#[test]
fn process_outside_the_list_still_draws() {
    let list = rig_list(0, 1, 2, 1);
    let mut keeper = ListKeeper::default();
    keeper.offer_list(&list).unwrap();
    let zone = ZoneId::new(&"zone-0".parse().unwrap());
    assert!(is_reader(rig_address(99), zone, keeper.rows(), 1));
}
