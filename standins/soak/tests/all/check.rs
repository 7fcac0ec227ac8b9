//! What the soak takes for a broken promise.

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
    /// What is seen after the flow opened and before its client gives up.
    events: Vec<SoakEvent>,
    /// Whether a packet reaches the target after the client began to send.
    reached: bool,
    /// Milliseconds for which the client sent.
    sent_ms: u64,
    found: bool,
}

// Symptom: a balancer that does not search for flows it does not know passes the soak. Sequence:
// balancers are replaced; clients' packets reach others; none reaches its target; each client gives
// its request up. Cause: only resets were judged, and silence before the calm end was not.
#[test]
fn an_open_flow_may_not_fall_silent_while_all_is_well() {
    let other = Ipv4Addr::new(127, 1, 0, 2);
    let case = |name, events: &[SoakEvent], found| SilenceCase {
        name,
        events: events.to_vec(),
        reached: false,
        sent_ms: 2_500,
        found,
    };
    let cases = [
        case("nothing is wrong", &[], true),
        case("the target ended", &[SoakEvent::Ended(1)], false),
        case("another target ended", &[SoakEvent::Ended(2)], true),
        case("the target is disturbed", &[SoakEvent::Disturbed(1)], false),
        case("all targets are", &[SoakEvent::AllDisturbed], false),
        case("the store is", &[SoakEvent::StoreDisturbed], false),
        case(
            "the balancer is",
            &[SoakEvent::BalancerDisturbed(BALANCER)],
            false,
        ),
        case(
            "a balancer is that did not take the packets",
            &[SoakEvent::BalancerDisturbed(other)],
            true,
        ),
        SilenceCase {
            reached: true,
            ..case("a packet reached the target", &[], false)
        },
        SilenceCase {
            sent_ms: 1_000,
            ..case("the client sent for a moment only", &[], false)
        },
    ];
    for case in cases {
        let log = SoakLog::new();
        let (flow, target) = (flow(), 1);
        log.note(SoakEvent::Opened { flow, target });
        for event in case.events {
            log.note(event);
        }
        if case.reached {
            log.note(SoakEvent::Reached(flow));
        }
        let sent = Duration::from_millis(case.sent_ms);
        let since = Instant::now().checked_sub(sent).expect("a running clock");
        log.note(SoakEvent::Silent {
            flow,
            since,
            balancer: BALANCER,
        });
        let found = log.findings();
        let silent = found.iter().any(|one| one.promise == "open_flow_silent");
        assert_eq!(silent, case.found, "{}: {found:?}", case.name);
    }
}
