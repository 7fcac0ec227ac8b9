//! Which events the soak reports as violations.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;
use lovagelatch_soak::{SoakEvent, SoakLog};

const BALANCER: Ipv4Addr = Ipv4Addr::new(127, 1, 0, 1);

fn flow() -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1_025),
        service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_000),
    }
}

struct SilenceCase {
    name: &'static str,
    /// Events after the flow opened and before its client gives up.
    events: Vec<SoakEvent>,
    /// Whether a packet reaches the target after the client began to send.
    reached: bool,
    /// Milliseconds for which the client sent.
    sent_ms: u64,
    found: bool,
}

/// Guards against passing a balancer that does not search for unknown flows. After a replacement of
/// balancers, packets of open flows arrive at other balancers and never reach their targets, so
/// that requests time out without a reset. Checking resets alone misses this, as does checking
/// requests only in the calm at the end.
#[test]
fn an_open_flow_may_not_time_out_without_a_disturbance() {
    let other = Ipv4Addr::new(127, 1, 0, 2);
    let case = |name, events: &[SoakEvent], found| SilenceCase {
        name,
        events: events.to_vec(),
        reached: false,
        sent_ms: 2_500,
        found,
    };
    let cases = [
        case("no disturbance", &[], true),
        case("the target ended", &[SoakEvent::TargetEnded(1)], false),
        case("another target ended", &[SoakEvent::TargetEnded(2)], true),
        case(
            "the target is disturbed",
            &[SoakEvent::TargetDisturbed(1)],
            false,
        ),
        case(
            "all targets are disturbed",
            &[SoakEvent::AllTargetsDisturbed],
            false,
        ),
        case(
            "the store is disturbed",
            &[SoakEvent::StoreDisturbed],
            false,
        ),
        case(
            "the balancer is disturbed",
            &[SoakEvent::BalancerDisturbed(BALANCER)],
            false,
        ),
        case(
            "another balancer is disturbed",
            &[SoakEvent::BalancerDisturbed(other)],
            true,
        ),
        SilenceCase {
            reached: true,
            ..case("a packet reached the target", &[], false)
        },
        SilenceCase {
            sent_ms: 1_000,
            ..case("the client sent for less than the timeout", &[], false)
        },
    ];
    for case in cases {
        let log = SoakLog::new();
        let (flow, target) = (flow(), 1);
        log.record(SoakEvent::Opened { flow, target });
        for event in case.events {
            log.record(event);
        }
        if case.reached {
            log.record(SoakEvent::PacketReached(flow));
        }
        let sent = Duration::from_millis(case.sent_ms);
        let since = Instant::now().checked_sub(sent).expect("a running clock");
        log.record(SoakEvent::Silent {
            flow,
            since,
            balancer: BALANCER,
        });
        let found = log.findings();
        let silent = found
            .iter()
            .any(|finding| finding.guarantee == "open_flow_silent");
        assert_eq!(silent, case.found, "{}: {found:?}", case.name);
    }
}

/// Service address and index of the service under test.
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_000);
const SERVICE: u8 = 0;

struct AvailabilityCase {
    name: &'static str,
    /// Events before the openings fail, each with the milliseconds until the next one.
    events: Vec<(SoakEvent, u64)>,
    /// Number of openings that fail one after the other, the first one this many milliseconds
    /// before the last.
    failures: (u32, u64),
    /// An event between the failures and the last one.
    between: Option<SoakEvent>,
    found: bool,
}

/// Guards against passing a balancer that refuses all flows of a service with an available target.
#[test]
fn a_service_with_an_available_target_must_open_flows() {
    let started = |target, service| SoakEvent::TargetStarted { target, service };
    let opened = |opened, balancer| SoakEvent::OpeningEnded {
        address: ADDRESS,
        balancer,
        since: Instant::now(),
        opened,
    };
    let moved = SoakEvent::RoutePublished {
        address: ADDRESS,
        service: SERVICE + 1,
    };
    let other = Ipv4Addr::new(127, 1, 0, 2);
    let settled = 6_000;
    let case = |name, events: &[(SoakEvent, u64)], found| AvailabilityCase {
        name,
        events: events.to_vec(),
        failures: (3, 2_500),
        between: None,
        found,
    };
    let available = [(started(1, SERVICE), settled)];
    let after_start = |event, wait| [(started(1, SERVICE), settled), (event, wait)];
    let cases = [
        case("an available target", &available, true),
        case("no target", &[], false),
        case(
            "another service",
            &[(started(1, SERVICE + 1), settled)],
            false,
        ),
        case(
            "a target just started",
            &[(started(1, SERVICE), 3_000)],
            false,
        ),
        case(
            "the target is leaving",
            &after_start(SoakEvent::TargetLeaving(1), 0),
            false,
        ),
        case(
            "the target ended",
            &after_start(SoakEvent::TargetEnded(1), 0),
            false,
        ),
        case(
            "its entry cannot be read",
            &after_start(SoakEvent::EntryUnreadable(1), 0),
            false,
        ),
        case(
            "the target is disturbed",
            &after_start(SoakEvent::TargetDisturbed(1), 3_000),
            false,
        ),
        case(
            "the target was disturbed long ago",
            &after_start(SoakEvent::TargetDisturbed(1), settled),
            true,
        ),
        case(
            "the store is disturbed after the target became known",
            &after_start(SoakEvent::StoreDisturbed, 0),
            true,
        ),
        case(
            "the store has been disturbed since the target's start",
            &[
                (SoakEvent::StoreDisturbed, 0),
                (started(1, SERVICE), 3_000),
                (SoakEvent::StoreDisturbed, 1_000),
            ],
            false,
        ),
        case(
            "the balancer is disturbed",
            &after_start(SoakEvent::BalancerDisturbed(BALANCER), 0),
            false,
        ),
        case(
            "another balancer is disturbed",
            &after_start(SoakEvent::BalancerDisturbed(other), 0),
            true,
        ),
        AvailabilityCase {
            failures: (3, 1_500),
            ..case("failures for less than the timeout", &available, false)
        },
        AvailabilityCase {
            failures: (2, 2_500),
            ..case("too few failures", &available, false)
        },
        AvailabilityCase {
            between: Some(opened(true, BALANCER)),
            ..case("the balancer opens a flow", &available, false)
        },
        AvailabilityCase {
            between: Some(opened(true, other)),
            ..case("another balancer opens a flow", &available, true)
        },
        AvailabilityCase {
            between: Some(moved),
            ..case("the route moves to another service", &available, false)
        },
    ];
    for case in cases {
        let log = SoakLog::new();
        let mut now = Instant::now();
        let route = SoakEvent::RoutePublished {
            address: ADDRESS,
            service: SERVICE,
        };
        log.record_at(route, now);
        for (event, wait_ms) in case.events {
            log.record_at(event, now);
            now += Duration::from_millis(wait_ms);
        }
        let (count, span_ms) = case.failures;
        let end = now + Duration::from_millis(span_ms);
        for number in 0..count {
            let last = number + 1 == count;
            let at = if last { end } else { now };
            if let Some(event) = case.between.filter(|_| last) {
                log.record_at(event, at);
            }
            let failed = SoakEvent::OpeningEnded {
                address: ADDRESS,
                balancer: BALANCER,
                since: at,
                opened: false,
            };
            log.record_at(failed, at);
        }
        let found = log.findings();
        let unserved = found
            .iter()
            .any(|finding| finding.guarantee == "service_unserved");
        assert_eq!(unserved, case.found, "{}: {found:?}", case.name);
    }
}

struct RouteCase {
    name: &'static str,
    /// Events with their times in milliseconds.
    events: Vec<(u64, SoakEvent)>,
    /// Time at which a target of service 0 accepts a new flow, in milliseconds.
    accepted_ms: u64,
    found: bool,
}

/// Guards against passing a balancer that goes on with an old configuration: flows reach the former
/// service of an address, which some configuration allows.
#[test]
fn a_new_flow_may_not_follow_an_old_configuration() {
    let published = |service| SoakEvent::RoutePublished {
        address: flow().service_address,
        service,
    };
    let moved = [(0, published(0)), (1_000, published(1))];
    let case = |name, events: &[(u64, SoakEvent)], accepted_ms, found| RouteCase {
        name,
        events: moved.iter().chain(events).copied().collect(),
        accepted_ms,
        found,
    };
    let cases = [
        case("long after the change", &[], 5_000, true),
        case("within the time that a change takes", &[], 4_000, false),
        case("moved back", &[(2_000, published(0))], 9_000, false),
        case("published again", &[(4_000, published(1))], 5_000, true),
        case(
            "the store was disturbed",
            &[(3_000, SoakEvent::StoreDisturbed)],
            5_000,
            false,
        ),
        case(
            "the store was disturbed long ago",
            &[(3_000, SoakEvent::StoreDisturbed)],
            7_100,
            true,
        ),
        case(
            "the target is disturbed",
            &[(3_000, SoakEvent::TargetDisturbed(1))],
            5_000,
            false,
        ),
    ];
    for case in cases {
        let log = SoakLog::new();
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let started = SoakEvent::TargetStarted {
            target: 1,
            service: 0,
        };
        log.record_at(started, start);
        for (millis, event) in case.events {
            log.record_at(event, at(millis));
        }
        let accepted = SoakEvent::Accepted {
            flow: flow(),
            target: 1,
            allowed: true,
        };
        log.record_at(accepted, at(case.accepted_ms));
        let findings = log.findings().into_iter();
        let guarantees: Vec<_> = findings.map(|finding| finding.guarantee).collect();
        let expected: &[&str] = if case.found {
            &["old_configuration"]
        } else {
            &[]
        };
        assert_eq!(guarantees, expected, "{}", case.name);
    }
}
