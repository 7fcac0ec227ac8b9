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
