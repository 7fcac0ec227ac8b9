//! Tests with an agent whose process has ended while its host is up.

use std::time::{Duration, Instant};

use lovagelatch_domain::AgentAddress;
use lovagelatch_routing::PacketView;
use lovagelatch_settings::IngressKind;

use crate::support::{
    CALLER, CLAIMS, CLAIMS_ADDRESS, ForwardRig, address, bind, open_flow, proxied, receive, ring,
};

/// Time within which the caller's packet must reach an agent that resets its flow. Without ICMP
/// errors it took seconds, until peers had suspected the ended agent for long enough.
const RESET_LIMIT: Duration = Duration::from_secs(1);

/// Returns an agent address whose port is closed.
fn ended_agent() -> AgentAddress {
    AgentAddress(address(&bind()))
}

/// Returns a caller's small packet of a flow that `agent` held.
fn packet_of(agent: AgentAddress) -> Vec<u8> {
    proxied(CLAIMS_ADDRESS, &open_flow(agent, CLAIMS, &ring(&[1])))
}

/// Guards against callers that get no answer for up to 19 s after an agent's process crashes. Its
/// host answers every forwarded packet with "port unreachable" long before the list and the peers
/// detect the crash, so a balancer that ignored these ICMP errors would delay the reset.
#[test]
fn a_flow_of_an_ended_agent_is_reset_within_a_second() {
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let ended = ended_agent();
    rig.set_targets(CLAIMS_ADDRESS, &[rig.agent(), ended]);
    let start = Instant::now();
    rig.send(&packet_of(ended));
    let (header, datagram) = rig.forwarded().expect("another agent is asked");
    let taken = start.elapsed();
    println!("one packet, then nothing: {} us", taken.as_micros());
    assert!(taken < RESET_LIMIT, "{taken:?}");
    // With `hops` at 1, the agent resets the flow without consulting its own view.
    assert_eq!((header.hops, header.caller), (1, CALLER));
    assert_eq!(header.service, CLAIMS);
    let packet = PacketView::read(&datagram, CLAIMS_ADDRESS, &ring(&[1])).expect("a packet");
    assert_eq!(packet.token.map(|token| token.agent), Some(ended));
    let expected = [("forwarded".to_owned(), 1), ("returned".to_owned(), 1)];
    assert_eq!(rig.finish(), expected.into());
}

/// Guards against losing packets of healthy flows when some agent crashes. The kernel reports an
/// ICMP error by failing the next send, which may be to another agent, so that send must be
/// retried.
#[test]
fn an_ended_agent_loses_no_packets_of_other_agents() {
    const ROUNDS: usize = 10;
    /// Few enough to fit into the buffers of the test's sockets.
    const PACKETS: usize = 20;
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let ended = ended_agent();
    rig.set_targets(CLAIMS_ADDRESS, &[rig.agent(), ended]);
    let (mut direct, mut returned) = (0, 0);
    for _ in 0..ROUNDS {
        for _ in 0..PACKETS {
            rig.send(&packet_of(ended));
            rig.send(&packet_of(rig.agent()));
        }
        for _ in 0..2 * PACKETS {
            let (header, _) = rig.forwarded().expect("all come through");
            let count = if header.hops == 0 {
                &mut direct
            } else {
                &mut returned
            };
            *count += 1;
        }
    }
    assert_eq!((direct, returned), (ROUNDS * PACKETS, ROUNDS * PACKETS));
    let totals = rig.finish();
    assert_eq!(totals.get("not_sent"), None, "{totals:?}");
}

/// Guards against a packet that loops between the balancer and ended agents when all agents of a
/// service end at once: a packet that is returned a second time must be dropped.
#[test]
fn a_returned_packet_is_rerouted_once() {
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let (one, other) = (ended_agent(), ended_agent());
    rig.set_targets(CLAIMS_ADDRESS, &[one, other]);
    rig.send(&packet_of(one));
    std::thread::sleep(Duration::from_millis(400));
    let expected = [("forwarded".to_owned(), 1), ("returned".to_owned(), 1)];
    assert_eq!(rig.finish(), expected.into());
}

/// A host quotes at most 520 bytes of an undeliverable datagram. The largest frame that is quoted
/// in full is rerouted; a larger one is ignored.
#[test]
fn a_frame_quoted_in_full_is_rerouted() {
    const LARGEST: usize = 476;
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let ended = ended_agent();
    rig.set_targets(CLAIMS_ADDRESS, &[rig.agent(), ended]);
    for length in [LARGEST + 1, LARGEST] {
        let mut packet = open_flow(ended, CLAIMS, &ring(&[1]));
        packet.resize(length, 7);
        rig.send(&proxied(CLAIMS_ADDRESS, &packet));
    }
    let (_, datagram) = rig.forwarded().expect("another agent is asked");
    assert_eq!(datagram.len(), LARGEST);
    let expected = [("forwarded".to_owned(), 2), ("returned".to_owned(), 1)];
    assert_eq!(rig.finish(), expected.into());
}

/// No other agent is left to reset the flow; the packet is dropped and counted.
#[test]
fn without_another_agent_a_packet_is_dropped() {
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let ended = ended_agent();
    rig.set_targets(CLAIMS_ADDRESS, &[ended]);
    rig.send(&packet_of(ended));
    rig.send(&packet_of(rig.agent()));
    assert!(receive(&rig.sink).is_some());
    std::thread::sleep(Duration::from_millis(300));
    let expected = [("forwarded".to_owned(), 2), ("no_target".to_owned(), 1)];
    assert_eq!(rig.finish(), expected.into());
}
