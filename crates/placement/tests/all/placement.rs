//! The choice between the local gate and the gates of the peers.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, GateReport, PeerReport, RefusalReason};
use lovagelatch_placement::{ExchangeOutcome, PeerPlacement, PlacementChoice, PlacementSettings};

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
        ChoiceCase { name: "local gate free", own: report(1, 0), peers: vec![peer(2, report(0, 0), now)], tried: vec![], expected: own },
        ChoiceCase { name: "local gate full", own: report(3, 0), peers: vec![peer(2, report(0, 0), now)], tried: vec![], expected: two },
        ChoiceCase { name: "less queued", own: report(3, 9), peers: vec![peer(2, report(3, 6), now), peer(3, report(3, 1), now)], tried: vec![], expected: three },
        ChoiceCase { name: "local gate leaving", own: leaving, peers: vec![peer(2, report(3, 5), now)], tried: vec![], expected: two },
        ChoiceCase { name: "peer leaving", own: report(3, 9), peers: vec![peer(2, leaving, now)], tried: vec![], expected: own },
        ChoiceCase { name: "peer has a long warm-up", own: report(3, 2), peers: vec![peer(2, warming(4_000), now)], tried: vec![], expected: own },
        ChoiceCase { name: "peer is nearly warm", own: report(3, 9), peers: vec![peer(2, warming(50), now)], tried: vec![], expected: two },
        ChoiceCase { name: "same zone first", own: report(3, 3), peers: vec![far, peer(3, report(0, 0), now)], tried: vec![], expected: three },
        ChoiceCase { name: "suspected last", own: report(3, 9), peers: vec![suspected.clone(), peer(3, report(3, 8), now)], tried: vec![], expected: three },
        ChoiceCase { name: "suspected rather than none", own: report(3, 0), peers: vec![suspected], tried: vec![agent(1)], expected: two },
        ChoiceCase { name: "tried peers are excluded", own: report(3, 0), peers: vec![peer(2, report(0, 0), now), peer(3, report(3, 9), now)], tried: vec![agent(1), agent(2)], expected: three },
        ChoiceCase { name: "all tried", own: report(3, 0), peers: vec![peer(2, report(0, 0), now)], tried: vec![agent(1), agent(2)], expected: none },
        ChoiceCase { name: "no gate meets the deadline", own: report(3, 900), peers: vec![peer(2, report(3, 800), now)], tried: vec![], expected: own },
    ];
    for case in cases {
        let mut placement = new_placement();
        let choice = placement.choose(&case.own, &case.peers, &case.tried, TIME_LEFT, now);
        assert_eq!(choice, case.expected, "{}", case.name);
    }
}

// Guards against a burst that is sent to the one peer with the best report: a hundred requests
// arrive before its next report, and requests sent since the last one are not counted.
#[test]
fn requests_sent_since_a_report_count() {
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
            placement.record_sent(chosen, now);
            sent[usize::from(chosen.0.ip().octets()[3])] += 1;
        }
        let is_even = sent[2..].iter().all(|count| expected.contains(count));
        assert!(is_even, "{name}: {sent:?}");
    }
}

// Guards against an overloaded target while others are idle: its heartbeats and answers always
// report "idle", and reports take precedence over measured response times and refusals.
#[test]
fn measured_times_and_refusals_override_a_false_report() {
    let slow = ExchangeOutcome::Answered {
        response_time: SERVICE * 20,
        report: Some(report(0, 0)),
    };
    let refused = ExchangeOutcome::Refused {
        reason: RefusalReason::TooLate,
        retry_after: millis(800),
    };
    let usual = ExchangeOutcome::Answered {
        response_time: SERVICE,
        report: Some(report(3, 1)),
    };
    for outcome in [slow, refused, ExchangeOutcome::Lost] {
        let mut placement = new_placement();
        for _ in 0..10 {
            placement.record_outcome(agent(2), outcome, at(1_000));
            placement.record_outcome(agent(3), usual, at(1_000));
        }
        let now = at(1_010);
        let peers = [peer(2, report(0, 0), now), peer(3, report(3, 1), now)];
        let choice = placement.choose(&report(3, 9), &peers, &[], TIME_LEFT, now);
        assert_eq!(choice, PlacementChoice::Peer(agent(3)), "{outcome:?}");
    }
}

// Guards against a target that is avoided forever after a minute of slowness: no request is sent to
// it, so its response times are never measured again, and the old ones do not decay.
#[test]
fn slow_response_times_decay() {
    let mut placement = new_placement();
    for _ in 0..10 {
        for (number, response_time) in [(2, SERVICE * 20), (3, SERVICE)] {
            let outcome = ExchangeOutcome::Answered {
                response_time,
                report: None,
            };
            placement.record_outcome(agent(number), outcome, at(0));
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

// Guards against queueing at a target whose latest answer reported a long queue: a delayed
// heartbeat, made before that answer, arrives after it, says "idle", and is taken for newer.
#[test]
fn the_load_from_an_answer_overrides_a_heartbeat_just_after() {
    let mut placement = new_placement();
    let outcome = ExchangeOutcome::Answered {
        response_time: SERVICE,
        report: Some(report(3, 12)),
    };
    placement.record_outcome(agent(2), outcome, at(1_000));
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

// Guards against requests sent to a leaving target or queued at a restarting one. An answer reports
// the target as open and a later heartbeat reports it as leaving or warming, or the other way
// round; the load of the answer takes precedence, but its condition must not.
#[test]
fn the_condition_received_last_counts() {
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
            let outcome = ExchangeOutcome::Answered {
                response_time: SERVICE,
                report: Some(answer),
            };
            placement.record_outcome(agent(2), outcome, at(answered));
            let peers = [peer(2, heartbeat, at(received))];
            let choice = placement.choose(&report(3, 3), &peers, &[], TIME_LEFT, at(1_200));
            assert_eq!(choice, expected, "{name}, {:?}", closed.condition);
        }
    }
}

#[test]
fn equal_gates_get_equal_shares_although_the_local_one_is_nearest() {
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
