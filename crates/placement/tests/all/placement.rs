//! The choice between the own gate and the peers'.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, GateReport, PeerReport, RefusalReason};
use lovagelatch_placement::{ExchangeEnd, PeerPlacement, PlacementChoice, PlacementSettings};

use crate::support::{SERVICE, agent, at, millis, peer, report};

const TIME_LEFT: Duration = Duration::from_secs(5);

fn new_placement() -> PeerPlacement {
    let zone = "lahore-a".parse().expect("a valid name");
    PeerPlacement::new(PlacementSettings::new(agent(1), zone))
}

fn with_condition(report: GateReport, condition: GateCondition) -> GateReport {
    GateReport {
        condition,
        ..report
    }
}

struct ChoiceCase {
    name: &'static str,
    own: GateReport,
    peers: Vec<PeerReport>,
    tried: Vec<AgentAddress>,
    expected: PlacementChoice,
}

#[test]
fn a_choice_follows_the_least_expected_cost() {
    let now = at(1_000);
    let leaving = with_condition(report(0, 0), GateCondition::Leaving);
    let warming = |left| {
        let condition = GateCondition::Warming {
            remaining: millis(left),
        };
        with_condition(report(0, 0), condition)
    };
    let far = PeerReport {
        zone: "lahore-b".parse().expect("a valid name"),
        ..peer(2, report(0, 0), now)
    };
    let suspected = PeerReport {
        suspected: true,
        ..peer(2, report(0, 0), now)
    };
    let two = PlacementChoice::Peer(agent(2));
    let three = PlacementChoice::Peer(agent(3));
    let own = PlacementChoice::Own;
    let none = PlacementChoice::Refuse {
        reason: RefusalReason::Full,
        retry_after: Duration::from_secs(1),
    };
    #[rustfmt::skip]
    let cases = [
        ChoiceCase { name: "own gate free", own: report(1, 0), peers: vec![peer(2, report(0, 0), now)], tried: vec![], expected: own },
        ChoiceCase { name: "own gate full", own: report(3, 0), peers: vec![peer(2, report(0, 0), now)], tried: vec![], expected: two },
        ChoiceCase { name: "less queued", own: report(3, 9), peers: vec![peer(2, report(3, 6), now), peer(3, report(3, 1), now)], tried: vec![], expected: three },
        ChoiceCase { name: "own gate leaving", own: leaving, peers: vec![peer(2, report(3, 5), now)], tried: vec![], expected: two },
        ChoiceCase { name: "peer leaving", own: report(3, 9), peers: vec![peer(2, leaving, now)], tried: vec![], expected: own },
        ChoiceCase { name: "peer warms long", own: report(3, 2), peers: vec![peer(2, warming(4_000), now)], tried: vec![], expected: own },
        ChoiceCase { name: "peer is nearly warm", own: report(3, 9), peers: vec![peer(2, warming(50), now)], tried: vec![], expected: two },
        ChoiceCase { name: "same zone first", own: report(3, 3), peers: vec![far, peer(3, report(0, 0), now)], tried: vec![], expected: three },
        ChoiceCase { name: "suspected last", own: report(3, 9), peers: vec![suspected.clone(), peer(3, report(3, 8), now)], tried: vec![], expected: three },
        ChoiceCase { name: "suspected before none", own: report(3, 0), peers: vec![suspected], tried: vec![agent(1)], expected: two },
        ChoiceCase { name: "tried left out", own: report(3, 0), peers: vec![peer(2, report(0, 0), now), peer(3, report(3, 9), now)], tried: vec![agent(1), agent(2)], expected: three },
        ChoiceCase { name: "all tried", own: report(3, 0), peers: vec![peer(2, report(0, 0), now)], tried: vec![agent(1), agent(2)], expected: none },
        ChoiceCase { name: "hopeless everywhere", own: report(3, 900), peers: vec![peer(2, report(3, 800), now)], tried: vec![], expected: own },
    ];
    for case in cases {
        let mut placement = new_placement();
        let choice = placement.choose(&case.own, &case.peers, &case.tried, TIME_LEFT, now);
        assert_eq!(choice, case.expected, "{}", case.name);
    }
}

// Symptom: all requests of a burst go to the one peer whose report was best.
// Sequence: a report says "idle"; a hundred requests come before the next report.
// Cause: what was sent since the report was not counted.
#[test]
fn what_was_sent_since_a_report_counts() {
    let now = at(1_000);
    let reports = [
        (
            "idle",
            [report(0, 0), report(1, 0), report(1, 0)],
            30,
            8..=12,
        ),
        (
            "one slot free",
            [report(2, 0), report(3, 0), report(3, 0)],
            3,
            1..=1,
        ),
    ];
    for (name, reports, requests, expected) in reports {
        let mut placement = new_placement();
        let peers = [2, 3, 4].map(|number| {
            let report = reports[usize::from(number) - 2];
            peer(number, report, now)
        });
        let mut sent = [0_u32; 5];
        for _ in 0..requests {
            let choice = placement.choose(&report(3, 30), &peers, &[], TIME_LEFT, now);
            let PlacementChoice::Peer(chosen) = choice else {
                panic!("{name}: {choice:?}");
            };
            placement.sent(chosen, now);
            sent[usize::from(chosen.0.ip().octets()[3])] += 1;
        }
        let is_even = sent[2..].iter().all(|count| expected.contains(count));
        assert!(is_even, "{name}: {sent:?}");
    }
}

// Symptom: one target is overrun while the others idle.
// Sequence: its reports say "idle" for ever, heartbeats and answers alike.
// Cause: reports were believed against what own exchanges showed.
#[test]
fn measured_times_and_refusals_outrank_a_false_report() {
    let slow = ExchangeEnd::Answered {
        took: SERVICE * 20,
        report: Some(report(0, 0)),
    };
    let refused = ExchangeEnd::Refused {
        reason: RefusalReason::TooLate,
        retry_after: millis(800),
    };
    let usual = ExchangeEnd::Answered {
        took: SERVICE,
        report: Some(report(3, 1)),
    };
    for evidence in [slow, refused, ExchangeEnd::Lost] {
        let mut placement = new_placement();
        for _ in 0..10 {
            placement.observed(agent(2), evidence, at(1_000));
            placement.observed(agent(3), usual, at(1_000));
        }
        let now = at(1_010);
        let peers = [peer(2, report(0, 0), now), peer(3, report(3, 1), now)];
        let choice = placement.choose(&report(3, 9), &peers, &[], TIME_LEFT, now);
        assert_eq!(choice, PlacementChoice::Peer(agent(3)), "{evidence:?}");
    }
}

// Symptom: a target that was slow for a minute is avoided for ever.
// Sequence: its times were bad, so nothing is sent there, so its times are never measured anew.
// Cause: measured times did not age.
#[test]
fn bad_times_are_forgiven() {
    let mut placement = new_placement();
    for _ in 0..10 {
        for (number, took) in [(2, SERVICE * 20), (3, SERVICE)] {
            let end = ExchangeEnd::Answered { took, report: None };
            placement.observed(agent(number), end, at(0));
        }
    }
    let chosen = |placement: &mut PeerPlacement, now| {
        let peers = [peer(2, report(0, 0), now), peer(3, report(3, 3), now)];
        placement.choose(&report(3, 9), &peers, &[], TIME_LEFT, now)
    };
    assert_eq!(
        chosen(&mut placement, at(1_000)),
        PlacementChoice::Peer(agent(3))
    );
    assert_eq!(
        chosen(&mut placement, at(300_000)),
        PlacementChoice::Peer(agent(2))
    );
}

// Symptom: requests queue at a target whose last answer showed a long queue.
// Sequence: a heartbeat made before that answer comes after it and says "idle".
// Cause: a heartbeat's time on the way is unknown, and the latest to come was believed.
#[test]
fn the_load_that_came_with_an_answer_outranks_a_heartbeat_just_after() {
    let mut placement = new_placement();
    let end = ExchangeEnd::Answered {
        took: SERVICE,
        report: Some(report(3, 12)),
    };
    placement.observed(agent(2), end, at(1_000));
    let chosen = |placement: &mut PeerPlacement, received| {
        let peers = [peer(2, report(0, 0), at(received))];
        placement.choose(&report(3, 1), &peers, &[], TIME_LEFT, at(received))
    };
    assert_eq!(chosen(&mut placement, 1_100), PlacementChoice::Own);
    assert_eq!(
        chosen(&mut placement, 9_000),
        PlacementChoice::Peer(agent(2))
    );
}

// Symptom: requests go to a target that leaves, or wait for one that starts anew.
// Sequence: an answer shows it open; then its heartbeat says that it leaves or warms, or the
// other way round. Cause: the load of the answer outranks the heartbeat's, and took the
// condition with it.
#[test]
fn the_condition_told_last_counts() {
    let warming = GateCondition::Warming {
        remaining: millis(4_000),
    };
    for closed in [GateCondition::Leaving, warming] {
        let (open, closed) = (report(0, 0), with_condition(report(0, 0), closed));
        #[rustfmt::skip]
        let cases = [
            ("heartbeat closes", (open, 1_000), (closed, 1_100), PlacementChoice::Own),
            ("answer closes", (closed, 1_100), (open, 1_000), PlacementChoice::Own),
            ("heartbeat opens", (closed, 1_000), (open, 1_100), PlacementChoice::Peer(agent(2))),
            ("answer opens", (open, 1_100), (closed, 1_000), PlacementChoice::Peer(agent(2))),
        ];
        for (name, (answer, answered), (heartbeat, received), expected) in cases {
            let mut placement = new_placement();
            let end = ExchangeEnd::Answered {
                took: SERVICE,
                report: Some(answer),
            };
            placement.observed(agent(2), end, at(answered));
            let peers = [peer(2, heartbeat, at(received))];
            let choice = placement.choose(&report(3, 3), &peers, &[], TIME_LEFT, at(1_200));
            assert_eq!(choice, expected, "{name}, {:?}", closed.condition);
        }
    }
}

#[test]
fn equal_gates_get_equal_shares_although_the_own_one_is_nearest() {
    let mut placement = new_placement();
    let mut own = 0;
    for step in 0..3_000 {
        let now = at(step * 10);
        let peers = [peer(2, report(0, 0), now), peer(3, report(0, 0), now)];
        let choice = placement.choose(&report(0, 0), &peers, &[], TIME_LEFT, now);
        own += u32::from(choice == PlacementChoice::Own);
    }
    assert!((950..=1_100).contains(&own), "{own} of 3000 stayed");
}
