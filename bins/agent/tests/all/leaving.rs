//! Planned stops and renewals.

use std::time::{Duration, Instant};

use crate::rig::{RigOptions, TestRig, eventually, write_certificate};

const DRAIN: RigOptions = RigOptions {
    slots: 3,
    limits: "drain_ms = 6000",
    dependency: false,
    direct: false,
};

// Symptom: a restart cuts a download. Sequence: the agent is told to stop while an answer is on
// its way. Cause: it closed its flows before their requests ended.
#[tokio::test]
async fn a_stop_waits_for_requests_in_flight() {
    let rig = TestRig::with_agents(1, DRAIN).await;
    let caller = rig.caller().await;
    let running = caller.get("/late");
    let stopping = async {
        let backend = &rig.pairs[0].backend;
        eventually("the request starts", || backend.started("/late") == 1).await;
        rig.pairs[0].agent.stop().await;
    };
    let (reply, ()) = tokio::join!(running, stopping);
    assert_eq!(reply.outcome(), "done");
    assert_eq!(reply.body.as_deref(), Some(&b"too late"[..]));
}

// Symptom: a leaving backend server still gets work. Sequence: it says that it drains while
// flows to its agent are open, and requests on them are under way. Cause: only new flows were
// kept away.
#[tokio::test]
async fn a_draining_backend_server_gets_no_new_work_on_old_flows() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    let mut begun = caller
        .open("POST", "/status/2", &[])
        .await
        .expect("a stream");
    rig.pairs[0].backend.record.lock().health = Some("draining");
    let mut told = false;
    for _ in 0..30 {
        let tried = caller.send("GET", "/status/3", &[], b"").await;
        told = tried.is_none();
        if told {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        told,
        "no GOAWAY three seconds after the backend server said so"
    );
    begun.finish().await.expect("sent");
    let head = begun.recv_response().await.expect("an answer");
    assert_eq!(head.headers()["lovagelatch-outcome"], "not-run");
    assert_eq!(rig.pairs[0].backend.started("/status/2"), 0);
}

// Symptom: a planned stop cuts a feed in the middle of an event. Sequence: the drain limit comes
// while the feed is open. Cause: the flow is closed under it.
#[tokio::test]
async fn an_open_feed_ends_between_events_at_the_drain_limit() {
    let rig = TestRig::with_agents(1, DRAIN).await;
    let caller = rig.caller().await;
    let fields = [("accept", "text/event-stream")];
    let reading = caller.send("GET", "/feed", &fields, b"");
    let start = Instant::now();
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        rig.pairs[0].agent.stop().await;
    };
    let (reply, ()) = tokio::join!(reading, stopping);
    let body = reply.expect("an answer").body.expect("a clean end");
    assert!(body.ends_with(b"\n\n"));
    assert!(start.elapsed() < Duration::from_secs(7));
}

#[tokio::test]
async fn a_renewed_certificate_is_used_without_a_restart() {
    let mut rig = TestRig::new().await;
    let old = rig.caller().await;
    let renewed = write_certificate(&rig.folder);
    rig.trust(renewed);
    let mut opened = false;
    for _ in 0..50 {
        opened = rig.try_caller().await.is_ok();
        if opened {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(opened, "the renewed certificate is not in use");
    assert_eq!(old.get("/status/1").await.outcome(), "done");
}
