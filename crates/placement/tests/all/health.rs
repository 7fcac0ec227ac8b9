//! When the health that a backend server reports is trusted.

use std::time::Duration;

use lovagelatch_placement::{HealthStatus, PassiveHealth, SlotOutcome, trusted_status};

use crate::support::at;

const WARMING: HealthStatus = HealthStatus::Warming(Duration::from_secs(5));
const READY: HealthStatus = HealthStatus::Ready;
const DRAINING: HealthStatus = HealthStatus::Draining;

struct HealthCase {
    name: &'static str,
    status: HealthStatus,
    previous: Option<HealthStatus>,
    /// Outcomes of own requests, each with its time in milliseconds.
    outcomes: &'static [(SlotOutcome, u64)],
    expected: Option<HealthStatus>,
}

// Guards against a health endpoint that overrides measured outcomes: one of five reads says
// "warming, 5 s" while the server answers every request, the gate stops until the next read, and
// the p99 latency nearly triples.
#[test]
fn answers_take_precedence_over_the_health_endpoint() {
    #[rustfmt::skip]
    let cases = [
        HealthCase { name: "ready", status: READY, previous: Some(WARMING), outcomes: &[], expected: Some(READY) },
        HealthCase { name: "a start", status: WARMING, previous: None, outcomes: &[], expected: Some(WARMING) },
        HealthCase { name: "answered recently", status: WARMING, previous: Some(READY), outcomes: &[(SlotOutcome::Served, 9_000)], expected: None },
        HealthCase { name: "answered recently, warming twice", status: WARMING, previous: Some(WARMING), outcomes: &[(SlotOutcome::Served, 9_000)], expected: None },
        HealthCase { name: "answered long ago", status: WARMING, previous: Some(READY), outcomes: &[(SlotOutcome::Served, 5_000)], expected: Some(WARMING) },
        HealthCase { name: "lost since", status: WARMING, previous: Some(READY), outcomes: &[(SlotOutcome::Served, 9_000), (SlotOutcome::Lost, 9_500)], expected: Some(WARMING) },
        HealthCase { name: "shed since", status: WARMING, previous: Some(READY), outcomes: &[(SlotOutcome::Served, 9_000), (SlotOutcome::Shed, 9_500)], expected: Some(WARMING) },
        HealthCase { name: "answered after a loss", status: WARMING, previous: Some(READY), outcomes: &[(SlotOutcome::Lost, 9_000), (SlotOutcome::Served, 9_500)], expected: None },
        HealthCase { name: "a caller left since", status: WARMING, previous: Some(READY), outcomes: &[(SlotOutcome::Served, 9_000), (SlotOutcome::Abandoned, 9_500)], expected: None },
        HealthCase { name: "draining once", status: DRAINING, previous: Some(READY), outcomes: &[], expected: None },
        HealthCase { name: "draining at the first read", status: DRAINING, previous: None, outcomes: &[], expected: None },
        HealthCase { name: "draining twice", status: DRAINING, previous: Some(DRAINING), outcomes: &[(SlotOutcome::Served, 9_900)], expected: Some(DRAINING) },
    ];
    for case in cases {
        let mut passive = PassiveHealth::default();
        for (outcome, millis) in case.outcomes {
            passive.record(*outcome, at(*millis));
        }
        let trusted = trusted_status(case.status, case.previous, passive, at(10_000));
        assert_eq!(trusted, case.expected, "{}", case.name);
    }
}
