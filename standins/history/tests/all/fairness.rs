//! Fairness to agencies and balance between targets.

use lovagelatch_history::{BackendHistory, BackendRecord, ObservedOutcome, RunFacts, check_run};

use crate::histories::SmallHistory;

struct ShareCase {
    name: &'static str,
    /// For each agency: its name, the number of requests, and how many of them are served.
    agencies: &'static [(&'static str, u32, u32)],
    worst: f64,
}

#[test]
fn works_out_the_worst_share() {
    let cases = [
        ShareCase {
            name: "all served",
            agencies: &[("amritsar", 10, 10), ("ludhiana", 40, 40)],
            worst: 1.0,
        },
        ShareCase {
            name: "the agency with low demand is served in full",
            agencies: &[("amritsar", 10, 10), ("ludhiana", 90, 40)],
            worst: 1.0,
        },
        ShareCase {
            name: "the agency with low demand is starved",
            agencies: &[("amritsar", 10, 5), ("ludhiana", 90, 45)],
            worst: 0.5,
        },
        ShareCase {
            name: "two agencies that overload the service, unevenly served",
            agencies: &[("amritsar", 100, 10), ("ludhiana", 100, 30)],
            worst: 0.5,
        },
    ];
    for case in cases {
        let mut history = SmallHistory::new();
        for (agency, sent, served) in case.agencies {
            for number in 0..*sent {
                let request = format!("{agency}-{number}");
                history = history.sent_to("claims", &request, None, Some(agency));
                if number < *served {
                    history = history.started(1_000.0, &request, None);
                    history = history.ended(2_000.0, &request, ObservedOutcome::Done);
                }
            }
        }
        let worst = history.check().agency_worst_share;
        assert!((worst - case.worst).abs() < 1e-9, "{}: {worst}", case.name);
    }
}

/// Returns the history of a target that runs one request, from 1 ms after it is ready.
fn busy_target(target: &str, ready_ms: f64, held_ms: f64) -> BackendHistory {
    let records = vec![
        BackendRecord::Ready {
            time_ms: ready_ms,
            target: target.to_owned(),
            service: "claims".to_owned(),
            slots: 3,
        },
        start(1, ready_ms + 1.0),
        end(1, held_ms),
    ];
    BackendHistory::new(records).expect("a history with a ready record")
}

fn start(run: u64, time_ms: f64) -> BackendRecord {
    BackendRecord::Start {
        time_ms,
        run,
        attempt: None,
        request: None,
        filing: None,
        feed: false,
    }
}

fn end(run: u64, held_ms: f64) -> BackendRecord {
    BackendRecord::End {
        time_ms: 9_000.0,
        run,
        held_ms,
    }
}

fn imbalance(backends: &[BackendHistory]) -> f64 {
    let facts = RunFacts {
        ended_ms: 10_000.0,
        ..RunFacts::default()
    };
    check_run(&[], backends, &facts).imbalance["claims"]
}

#[test]
fn works_out_imbalance_by_time_in_service() {
    let even = [
        busy_target("a", 0.0, 1_000.0),
        busy_target("b", 5_000.0, 500.0),
    ];
    assert!((imbalance(&even) - 1.0).abs() < 1e-9);
    let uneven = [
        busy_target("a", 0.0, 3_000.0),
        busy_target("b", 0.0, 1_000.0),
    ];
    assert!((imbalance(&uneven) - 1.5).abs() < 1e-9);
    // The target accepts work for half of the time. A run that it starts later, within the grace
    // period, is not counted.
    let mut left = busy_target("b", 0.0, 500.0);
    left.records
        .push(BackendRecord::Leaving { time_ms: 5_000.0 });
    left.records.extend([start(2, 5_500.0), end(2, 900.0)]);
    let even = [busy_target("a", 0.0, 1_000.0), left];
    assert!((imbalance(&even) - 1.0).abs() < 1e-9);
}
