//! The whole path of a request: from a caller to the backend server and back.

use crate::rig::TestRig;

#[tokio::test]
async fn responses_arrive_complete_with_outcome_agent_and_ticket() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let reply = caller
        .send(
            "GET",
            "/status/7?work_ms=1",
            &[
                ("lovagelatch-caller-request", "q-1"),
                ("lovagelatch-attempt", "forged"),
            ],
            b"",
        )
        .await
        .expect("a response");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body.as_deref(), Some(&b"/status/7?work_ms=1"[..]));
    assert_eq!(reply.outcome(), "done");
    assert_eq!(reply.header("lovagelatch-agent"), "agent-0");
    assert!(!reply.header("lovagelatch-ticket").is_empty());
    assert!(reply.header("lovagelatch-attempt").is_empty());
    let head = rig.pairs[0].backend.record.lock().last_head.clone();
    assert!(head.contains("lovagelatch-caller-request: q-1"), "{head}");
    assert!(!head.contains("forged"), "{head}");
}

#[tokio::test]
async fn bodies_reach_the_backend_server() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let body = vec![7; 200_000];
    let reply = caller.send("POST", "/upload", &[], &body).await;
    assert_eq!(reply.expect("a response").outcome(), "done");
    assert_eq!(rig.pairs[0].backend.record.lock().last_body, body);
}

#[tokio::test]
async fn feeds_hold_no_slot() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let mut feeds = Vec::new();
    for _ in 0..5 {
        let fields = [("accept", "text/event-stream")];
        let mut feed = caller
            .start("GET", "/feed", &fields, b"")
            .await
            .expect("a feed");
        assert_eq!(feed.recv_response().await.expect("a head").status(), 200);
        assert!(feed.recv_data().await.expect("an event").is_some());
        feeds.push(feed);
    }
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
}

#[tokio::test]
async fn reserved_paths_are_unreachable_in_any_spelling() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let paths = [
        "/.well-known/lovagelatch/cancel/00000000000000000000000000000001",
        "//.well-known/lovagelatch/health",
        "/a/../.well-known/lovagelatch/health",
        "/%2ewell-known/lovagelatch/health",
    ];
    for path in paths {
        let reply = caller
            .send("POST", path, &[], b"")
            .await
            .expect("a response");
        assert_eq!(reply.status, 404, "{path}");
    }
    assert!(rig.pairs[0].backend.record.lock().cancelled.is_empty());
}
