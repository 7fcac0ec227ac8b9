//! Planned stops, drains and certificate renewals.

use std::time::{Duration, Instant};

use crate::rig::{RigOptions, TestRig, eventually, write_certificate};

const DRAIN: RigOptions = RigOptions {
    slots: 3,
    limits: "drain_ms = 6000",
    dependency: false,
    direct: false,
};

// Guards against a restart that truncates a download: the agent is told to stop while a response
// is in flight and closes its flows before their requests ended.
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

// Guards against new work for a draining backend server: it reports that it drains while flows to
// its agent are open and requests on them are in progress, and only new flows are moved away.
#[tokio::test]
async fn a_draining_backend_server_gets_no_new_work_on_open_flows() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    let mut in_flight = caller
        .open("POST", "/status/2", &[])
        .await
        .expect("a stream");
    rig.pairs[0].backend.record.lock().health = Some("draining");
    let mut goaway = false;
    for _ in 0..30 {
        let tried = caller.send("GET", "/status/3", &[], b"").await;
        goaway = tried.is_none();
        if goaway {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        goaway,
        "no GOAWAY three seconds after the backend server reported that it drains"
    );
    in_flight.finish().await.expect("sent");
    let head = in_flight.recv_response().await.expect("a response");
    assert_eq!(head.headers()["lovagelatch-outcome"], "not-run");
    assert_eq!(rig.pairs[0].backend.started("/status/2"), 0);
}

// Guards against a planned stop that truncates an event of a feed: the drain limit passes while
// the feed is open, and its flow is closed.
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
    let body = reply.expect("a response").body.expect("a clean end");
    assert!(body.ends_with(b"\n\n"));
    assert!(start.elapsed() < Duration::from_secs(7));
}

#[tokio::test]
async fn a_renewed_certificate_is_used_without_a_restart() {
    let mut rig = TestRig::new().await;
    let old = rig.caller().await;
    let renewed = write_certificate(&rig.directory);
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
