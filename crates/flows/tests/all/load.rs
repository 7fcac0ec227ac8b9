//! The load and health of targets as a balancer sees them.

use std::collections::BTreeMap;
use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_flows::{FlowTarget, LoadReport, LoadTable, ZoneIndex};

use crate::support::{agent, at, claims, claims_view, idle_load};

fn targets() -> Vec<FlowTarget> {
    let view = claims_view(2);
    let mut targets = view
        .service(claims())
        .expect("the service")
        .targets()
        .to_vec();
    targets.sort_by_key(|target| target.agent);
    targets
}

/// The score without its random part; zone 0 is the balancer's own.
fn score(loads: &LoadTable, target: &FlowTarget, millis: u64) -> f32 {
    loads.score(target, target.zone == ZoneIndex(0), 0.0, at(millis))
}

struct ScoreCase {
    name: &'static str,
    /// Changes the second target, which must then cost more.
    change: fn(&mut FlowTarget, &mut LoadReport),
}

#[test]
fn the_less_loaded_target_is_preferred() {
    let cases = [
        ScoreCase {
            name: "more requests in progress",
            change: |_, load| load.in_progress = 4,
        },
        ScoreCase {
            name: "more on average",
            change: |_, load| load.average_milli = 4_000,
        },
        ScoreCase {
            name: "more requests waiting at the agent",
            change: |_, load| load.waiting = 4,
        },
        ScoreCase {
            name: "more flows",
            change: |_, load| load.flows = 60,
        },
        ScoreCase {
            name: "another zone",
            change: |target, _| target.zone = ZoneIndex(1),
        },
        ScoreCase {
            name: "fewer slots",
            change: |target, _| target.slots = 1,
        },
        ScoreCase {
            name: "just started",
            change: |target, load| {
                target.warm_at = at(5_000);
                load.in_progress = 2;
            },
        },
    ];
    for case in cases {
        let mut targets = targets();
        let mut load = idle_load(agent(2));
        (case.change)(&mut targets[1], &mut load);
        let mut loads = LoadTable::default();
        loads.record_report(&idle_load(agent(1)), at(0));
        loads.record_report(&load, at(0));
        let scores = targets.iter().map(|target| score(&loads, target, 10));
        let scores: Vec<_> = scores.collect();
        assert!(scores[0] < scores[1], "{}: {scores:?}", case.name);
    }
}

/// A report of a target with a learned service time in milliseconds and requests in progress.
fn learned_load(number: u8, millis: u32, in_progress: u16) -> LoadReport {
    LoadReport {
        in_progress,
        average_milli: u32::from(in_progress) * 1_000,
        service_time_us: NonZeroU32::new(millis * 1_000),
        ..idle_load(agent(number))
    }
}

// Guards against a slow target that gets as many requests as a fast one.
#[test]
fn requests_at_a_slow_target_cost_more() {
    let targets = targets();
    let mut loads = LoadTable::default();
    loads.record_report(&learned_load(1, 20, 6), at(0));
    loads.record_report(&learned_load(2, 60, 6), at(0));
    let [fast, slow] = [0, 1].map(|index| score(&loads, &targets[index], 10));
    assert!(slow > 2.9 * fast, "{fast} {slow}");
}

// Guards against a new target, which has no learned service time yet, that is taken for a fast or a
// slow one.
#[test]
fn a_target_without_a_service_time_counts_as_the_mean() {
    let targets = targets();
    let mut loads = LoadTable::default();
    loads.record_report(&learned_load(1, 20, 6), at(0));
    loads.record_report(&learned_load(2, 80, 6), at(0));
    // Of agents that the view does not list: the geometric mean is 40 ms.
    loads.record_report(&learned_load(3, 40, 6), at(0));
    let mean = LoadReport {
        service_time_us: None,
        ..learned_load(1, 20, 6)
    };
    loads.record_report(&mean, at(0));
    loads.record_report(&learned_load(4, 20, 6), at(0));
    let unknown = score(&loads, &targets[0], 10);
    loads.record_report(&learned_load(1, 40, 6), at(0));
    let known = score(&loads, &targets[0], 10);
    assert!((unknown - known).abs() < 0.01, "{unknown} {known}");
}

// Guards against a mean that drifts or breaks as targets come, change their service and go.
#[test]
fn the_mean_of_a_service_follows_its_reports() {
    let targets = targets();
    let mut loads = LoadTable::default();
    let expected = {
        let mut loads = LoadTable::default();
        loads.record_report(&learned_load(1, 20, 6), at(90_000));
        loads.record_report(&learned_load(2, 60, 6), at(90_000));
        score(&loads, &targets[0], 90_000)
    };
    for round in 0..1_000_u32 {
        let number = u8::try_from(3 + round % 40).expect("a small number");
        loads.record_report(&learned_load(number, 1 + round, 3), at(u64::from(round)));
        if round % 3 == 0 {
            let moved = LoadReport {
                service: crate::support::service("maps").id(),
                ..learned_load(number, 1 + round, 3)
            };
            loads.record_report(&moved, at(u64::from(round)));
        }
    }
    loads.expire_idle(Duration::from_secs(15), at(90_000));
    loads.record_report(&learned_load(1, 20, 6), at(90_000));
    loads.record_report(&learned_load(2, 60, 6), at(90_000));
    let now = score(&loads, &targets[0], 90_000);
    assert!((now - expected).abs() < f32::EPSILON, "{now} {expected}");
}

// Guards against a target that is avoided, or preferred, for as long as its reports are lost.
#[test]
fn an_old_report_loses_its_weight_gradually() {
    let targets = targets();
    let mut loads = LoadTable::default();
    loads.record_report(&learned_load(1, 20, 0), at(0));
    loads.record_report(&learned_load(2, 60, 12), at(0));
    let differences = [1_000, 2_000, 4_000, 8_000].map(|millis| {
        let [idle, busy] = [0, 1].map(|index| score(&loads, &targets[index], millis));
        busy - idle
    });
    let decreases = differences.windows(2).all(|pair| pair[1] < pair[0]);
    assert!(decreases, "{differences:?}");
    assert!(differences[1] > differences[0] * 0.3, "{differences:?}");
    assert!(differences[3] < differences[0] * 0.2, "{differences:?}");
}

// Guards against a quarter of a second in which all new flows go to one target and its requests
// queue: it reports no load, and the score ignores flows placed since that report.
#[test]
fn flows_placed_since_the_report_count() {
    let targets = targets();
    let mut loads = LoadTable::default();
    loads.record_report(&idle_load(agent(1)), at(0));
    loads.record_report(&idle_load(agent(2)), at(0));
    for _ in 0..4 {
        loads.record_offer(&targets[0]);
    }
    assert!(score(&loads, &targets[0], 10) > score(&loads, &targets[1], 10));
    loads.record_report(&idle_load(agent(1)), at(20));
    let scores = targets.iter().map(|target| score(&loads, target, 20));
    let scores: Vec<_> = scores.collect();
    assert!((scores[0] - scores[1]).abs() < f32::EPSILON, "{scores:?}");
}

#[test]
fn a_target_is_suspected_after_silence_but_not_after_one_lost_datagram() {
    let targets = targets();
    let mut loads = LoadTable::default();
    loads.record_report(&idle_load(agent(1)), at(0));
    loads.record_unanswered(&targets[0], at(100));
    assert!(!loads.is_suspected(agent(1), at(100)));
    loads.record_unanswered(&targets[0], at(200));
    assert!(loads.is_suspected(agent(1), at(200)));
    // It gets one more offer after the backoff, and is trusted again after its first report.
    assert!(!loads.is_suspected(agent(1), at(10_000)));
    loads.record_unanswered(&targets[0], at(10_000));
    assert!(loads.is_suspected(agent(1), at(10_000)));
    loads.record_report(&idle_load(agent(1)), at(10_100));
    assert!(!loads.is_suspected(agent(1), at(10_100)));
}

// Guards against open flows that are reset without any failure in a fleet with more than sixteen
// balancers. An agent reports its load to sixteen of them; another balancer, whose packets it
// delivers, hears nothing. Unsolicited reports are not guaranteed, so their absence does not prove
// silence.
#[test]
fn an_agent_that_was_not_probed_is_not_silent() {
    let mut loads = LoadTable::default();
    loads.record_report(&idle_load(agent(1)), at(0));
    loads.record_sent(agent(1), claims(), at(100));
    loads.record_report(&idle_load(agent(2)), at(1_900));
    let timeout = Duration::from_millis(800);
    assert!(loads.silent_agents(timeout, at(2_000)).is_empty());
    assert_eq!(loads.due_probes(at(2_000)), [agent(1)]);
    assert_eq!(loads.due_probes(at(2_050)), []);
    assert!(
        loads.silent_agents(timeout, at(2_100)).is_empty(),
        "one probe may be lost"
    );
    assert_eq!(loads.due_probes(at(2_200)), [agent(1)]);
    assert_eq!(loads.silent_agents(timeout, at(2_400)), [agent(1)]);
    loads.record_report(&idle_load(agent(1)), at(2_401));
    assert!(loads.silent_agents(timeout, at(2_402)).is_empty());
    assert!(loads.due_probes(at(5_000)).is_empty());
}

struct SilenceCase {
    name: &'static str,
    other_last_heard: Option<u64>,
    leaving: bool,
    expected: bool,
}

#[test]
fn silence_counts_only_while_other_agents_are_heard() {
    let cases = [
        SilenceCase {
            name: "another agent reports",
            other_last_heard: Some(1_900),
            leaving: false,
            expected: true,
        },
        SilenceCase {
            name: "no agent reports: the fault is on this side",
            other_last_heard: None,
            leaving: false,
            expected: false,
        },
        SilenceCase {
            name: "it announced a stop: its successor is starting",
            other_last_heard: Some(1_900),
            leaving: true,
            expected: false,
        },
    ];
    for case in cases {
        let mut loads = LoadTable::default();
        let report = LoadReport {
            leaving: case.leaving,
            ..idle_load(agent(1))
        };
        loads.record_report(&report, at(0));
        loads.record_sent(agent(1), claims(), at(1_000));
        for probed in [1_300, 1_500, 1_700] {
            loads.due_probes(at(probed));
        }
        if let Some(last_heard) = case.other_last_heard {
            loads.record_report(&idle_load(agent(2)), at(last_heard));
        }
        let silent = loads.silent_agents(Duration::from_millis(800), at(2_000));
        assert_eq!(silent.contains(&agent(1)), case.expected, "{}", case.name);
    }
}

struct IsolationCase {
    name: &'static str,
    /// Whether the silent agents were queried for services outside the configuration.
    unconfirmed: bool,
    /// Number of agents that are sent frames and stay silent.
    silent: u8,
    /// When another agent was last heard, in milliseconds.
    last_heard: Option<u64>,
    expected: bool,
}

// Guards against a third of a zone's requests that fail for five seconds. The zone's only balancer
// is partitioned from all other machines, but not from the platform's routers, and reports ready:
// that must require a working path to the targets as well as a known configuration.
#[test]
fn a_balancer_that_hears_nobody_is_isolated() {
    let cases = [
        IsolationCase {
            name: "no agent answers",
            unconfirmed: false,
            silent: 4,
            last_heard: None,
            expected: true,
        },
        IsolationCase {
            name: "another agent answers",
            unconfirmed: false,
            silent: 4,
            last_heard: Some(1_700),
            expected: false,
        },
        IsolationCase {
            name: "another agent answered, before the silence",
            unconfirmed: false,
            silent: 4,
            last_heard: Some(900),
            expected: true,
        },
        IsolationCase {
            name: "two agents may be dead",
            unconfirmed: false,
            silent: 2,
            last_heard: None,
            expected: false,
        },
        IsolationCase {
            name: "no agent was sent a frame: there is no traffic",
            unconfirmed: false,
            silent: 0,
            last_heard: None,
            expected: false,
        },
        IsolationCase {
            name: "the entries may belong to another writer",
            unconfirmed: true,
            silent: 4,
            last_heard: None,
            expected: false,
        },
    ];
    for case in cases {
        let mut loads = LoadTable::default();
        for number in 1..=case.silent {
            loads.record_sent(agent(number), claims(), at(1_000));
            if case.unconfirmed {
                loads.record_unconfirmed(agent(number), claims());
            }
        }
        for probed in [1_250, 1_450] {
            loads.due_probes(at(probed));
        }
        if let Some(last_heard) = case.last_heard {
            loads.record_report(&idle_load(agent(9)), at(last_heard));
        }
        assert!(!loads.is_isolated(at(1_300)), "{}: too early", case.name);
        assert_eq!(loads.is_isolated(at(2_000)), case.expected, "{}", case.name);
        // A report of any agent ends the isolation.
        loads.record_report(&idle_load(agent(1)), at(2_100));
        assert!(!loads.is_isolated(at(2_101)), "{}", case.name);
    }
}

// Guards against a balancer that spends its time on probes: hundreds of entries of another writer
// look like targets, and each search queries their addresses, where no agent answers.
#[test]
fn probes_of_unconfirmed_agents_are_bounded() {
    let mut loads = LoadTable::default();
    for number in 1..=100 {
        loads.record_sent(agent(number), claims(), at(0));
        loads.record_unconfirmed(agent(number), claims());
    }
    // Confirmed by a report, so that its probes are not limited.
    loads.record_report(&idle_load(agent(101)), at(0));
    loads.record_sent(agent(101), claims(), at(1));
    loads.record_unconfirmed(agent(101), claims());
    let mut probed = BTreeMap::new();
    for millis in (0..6_000).step_by(50) {
        for agent in loads.due_probes(at(millis)) {
            *probed.entry(agent).or_insert(0) += 1;
        }
    }
    let confirmed = probed.remove(&agent(101)).expect("probed");
    assert!(confirmed >= 35, "{confirmed}");
    // Each is probed in its turn, and often enough to count as silent.
    assert_eq!(probed.len(), 100);
    assert!(
        probed.values().all(|times| (2..=3).contains(times)),
        "{probed:?}"
    );
    // A probe takes up to 50 bytes, and 2 KB/s are allowed.
    let total: u32 = probed.values().sum();
    assert!(total * 50 <= 6 * 2_000, "{total}");
}
