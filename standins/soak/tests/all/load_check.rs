//! Which events the soak reports as violations under load, and which faults of load it draws.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;
use lovagelatch_soak::{SoakEvent, SoakFault, SoakLog, SoakPlan};

const BALANCER: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 2);
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_000);

fn flow(port: u16) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        service_address: ADDRESS,
    }
}

struct LoadCase {
    name: &'static str,
    /// Events with their times in milliseconds.
    events: Vec<(u64, SoakEvent)>,
    /// Names of the guarantees that are violated.
    found: &'static [&'static str],
}

impl LoadCase {
    fn assert(self, start: Instant) {
        let log = SoakLog::new();
        for (millis, event) in self.events {
            log.record_at(event, start + Duration::from_millis(millis));
        }
        let findings = log.findings().into_iter();
        let found: Vec<_> = findings.map(|finding| finding.guarantee).collect();
        assert_eq!(found, self.found, "{}", self.name);
    }
}

/// Guards against passing an agent that lets its target have more flows than the operator allows.
#[test]
fn an_agent_that_knows_all_flows_enforces_their_limit() {
    let start = Instant::now();
    let over = |oldest_ms| SoakEvent::OverLimit {
        flow: flow(1_025),
        target: 1,
        oldest: start + Duration::from_millis(oldest_ms),
    };
    let case = |name, events: &[(u64, SoakEvent)], found| LoadCase {
        name,
        events: events.to_vec(),
        found,
    };
    let (own, other) = (SoakEvent::AgentStarted(1), SoakEvent::AgentStarted(2));
    let cases = [
        case(
            "the agent ran before the target",
            &[(5_000, over(4_000))],
            &["flow_over_limit"],
        ),
        case(
            "the agent started before the oldest flow",
            &[(3_000, own), (5_000, over(4_000))],
            &["flow_over_limit"],
        ),
        case(
            "the agent started after the oldest flow",
            &[(4_500, own), (5_000, over(4_000))],
            &[],
        ),
        case(
            "another agent started after the oldest flow",
            &[(4_500, other), (5_000, over(4_000))],
            &["flow_over_limit"],
        ),
        case(
            "the agent has been up for the lifetime of flows",
            &[(4_500, own), (10_500, over(4_000))],
            &["flow_over_limit"],
        ),
        case(
            "the agent has been up for almost the lifetime of flows",
            &[(4_500, own), (10_400, over(4_000))],
            &[],
        ),
    ];
    for case in cases {
        case.assert(start);
    }
}

/// Guards against passing an agent or balancer that holds packets for longer than it may, also when
/// a rush is the reason.
#[test]
fn a_packet_may_not_be_held() {
    let start = Instant::now();
    let reached = SoakEvent::SegmentReached {
        flow: flow(1_025),
        target: 1,
        balancer: BALANCER,
        sent: start + Duration::from_millis(10_000),
    };
    let case = |name, events: &[(u64, SoakEvent)], reached_ms, found| LoadCase {
        name,
        events: events
            .iter()
            .copied()
            .chain([(reached_ms, reached)])
            .collect(),
        found,
    };
    let held: &[&str] = &["packet_held"];
    let after = |event| [(8_000, event)];
    let cases = [
        case("within the bound and its margin", &[], 10_300, &[]),
        case("later", &[], 10_301, held),
        case("in a rush", &after(SoakEvent::RushActive), 10_301, held),
        case(
            "the target is disturbed",
            &after(SoakEvent::TargetDisturbed(1)),
            10_301,
            &[],
        ),
        case(
            "another target is disturbed",
            &after(SoakEvent::TargetDisturbed(2)),
            10_301,
            held,
        ),
        case(
            "the target was disturbed long ago",
            &[(6_000, SoakEvent::TargetDisturbed(1))],
            10_301,
            held,
        ),
        case(
            "all targets are disturbed",
            &after(SoakEvent::AllTargetsDisturbed),
            10_301,
            &[],
        ),
        case(
            "its agent started",
            &after(SoakEvent::AgentStarted(1)),
            10_401,
            &[],
        ),
        case(
            "another agent started",
            &after(SoakEvent::AgentStarted(2)),
            10_401,
            held,
        ),
        case(
            "its balancer is disturbed",
            &after(SoakEvent::BalancerDisturbed(BALANCER)),
            10_401,
            &[],
        ),
        case(
            "its balancer started",
            &after(SoakEvent::BalancerStarted(BALANCER)),
            10_401,
            &[],
        ),
        case(
            "another balancer started",
            &after(SoakEvent::BalancerStarted(OTHER)),
            10_401,
            held,
        ),
    ];
    for case in cases {
        case.assert(start);
    }
}

/// Guards against passing an agent that lets a packet overtake one of the same flow that waits.
#[test]
fn packets_of_a_flow_may_not_overtake_each_other() {
    let start = Instant::now();
    let reached = |port, balancer, sent_ms| SoakEvent::SegmentReached {
        flow: flow(port),
        target: 1,
        balancer,
        sent: start + Duration::from_millis(sent_ms),
    };
    let case = |name, events: &[(u64, SoakEvent)], found| LoadCase {
        name,
        events: events.to_vec(),
        found,
    };
    let first = (110, reached(1_025, BALANCER, 100));
    let cases = [
        case(
            "in order",
            &[first, (110, reached(1_025, BALANCER, 101))],
            &[],
        ),
        case(
            "overtaken",
            &[first, (110, reached(1_025, BALANCER, 99))],
            &["bytes_reordered"],
        ),
        case(
            "of another flow",
            &[first, (110, reached(1_026, BALANCER, 99))],
            &[],
        ),
        case(
            "by another balancer",
            &[first, (110, reached(1_025, OTHER, 99))],
            &[],
        ),
        case(
            "the target is disturbed",
            &[
                first,
                (110, SoakEvent::TargetDisturbed(1)),
                (110, reached(1_025, BALANCER, 99)),
            ],
            &[],
        ),
    ];
    for case in cases {
        case.assert(start);
    }
}

/// Guards against passing a program that changes packets, or delivers a copy of one to a second
/// target, which runs the request again.
#[test]
fn a_request_may_not_change_or_run_twice_on_a_flow() {
    let ran = |request, port| SoakEvent::Ran {
        request,
        flow: flow(port),
    };
    let changed = SoakEvent::DataChanged {
        flow: flow(1_025),
        target: 1,
    };
    let case = |name, events: &[SoakEvent], found| LoadCase {
        name,
        events: events.iter().map(|event| (0, *event)).collect(),
        found,
    };
    let cases = [
        case("changed data", &[changed], &["bytes_changed"]),
        case("a copy ran", &[ran(2, 1_025), ran(2, 1_025)], &["copy_ran"]),
        case("tried again", &[ran(2, 1_025), ran(2, 1_026)], &[]),
        case("two requests", &[ran(2, 1_025), ran(4, 1_025)], &[]),
        case(
            "an unsafe request tried again",
            &[ran(1, 1_025), ran(1, 1_026)],
            &["ran_twice"],
        ),
    ];
    for case in cases {
        case.assert(Instant::now());
    }
}

/// Guards against passing a fleet that a rush leaves in a state in which requests fail.
#[test]
fn requests_are_answered_as_before_after_a_rush() {
    let start = Instant::now();
    let slow = |since_ms| SoakEvent::Slow {
        request: 2,
        since: start + Duration::from_millis(since_ms),
    };
    let rush = (20_000, SoakEvent::RushActive);
    let case = |name, events: &[(u64, SoakEvent)], found| LoadCase {
        name,
        events: events.to_vec(),
        found,
    };
    let found: &[&str] = &["slow_after_rush"];
    let fault = |millis| (millis, SoakEvent::FaultInjected);
    let cases = [
        case("after the recovery", &[rush, (24_000, slow(23_000))], found),
        case("in the recovery", &[rush, (25_400, slow(22_900))], &[]),
        case("no rush before", &[(24_000, slow(23_000))], &[]),
        case(
            "a rush after it began",
            &[
                rush,
                (23_500, SoakEvent::RushActive),
                (24_000, slow(23_000)),
            ],
            &[],
        ),
        case(
            "a fault before it began",
            &[rush, fault(22_000), (24_000, slow(23_000))],
            &[],
        ),
        case(
            "a fault after it began",
            &[rush, fault(23_500), (24_000, slow(23_000))],
            &[],
        ),
        case(
            "a fault long ago",
            &[fault(14_000), rush, (24_000, slow(23_000))],
            found,
        ),
    ];
    for case in cases {
        case.assert(start);
    }
}

/// Guards against passing a reset of an open flow because of a rush or of a full target.
#[test]
fn load_excuses_no_reset_of_an_open_flow() {
    let (open, target) = (flow(1_025), 1);
    let opened = SoakEvent::Opened { flow: open, target };
    for load in [SoakEvent::RushActive, SoakEvent::TargetFull(target)] {
        let case = LoadCase {
            name: "reset under load",
            events: vec![(0, opened), (1, load), (2, SoakEvent::ResetOpen(open))],
            found: &["open_flow_reset"],
        };
        case.assert(Instant::now());
    }
}

/// Guards against findings of a service that refuses new flows because its targets are full, as it
/// must.
#[test]
fn a_full_service_may_refuse_flows() {
    let start = Instant::now();
    let case = |name, load: Option<(u64, SoakEvent)>, found| {
        let target = 1;
        let route = SoakEvent::RoutePublished {
            address: ADDRESS,
            service: 0,
        };
        let started = SoakEvent::TargetStarted { target, service: 0 };
        let failed = SoakEvent::OpeningEnded {
            address: ADDRESS,
            balancer: BALANCER,
            since: start + Duration::from_millis(10_000),
            opened: false,
        };
        let mut events = vec![(0, route), (0, started)];
        events.extend(load);
        events.extend([10_000, 11_000, 12_500].map(|millis| (millis, failed)));
        LoadCase {
            name,
            events,
            found,
        }
    };
    let unserved: &[&str] = &["service_unserved"];
    let cases = [
        case("no load", None, unserved),
        case("a rush", Some((9_000, SoakEvent::RushActive)), &[]),
        case(
            "a full target",
            Some((9_000, SoakEvent::TargetFull(1))),
            &[],
        ),
        case(
            "a rush long ago",
            Some((6_000, SoakEvent::RushActive)),
            unserved,
        ),
        case(
            "another target",
            Some((9_000, SoakEvent::TargetFull(2))),
            unserved,
        ),
    ];
    for case in cases {
        case.assert(start);
    }
}

/// Guards against seeds whose faults differ with the option, which makes runs incomparable.
#[test]
fn faults_of_load_leave_the_other_faults_as_they_are() {
    for seed in 1..20 {
        let duration = Duration::from_secs(30);
        let plain = SoakPlan::draw(seed, duration);
        let mut loaded = plain.clone();
        loaded.add_load(seed, duration);
        assert!(loaded.faults.len() > plain.faults.len(), "seed {seed}");
        let is_sorted = loaded.faults.is_sorted_by_key(|fault| fault.at);
        assert!(is_sorted, "seed {seed}");
        loaded.faults.retain(|fault| !fault.fault.needs_hard_load());
        assert_eq!(loaded, plain, "seed {seed}");
    }
}

/// Guards against faults of load that `--only` cannot name.
#[test]
fn faults_of_load_have_names() {
    for name in ["Rush", "RushAndMove", "ExchangePriorities", "SlowTarget"] {
        let fault: SoakFault = name.parse().expect("a known fault");
        assert!(fault.needs_hard_load(), "{name}");
    }
}
