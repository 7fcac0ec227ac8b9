//! Tests of the packet path, from a datagram of the fabric to the frame at an agent.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, ConfigRevision};
use lovagelatch_routing::{FlowRouter, PacketView, RouteDecision};
use lovagelatch_settings::IngressKind;
use lovagelatch_wire::MAX_DATAGRAM_BYTES;
use quickcheck::quickcheck;

use crate::support::{
    CALLER, CLAIMS, CLAIMS_ADDRESS, ForwardRig, MAPS, address, bind, initial, open_flow, proxied,
    receive, ring,
};

const OTHER_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 20, 9, 9), 4433);

struct DropCase {
    outcome: &'static str,
    bytes: Vec<u8>,
}

fn drop_cases(rig: &ForwardRig) -> Vec<DropCase> {
    let case = |outcome, bytes| DropCase { outcome, bytes };
    let good = open_flow(rig.agent(), CLAIMS, &ring(&[1]));
    let mut forged = good.clone();
    forged[5] ^= 1;
    let foreign = open_flow(rig.agent(), MAPS, &ring(&[1]));
    let expired = open_flow(rig.agent(), CLAIMS, &ring(&[9]));
    vec![
        case("no_ends", good.clone()),
        case("no_ends", Vec::new()),
        case("bad_header", proxied(CLAIMS_ADDRESS, &[])),
        case("bad_header", proxied(CLAIMS_ADDRESS, &good[..20])),
        case("bad_token", proxied(CLAIMS_ADDRESS, &forged)),
        case("bad_token", proxied(CLAIMS_ADDRESS, &expired)),
        case("bad_opening", proxied(CLAIMS_ADDRESS, &initial(1_199))),
        case("wrong_service", proxied(CLAIMS_ADDRESS, &foreign)),
        case("unknown_address", proxied(OTHER_ADDRESS, &initial(1_200))),
        case(
            "too_long",
            proxied(CLAIMS_ADDRESS, &initial(MAX_DATAGRAM_BYTES + 1)),
        ),
        case("too_long", proxied(CLAIMS_ADDRESS, &initial(3_000))),
    ]
}

#[test]
fn bad_datagrams_are_counted_and_dropped() {
    for index in 0.. {
        let rig = ForwardRig::new(IngressKind::ProxyV2);
        let Some(case) = drop_cases(&rig).into_iter().nth(index) else {
            break;
        };
        rig.send(&case.bytes);
        // A valid datagram sent after it shows that the bad one was skipped.
        let good = open_flow(rig.agent(), CLAIMS, &ring(&[1]));
        rig.send(&proxied(CLAIMS_ADDRESS, &good));
        let forwarded = rig.forwarded().map(|(_, datagram)| datagram);
        assert_eq!(forwarded, Some(good), "case {index}");
        let totals = rig.finish();
        let expected = [(case.outcome.to_owned(), 1), ("forwarded".to_owned(), 1)];
        assert_eq!(totals, expected.into(), "case {index}");
    }
}

#[test]
fn a_frame_carries_caller_and_service_address() {
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let largest = initial(MAX_DATAGRAM_BYTES);
    rig.send(&proxied(CLAIMS_ADDRESS, &largest));
    let (header, datagram) = rig.forwarded().expect("forwarded");
    assert_eq!(datagram, largest);
    assert_eq!(header.caller, CALLER);
    assert_eq!(header.service_address, CLAIMS_ADDRESS);
    assert_eq!(header.service, CLAIMS);
    assert_eq!((header.revision, header.hops), (ConfigRevision(5), 0));
    assert_eq!(rig.finish(), [("placed".to_owned(), 1)].into());
}

#[test]
fn direct_ingress_reads_the_service_address_from_the_socket() {
    let rig = ForwardRig::new(IngressKind::Direct);
    rig.set_table(rig.entry);
    rig.send(&initial(1_200));
    let (header, _) = rig.forwarded().expect("forwarded");
    assert_eq!(header.service_address, rig.entry);
    assert_eq!(rig.finish(), [("placed".to_owned(), 1)].into());
}

/// Guards against open flows that break when the operator rotates the fleet key. A flow is open
/// under key 1 when key 2 is added and then made current. It would break if the packet path cached
/// its keys or dropped the old key immediately.
#[test]
fn a_rotation_under_traffic_breaks_no_flow() {
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let flow = proxied(CLAIMS_ADDRESS, &open_flow(rig.agent(), CLAIMS, &ring(&[1])));
    for generations in [&[1][..], &[1, 2], &[2, 1]] {
        rig.state.keys.store(Arc::new(ring(generations)));
        rig.send(&flow);
        assert!(rig.forwarded().is_some(), "{generations:?}");
    }
    assert_eq!(rig.finish(), [("forwarded".to_owned(), 3)].into());
}

/// Guards against a caller that directs all its flows to one agent by choosing connection IDs. This
/// would be possible if flows were placed by a hash without the fleet key. The key must also be
/// the one that agents use, which forward flows in the same order.
#[test]
fn new_flows_are_placed_by_the_oldest_key() {
    for generations in [&[1][..], &[1, 2], &[2, 1]] {
        let rig = ForwardRig::new(IngressKind::ProxyV2);
        let other = bind();
        let agents = [rig.agent(), AgentAddress(address(&other))];
        rig.set_targets(CLAIMS_ADDRESS, &agents);
        rig.state.keys.store(Arc::new(ring(generations)));
        let table = rig.state.table.load();
        let router = FlowRouter::with_keys(&ring(&[1]));
        for number in 0..32 {
            let mut datagram = initial(1_200);
            datagram[6] = number;
            let packet = PacketView::read(&datagram, CLAIMS_ADDRESS, &ring(&[1])).expect("opens");
            let RouteDecision::NewFlow { agent, .. } = router.route(&packet, &table) else {
                panic!("no new flow");
            };
            rig.send(&proxied(CLAIMS_ADDRESS, &datagram));
            let socket = if agent == rig.agent() {
                &rig.sink
            } else {
                &other
            };
            assert!(receive(socket).is_some(), "{generations:?}: flow {number}");
        }
    }
}

/// Guards against feeds that break while a service's targets change. A flow is open when the view
/// loses the service, or is empty as on a new balancer. It would break if packets of open flows
/// were routed by the view.
#[test]
fn an_open_flow_needs_no_view() {
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let flow = proxied(CLAIMS_ADDRESS, &open_flow(rig.agent(), CLAIMS, &ring(&[1])));
    rig.state.table.store(Arc::default());
    rig.send(&flow);
    assert!(rig.forwarded().is_some());
    assert_eq!(rig.finish(), [("forwarded".to_owned(), 1)].into());
}

quickcheck! {
    fn any_datagrams_leave_the_thread_running(datagrams: Vec<Vec<u8>>) -> bool {
        let rig = ForwardRig::new(IngressKind::ProxyV2);
        for datagram in &datagrams {
            rig.send(datagram);
            rig.send(&proxied(CLAIMS_ADDRESS, datagram));
        }
        let good = open_flow(rig.agent(), CLAIMS, &ring(&[1]));
        rig.send(&proxied(CLAIMS_ADDRESS, &good));
        rig.forwarded().is_some_and(|(_, datagram)| datagram == good)
    }
}
