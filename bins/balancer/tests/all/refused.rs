//! Packets for an agent whose process has ended while its host runs.

use std::time::{Duration, Instant};

use lovagelatch_domain::AgentAddress;
use lovagelatch_routing::PacketView;
use lovagelatch_settings::IngressKind;

use crate::support::{
    CALLER, CLAIMS, CLAIMS_ADDRESS, ForwardRig, address, bind, open_flow, proxied, receive, ring,
};

/// How soon the caller's packet must be with an agent that resets its flow. It took seconds
/// before: until peers had suspected the dead agent for long.
const RESET_LIMIT: Duration = Duration::from_secs(1);

/// An address at which nobody listens any more.
fn ended_agent() -> AgentAddress {
    AgentAddress(address(&bind()))
}

/// A caller's small packet of a flow that `agent` held.
fn packet_of(agent: AgentAddress) -> Vec<u8> {
    proxied(CLAIMS_ADDRESS, &open_flow(agent, CLAIMS, &ring(&[1])))
}

/// Symptom: after an agent's process crashes, its callers hear nothing for up to 19 s. Sequence:
/// the process ends; its host answers every forwarded packet with "port unreachable"; the list
/// and the peers learn of it later. Cause: a balancer that does not read these answers.
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
    // With one hop behind it, the agent resets the flow without asking its own view.
    assert_eq!((header.hops, header.caller), (1, CALLER));
    assert_eq!(header.service, CLAIMS);
    let packet = PacketView::read(&datagram, CLAIMS_ADDRESS, &ring(&[1])).expect("a packet");
    assert_eq!(packet.token.map(|token| token.agent), Some(ended));
    let expected = [("forwarded".to_owned(), 1), ("returned".to_owned(), 1)];
    assert_eq!(rig.finish(), expected.into());
}

/// Symptom: packets of healthy flows are lost whenever some agent crashes. Sequence: the kernel
/// tells of a host's answer by failing the next send, which is for another agent. Cause: a failed
/// send that is not tried again.
#[test]
fn an_ended_agent_costs_no_packet_of_others() {
    const ROUNDS: usize = 10;
    /// Few enough for the buffers of the test's own sockets.
    const PACKETS: usize = 20;
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let ended = ended_agent();
    rig.set_targets(CLAIMS_ADDRESS, &[rig.agent(), ended]);
    let (mut own, mut returned) = (0, 0);
    for _ in 0..ROUNDS {
        for _ in 0..PACKETS {
            rig.send(&packet_of(ended));
            rig.send(&packet_of(rig.agent()));
        }
        for _ in 0..2 * PACKETS {
            let (header, _) = rig.forwarded().expect("all come through");
            let count = if header.hops == 0 {
                &mut own
            } else {
                &mut returned
            };
            *count += 1;
        }
    }
    assert_eq!((own, returned), (ROUNDS * PACKETS, ROUNDS * PACKETS));
    let totals = rig.finish();
    assert_eq!(totals.get("not_sent"), None, "{totals:?}");
}

/// Symptom: a packet circles between balancer and ended agents. Sequence: all agents of a
/// service end at once. Cause: a packet that came back twice and is sent out again.
#[test]
fn a_packet_comes_back_once() {
    let rig = ForwardRig::new(IngressKind::ProxyV2);
    let (one, other) = (ended_agent(), ended_agent());
    rig.set_targets(CLAIMS_ADDRESS, &[one, other]);
    rig.send(&packet_of(one));
    std::thread::sleep(Duration::from_millis(400));
    let expected = [("forwarded".to_owned(), 1), ("returned".to_owned(), 1)];
    assert_eq!(rig.finish(), expected.into());
}

/// A host quotes 520 bytes of what it refuses: the largest frame that comes back whole is taken,
/// a larger one is left alone.
#[test]
fn what_a_host_quotes_whole_is_taken() {
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

/// Nobody else is left to reset the flow; the packet is dropped and counted.
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
