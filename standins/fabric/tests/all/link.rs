//! The fate of one datagram.

use std::time::Duration;

use lovagelatch_fabric::{FabricTopology, FaultPlan, LinkFate, decide_fate};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::StdRng;

const DELAY: Duration = Duration::from_millis(1);
const DATAGRAMS: usize = 10_000;

fn fates(plan: &FaultPlan, seed: u64) -> Vec<LinkFate> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..DATAGRAMS)
        .map(|_| decide_fate(plan, DELAY, &mut rng))
        .collect()
}

#[test]
fn fates_follow_the_plan() {
    struct FateCase {
        name: &'static str,
        plan: FaultPlan,
        lost: f64,
        doubled: f64,
        late: f64,
    }
    let cases = [
        FateCase {
            name: "in order",
            plan: FaultPlan::default(),
            lost: 0.0,
            doubled: 0.0,
            late: 0.0,
        },
        FateCase {
            name: "all lost",
            plan: FaultPlan {
                drop: 1.0,
                ..FaultPlan::default()
            },
            lost: 1.0,
            doubled: 0.0,
            late: 0.0,
        },
        FateCase {
            name: "shares",
            plan: FaultPlan {
                drop: 0.1,
                duplicate: 0.2,
                reorder: 0.3,
                ..FaultPlan::default()
            },
            lost: 0.1,
            doubled: 0.18,
            late: 0.27,
        },
    ];
    for case in cases {
        let fates = fates(&case.plan, 1);
        let share = |fits: &dyn Fn(&LinkFate) -> bool| {
            fates.iter().filter(|fate| fits(fate)).count() as f64 / DATAGRAMS as f64
        };
        let near = |found: f64, wanted: f64| (found - wanted).abs() < 0.02;
        assert!(
            near(share(&|fate| fate.copies.is_empty()), case.lost),
            "{}",
            case.name
        );
        assert!(
            near(share(&|fate| fate.copies.len() == 2), case.doubled),
            "{}",
            case.name
        );
        assert!(
            near(share(&|fate| fate.reordered), case.late),
            "{}",
            case.name
        );
    }
}

#[test]
fn equal_seeds_draw_equal_fates() {
    let plan = FaultPlan {
        drop: 0.5,
        reorder: 0.5,
        ..FaultPlan::default()
    };
    assert_eq!(fates(&plan, 7), fates(&plan, 7));
    assert_ne!(fates(&plan, 7), fates(&plan, 8));
}

#[test]
fn only_different_zones_are_apart() {
    let text = r#"{"zones":{"127.0.0.1:1":"a","127.0.0.1:2":"a","127.0.0.1:3":"b"},
        "zone_delay_us":1500}"#;
    let topology: FabricTopology = serde_json::from_str(text).expect("a topology");
    let delay = |source: &str, destination: &str| {
        let address = |text: &str| text.parse().expect("an address");
        topology.delay_between(address(source), address(destination))
    };
    assert_eq!(delay("127.0.0.1:1", "127.0.0.1:2"), Duration::ZERO);
    assert_eq!(
        delay("127.0.0.1:1", "127.0.0.1:3"),
        Duration::from_micros(1_500)
    );
    assert_eq!(delay("127.0.0.1:1", "127.0.0.1:9"), Duration::ZERO);
}

#[test]
fn a_cut_is_one_way() {
    let text = r#"{"cut_zones":[["a","b"]]}"#;
    let plan: FaultPlan = serde_json::from_str(text).expect("a plan");
    assert!(plan.is_cut("a", "b"));
    assert!(!plan.is_cut("b", "a"));
    assert!(serde_json::from_str::<FaultPlan>(r#"{"dorp":1}"#).is_err());
}

quickcheck! {
    fn any_shares_give_a_fate(drop: f64, duplicate: f64, reorder: f64) -> bool {
        let plan = FaultPlan { drop, duplicate, reorder, ..FaultPlan::default() };
        let mut rng = StdRng::seed_from_u64(1);
        decide_fate(&plan, DELAY, &mut rng).copies.len() <= 2
    }
}
