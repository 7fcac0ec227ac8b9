//! Datagrams that are not for this agent.

use std::time::{Duration, Instant};

use lovagelatch_domain::ServiceId;
use tokio::net::UdpSocket;

use crate::rig::{RigOptions, TestCaller, TestRig, local};

// Symptom: an outage report reaches the map service. Sequence: an address passes from one
// service to another, a balancer with the older view forwards by it. Cause: the agent trusts
// the balancer.
#[tokio::test]
async fn a_frame_of_another_service_is_refused_unanswered() {
    let rig = TestRig::new().await;
    rig.gateway.pretend_service(ServiceId(77));
    let opening = TestCaller::try_connect(rig.gateway.service_address, rig.certificate());
    let opened = tokio::time::timeout(Duration::from_millis(500), opening).await;
    assert!(opened.is_err(), "a flow of another service opened");
    assert_eq!(rig.gateway.answers(), 0);
}

// Symptom: a feed stays silent for half a minute after its agent died. Sequence: an agent dies,
// a balancer gives its flows' packets to another agent of the service. Cause: that agent cannot
// end flows it does not know.
#[tokio::test]
async fn a_dead_agents_flow_is_reset_by_its_peer() {
    let mut rig = TestRig::with_agents(2, RigOptions::default()).await;
    let caller = rig.caller().await;
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let start = Instant::now();
    let reply = caller.send("GET", "/status/2", &[], b"").await;
    assert!(reply.is_none(), "a request of a dead flow was answered");
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
