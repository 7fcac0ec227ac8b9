//! Datagrams that this agent must forward, reset or refuse.

use std::time::{Duration, Instant};

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_wire::open_forward;
use tokio::net::UdpSocket;

use crate::rig::{RigOptions, TestCaller, TestRig, eventually, local, to_v4};

// Guards against a request reaching the wrong service: an address is reassigned to another service,
// a balancer with a stale view still forwards by it, and the agent does not check the service.
#[tokio::test]
async fn a_frame_of_another_service_is_refused_silently() {
    let rig = TestRig::new().await;
    rig.wait_for_config().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let responses = rig.gateway.responses();
    rig.gateway.spoof_service(ServiceId(77));
    let opening = TestCaller::try_connect(rig.gateway.service_address, rig.certificate());
    let opened = tokio::time::timeout(Duration::from_millis(500), opening).await;
    assert!(opened.is_err(), "a flow of another service opened");
    assert_eq!(rig.gateway.responses(), responses);
}

// Guards against a feed that hangs for half a minute after its agent failed: a balancer forwards
// the flow's packets to another agent of the service, which cannot reset a flow it does not know.
#[tokio::test]
async fn a_dead_agents_flow_is_reset_by_its_peer() {
    let mut rig = TestRig::with_agents(2, RigOptions::default()).await;
    let caller = rig.caller().await;
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let start = Instant::now();
    let reply = caller.send("GET", "/status/2", &[], b"").await;
    assert!(
        reply.is_none(),
        "a request on a dead agent's flow was answered"
    );
    let reason = caller.connection.closed().await;
    assert_eq!(reason, quinn::ConnectionError::Reset);
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn garbage_and_forged_frames_change_nothing() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let control = rig.pairs[0].address.0;
    let socket = UdpSocket::bind(local(0)).await.expect("a socket");
    for length in 0..200_usize {
        let mut garbage = vec![1; length];
        if let Some(kind) = garbage.get_mut(1) {
            *kind = u8::try_from(length % 7).expect("small");
        }
        socket.send_to(&garbage, control).await.expect("sent");
    }
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
}

// Guards against a leaving agent accepting new flows, which end with it: a balancer with a stale
// view still sends it new flows, and the agent accepts them.
#[tokio::test]
async fn a_leaving_agent_forwards_new_flows_to_a_peer() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    rig.wait_for_peers().await;
    rig.pairs[0].backend.record.lock().health = Some("draining");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for _ in 0..5 {
        let caller = rig.caller().await;
        for _ in 0..3 {
            let reply = caller.get("/status/1").await;
            assert_eq!(reply.outcome(), "done");
            assert_eq!(reply.header("lovagelatch-agent"), "agent-1");
        }
    }
    assert_eq!(rig.pairs[0].backend.started("/status/1"), 0);
}

// Guards against new flows accumulating at an agent whose backend server is full while its peer is
// idle: balancers place new flows by their hash, and the agent accepts each of them.
#[tokio::test]
async fn an_agent_over_its_share_forwards_new_flows() {
    let options = RigOptions {
        slots: 1,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(2, options).await;
    rig.wait_for_peers().await;
    let caller = rig.caller().await;
    for _ in 0..20 {
        assert_eq!(caller.get("/status/1").await.outcome(), "done");
    }
    // Without streams to its peer's gate, the agent has only its own; heartbeats still arrive.
    rig.gateway.cut_streams(true);
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(caller.start("GET", "/late", &[], b"").await);
    }
    eventually("the only slot is in use", || {
        rig.pairs[0].backend.started("/late") > 0
    })
    .await;
    let newer = rig.caller().await;
    let reply = newer.get("/status/2").await;
    assert_eq!(reply.header("lovagelatch-agent"), "agent-1");
    let metrics = rig.pairs[0].agent.metrics_text().expect("metrics");
    let flow_counter = metrics.lines().find(|line| {
        line.starts_with("lovagelatch_agent_flows_total") && line.contains("handed_on")
    });
    assert!(
        flow_counter.is_some_and(|line| !line.ends_with(" 0")),
        "{flow_counter:?}"
    );
}

/// The first datagram of a handshake with a chosen connection ID.
fn initial_datagram(id: [u8; 8]) -> Vec<u8> {
    let mut datagram = vec![0xc3, 0, 0, 0, 1, 8];
    datagram.extend_from_slice(&id);
    datagram.resize(1_200, 0);
    datagram
}

/// Whether a datagram that the agent forwards reaches the peer within 150 ms.
async fn forwarded_to_peer(peer: &UdpSocket, rig: &TestRig) -> bool {
    let mut buffer = vec![0; 2_000];
    let receiving = async {
        loop {
            let (length, _) = peer.recv_from(&mut buffer).await.expect("a datagram");
            if let Ok((header, _)) = open_forward(&buffer[..length], &rig.keys()) {
                return header.hops;
            }
        }
    };
    let received = tokio::time::timeout(Duration::from_millis(150), receiving).await;
    assert!(matches!(received, Ok(1) | Err(_)), "{received:?}");
    received.is_ok()
}

// Guards against handshakes that never complete while load or conditions change: each datagram is
// routed anew, so one is accepted here and the next one forwarded, or the reverse.
#[tokio::test]
async fn a_handshake_follows_its_first_datagram() {
    let rig = TestRig::new().await;
    rig.wait_for_config().await;
    let peer = UdpSocket::bind(local(0)).await.expect("a socket");
    rig.list_peer(AgentAddress(to_v4(peer.local_addr().expect("an address"))));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let (kept, moved) = (initial_datagram([1; 8]), initial_datagram([2; 8]));
    rig.gateway.send_as_caller(&kept).await;
    assert!(!forwarded_to_peer(&peer, &rig).await);
    rig.pairs[0].backend.record.lock().health = Some("draining");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    rig.gateway.send_as_caller(&kept).await;
    assert!(
        !forwarded_to_peer(&peer, &rig).await,
        "the second datagram was forwarded"
    );
    rig.gateway.send_as_caller(&moved).await;
    assert!(
        forwarded_to_peer(&peer, &rig).await,
        "a new flow was accepted"
    );
    rig.pairs[0].backend.record.lock().health = Some("ready");
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    rig.gateway.send_as_caller(&moved).await;
    assert!(
        forwarded_to_peer(&peer, &rig).await,
        "the second datagram was accepted"
    );
}
