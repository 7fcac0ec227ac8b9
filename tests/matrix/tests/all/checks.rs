//! Each check on a history that violates its guarantee, and on a similar one that does not.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use lovagelatch_history::{BackendHistory, BackendRecord};
use lovagelatch_matrix::{AgentStart, GUARANTEES, MatrixEvent, MatrixHistory, RunHistory};

const CLAIMS: ServiceId = ServiceId(1);
const MAPS: ServiceId = ServiceId(2);

fn agent(number: u16) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + number))
}

fn start(number: u16) -> AgentStart {
    AgentStart {
        agent: agent(number),
        start: 1,
    }
}

fn opened() -> MatrixEvent {
    MatrixEvent::FlowOpened {
        flow: 1,
        service: Some(CLAIMS),
    }
}

fn held() -> MatrixEvent {
    MatrixEvent::FlowHeld {
        flow: 1,
        holder: start(1),
    }
}

fn accepted(by: u16, service: ServiceId) -> MatrixEvent {
    MatrixEvent::PacketAccepted {
        flow: 1,
        receiver: start(by),
        service,
        open: true,
    }
}

fn applied(revision: u64, valid: bool) -> MatrixEvent {
    MatrixEvent::ConfigApplied {
        node: 1,
        start: 1,
        revision,
        valid,
    }
}

fn propagation_due(missing: usize, seconds: u64) -> MatrixEvent {
    MatrixEvent::PropagationDue {
        revision: 2,
        missing,
        reachable_for: Duration::from_secs(seconds),
    }
}

fn wrong_view(gone: bool) -> MatrixEvent {
    MatrixEvent::WrongView {
        agent: agent(1),
        gone,
    }
}

struct CheckCase {
    guarantee: &'static str,
    /// Events, at one per second.
    violating: Vec<MatrixEvent>,
    valid: Vec<MatrixEvent>,
}

fn flow_cases() -> Vec<CheckCase> {
    let reset = || MatrixEvent::FlowReset { flow: 1 };
    let silent = || MatrixEvent::FlowTimedOut { flow: 1 };
    let ended = || MatrixEvent::AgentCrashed(start(1));
    let leaving = || MatrixEvent::LeavingAnnounced(agent(1));
    vec![
        CheckCase {
            guarantee: "flow_moved_agent",
            violating: vec![opened(), held(), accepted(2, CLAIMS)],
            valid: vec![opened(), held(), accepted(1, CLAIMS)],
        },
        CheckCase {
            guarantee: "wrong_service",
            violating: vec![
                opened(),
                held(),
                MatrixEvent::AddressMoved,
                accepted(1, MAPS),
            ],
            valid: vec![
                opened(),
                held(),
                MatrixEvent::AddressMoved,
                accepted(1, CLAIMS),
            ],
        },
        CheckCase {
            guarantee: "cut",
            violating: vec![opened(), held(), wrong_view(true), reset()],
            valid: vec![opened(), held(), ended(), reset()],
        },
        CheckCase {
            guarantee: "cut",
            violating: vec![opened(), held(), wrong_view(false), reset()],
            valid: vec![
                opened(),
                held(),
                wrong_view(true),
                wrong_view(false),
                reset(),
            ],
        },
        CheckCase {
            guarantee: "flow_broken",
            violating: vec![opened(), held(), MatrixEvent::AddressMoved, silent()],
            valid: vec![opened(), held(), accepted(1, CLAIMS)],
        },
        CheckCase {
            guarantee: "dead_flow_silent",
            violating: vec![opened(), held(), ended(), silent()],
            valid: vec![opened(), held(), ended(), reset()],
        },
        CheckCase {
            guarantee: "dead_flow_silent",
            violating: vec![opened(), held(), ended(), leaving(), silent()],
            valid: vec![opened(), held(), leaving(), ended(), silent()],
        },
    ]
}

fn other_cases() -> Vec<CheckCase> {
    let announced = || MatrixEvent::LeavingAnnounced(agent(1));
    let work = |number| MatrixEvent::WorkAccepted(agent(number));
    vec![
        CheckCase {
            guarantee: "new_work_after_leaving",
            violating: vec![announced(), work(1), work(2), work(2), work(1)],
            valid: vec![announced(), work(1), work(1), work(1), work(2)],
        },
        CheckCase {
            guarantee: "revision_reverted",
            violating: vec![applied(2, true), applied(1, true)],
            valid: vec![applied(1, true), applied(2, true)],
        },
        CheckCase {
            guarantee: "invalid_in_force",
            violating: vec![applied(2, false)],
            valid: vec![applied(2, true)],
        },
        CheckCase {
            guarantee: "late_in_force",
            violating: vec![propagation_due(1, 9)],
            valid: vec![propagation_due(1, 8), propagation_due(0, 9)],
        },
    ]
}

fn history(events: &[MatrixEvent]) -> MatrixHistory {
    let mut history = MatrixHistory::default();
    for (second, event) in (0..).zip(events) {
        history.record(Moment::from_millis(second * 1_000), event.clone());
    }
    history
}

#[test]
fn each_check_detects_violations_only() {
    for case in flow_cases().into_iter().chain(other_cases()) {
        let guarantee = case.guarantee;
        let violating = history(&case.violating).violations();
        assert_eq!(
            violating.get(guarantee),
            Some(&1),
            "{guarantee}: {:?}",
            case.violating
        );
        let valid = history(&case.valid).violations();
        assert!(
            valid.is_empty(),
            "{guarantee}: {valid:?} in {:?}",
            case.valid
        );
    }
}

#[test]
fn a_request_started_twice_is_detected() {
    let start = |run, request: &str| BackendRecord::Start {
        time_ms: 1.0,
        run,
        attempt: None,
        request: Some(request.to_owned()),
        filing: None,
        feed: false,
    };
    for (second, count) in [("7", 1), ("8", 0)] {
        let history = MatrixHistory {
            backends: vec![BackendHistory {
                records: vec![start(1, "7"), start(2, second)],
                ..BackendHistory::default()
            }],
            ..MatrixHistory::default()
        };
        let violations = history.violations();
        assert_eq!(violations.get("ran_again").copied().unwrap_or(0), count);
    }
}

#[test]
fn each_check_of_this_package_has_a_case() {
    let cases: Vec<CheckCase> = flow_cases().into_iter().chain(other_cases()).collect();
    for (guarantee, _) in GUARANTEES {
        let covered = cases.iter().any(|case| case.guarantee == guarantee);
        assert!(covered || guarantee == "ran_again", "{guarantee}");
    }
}
