//! Tests of the faults of one link, of zones and of cuts.

use std::time::Duration;

use lovagelatch_fabric::{FabricTopology, FaultPlan, LinkOutcome, draw_outcome};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::StdRng;

const DELAY: Duration = Duration::from_millis(1);
const DATAGRAMS: usize = 10_000;

fn outcomes(plan: &FaultPlan, seed: u64) -> Vec<LinkOutcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..DATAGRAMS)
        .map(|_| draw_outcome(plan, DELAY, &mut rng))
        .collect()
}

#[test]
fn outcomes_follow_the_plan() {
    struct OutcomeCase {
        name: &'static str,
        plan: FaultPlan,
        dropped: f64,
        duplicated: f64,
        reordered: f64,
    }
    let cases = [
        OutcomeCase {
            name: "no fault",
            plan: FaultPlan::default(),
            dropped: 0.0,
            duplicated: 0.0,
            reordered: 0.0,
        },
        OutcomeCase {
            name: "all dropped",
            plan: FaultPlan {
                drop: 1.0,
                ..FaultPlan::default()
            },
            dropped: 1.0,
            duplicated: 0.0,
            reordered: 0.0,
        },
        OutcomeCase {
            name: "shares",
            plan: FaultPlan {
                drop: 0.1,
                duplicate: 0.2,
                reorder: 0.3,
                ..FaultPlan::default()
            },
            dropped: 0.1,
            duplicated: 0.18,
            reordered: 0.27,
        },
    ];
    for case in cases {
        let outcomes = outcomes(&case.plan, 1);
        let share = |matches: &dyn Fn(&LinkOutcome) -> bool| {
            outcomes.iter().filter(|outcome| matches(outcome)).count() as f64 / DATAGRAMS as f64
        };
        let near = |actual: f64, expected: f64| (actual - expected).abs() < 0.02;
        assert!(
            near(share(&|outcome| outcome.copies.is_empty()), case.dropped),
            "{}",
            case.name
        );
        assert!(
            near(share(&|outcome| outcome.copies.len() == 2), case.duplicated),
            "{}",
            case.name
        );
        assert!(
            near(share(&|outcome| outcome.reordered), case.reordered),
            "{}",
            case.name
        );
    }
}

#[test]
fn equal_seeds_give_equal_outcomes() {
    let plan = FaultPlan {
        drop: 0.5,
        reorder: 0.5,
        ..FaultPlan::default()
    };
    assert_eq!(outcomes(&plan, 7), outcomes(&plan, 7));
    assert_ne!(outcomes(&plan, 7), outcomes(&plan, 8));
}

#[test]
fn only_different_zones_have_a_delay() {
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
    fn any_shares_give_an_outcome(drop: f64, duplicate: f64, reorder: f64) -> bool {
        let plan = FaultPlan { drop, duplicate, reorder, ..FaultPlan::default() };
        let mut rng = StdRng::seed_from_u64(1);
        draw_outcome(&plan, DELAY, &mut rng).copies.len() <= 2
    }
}
