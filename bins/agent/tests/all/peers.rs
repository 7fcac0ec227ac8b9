//! Work that goes to a peer's gate.

use std::time::Duration;

use crate::rig::{Reply, RigOptions, TestCaller, TestRig, eventually};

// Symptom: a request is refused although a peer could run it. Sequence: the own backend server
// sheds before the start, with proof. Cause: the proof is not used.
#[tokio::test]
async fn a_shed_request_is_tried_at_a_peer() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    rig.acquainted().await;
    let caller = rig.caller().await;
    // The retry budget is a share of recent requests.
    for _ in 0..20 {
        assert_eq!(caller.get("/status/1").await.outcome(), "done");
    }
    rig.pairs[0].backend.record.lock().sheds = true;
    for _ in 0..4 {
        let reply = caller.get("/status/5").await;
        assert_eq!(reply.outcome(), "done");
        assert_eq!(reply.header("lovagelatch-agent"), "agent-0");
    }
    assert!(rig.pairs[0].backend.record.lock().shed > 0);
    assert_eq!(rig.pairs[1].backend.started("/status/5"), 4);
    assert_eq!(rig.pairs[0].backend.started("/status/5"), 0);
}

// Symptom: an outage of the last service of a chain multiplies its load link by link. Sequence: a
// dependency refuses, the link next to it decides, the links above try again as well. Cause: the
// refusal does not bring back what is left of the attempts.
#[tokio::test]
async fn a_refusal_from_further_down_is_not_tried_again() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    rig.acquainted().await;
    let caller = rig.caller().await;
    for _ in 0..20 {
        assert_eq!(caller.get("/status/1").await.outcome(), "done");
    }
    let sheds = || -> usize {
        let records = rig.pairs.iter().map(|pair| pair.backend.record.lock().shed);
        records.sum()
    };
    assert_eq!(caller.get("/shed-below").await.outcome(), "not-run");
    assert_eq!(sheds(), 1);
    assert_eq!(caller.get("/shed").await.outcome(), "not-run");
    assert_eq!(
        sheds(),
        3,
        "a refusal of the server itself is tried at the other gate"
    );
}

// Symptom: requests on old flows fail, or run at the leaving server. Sequence: a backend server
// drains while flows to its agent are open. Cause: the flow's agent knows only its own gate.
#[tokio::test]
async fn requests_on_old_flows_of_a_draining_server_run_at_a_peer() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    rig.acquainted().await;
    let caller = rig.caller().await;
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    let mut begun = Vec::new();
    for _ in 0..5 {
        let stream = caller.open("POST", "/status/2", &[]).await;
        begun.push(stream.expect("a stream"));
    }
    rig.pairs[0].backend.record.lock().health = Some("draining");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for mut stream in begun {
        stream.finish().await.expect("sent");
        let head = stream.recv_response().await.expect("an answer");
        assert_eq!(head.headers()["lovagelatch-outcome"], "done");
    }
    assert_eq!(rig.pairs[0].backend.started("/status/2"), 0);
    assert_eq!(rig.pairs[1].backend.started("/status/2"), 5);
}

// Symptom: a retried filing runs twice after a planned stop. Sequence: a filing ran, its home
// stops and hands its ledger over, the caller asks again. Cause: the successor knows nothing.
#[tokio::test]
async fn a_stopped_homes_filing_is_replayed_by_its_successor() {
    let options = RigOptions {
        limits: "drain_ms = 4000",
        ..RigOptions::default()
    };
    let mut rig = TestRig::with_agents(2, options).await;
    rig.acquainted().await;
    let caller = rig.caller().await;
    let reply = caller.get("/.well-known/lovagelatch/ticket").await;
    let key = reply.header("lovagelatch-ticket").to_owned();
    let fields = [("idempotency-key", key.as_str())];
    let first = caller.send("POST", "/claims", &fields, b"{}").await;
    let first = first.expect("an answer");
    assert_eq!(first.status, 201);
    rig.pairs[0].agent.stop().await;
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let elsewhere = rig.caller().await;
    let again = elsewhere.send("POST", "/claims", &fields, b"{}").await;
    let again = again.expect("an answer");
    assert_eq!(again.status, 201);
    assert_eq!(again.body, first.body);
    assert_eq!(rig.pairs[0].backend.started("/claims"), 0);
}

// Symptom: a filing that ran is told as unknown after a rolling replacement, until the home that
// ended has left the list. Sequence: a replacement's backend server is still starting when its
// peer hands the ledger over; it is ready a moment later, and the caller asks there again. Cause:
// the ledger goes only to peers that take new work at that moment.
#[tokio::test]
async fn a_peer_that_is_still_starting_gets_the_ledger_too() {
    let options = RigOptions {
        limits: "drain_ms = 4000",
        ..RigOptions::default()
    };
    let mut rig = TestRig::with_agents(2, options).await;
    rig.acquainted().await;
    rig.pairs[1].backend.record.lock().health = Some("warming");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let caller = rig.caller().await;
    let key = ticket_of(&caller).await;
    let first = file_at(&caller, "/claims", &key).await;
    assert_eq!(first.status, 201);
    rig.pairs[0].agent.stop().await;
    rig.pairs[1].backend.record.lock().health = None;
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let elsewhere = rig.caller().await;
    let again = file_at(&elsewhere, "/claims", &key).await;
    assert_eq!(again.status, 201);
    assert_eq!(again.body, first.body);
}

// Symptom: requests end unknown, or hang until their deadlines, while a zone is cut off.
// Sequence: a peer that looks free is cut off; the gateway still takes streams to it. Cause: a
// stream that opened is taken for a peer that has the request.
#[tokio::test]
async fn a_peer_that_is_cut_off_costs_a_request_a_moment_only() {
    let options = RigOptions {
        slots: 1,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(2, options).await;
    rig.acquainted().await;
    let caller = rig.caller().await;
    for _ in 0..20 {
        assert_eq!(caller.get("/status/1").await.outcome(), "done");
    }
    rig.gateway.cut_streams(true);
    let holds = caller.start("GET", "/late", &[], b"").await;
    let backend = &rig.pairs[0].backend;
    eventually("the slot is held", || backend.started("/late") == 1).await;
    let start = std::time::Instant::now();
    let reply = caller.get("/status/2").await;
    assert_eq!(reply.outcome(), "done");
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(rig.pairs[1].backend.started("/status/2"), 0);
    drop(holds);
}

// Symptom: after a planned stop with many long answers on record, filings run twice. Sequence:
// the ledger is longer than a frame, its home stops, callers ask again. Cause: a successor that
// holds a part of the ledger, or none, takes a filing that ran for one that never did.
#[tokio::test]
async fn a_ledger_too_long_for_a_frame_is_handed_over_without_its_answers() {
    let options = RigOptions {
        limits: "drain_ms = 4000",
        ..RigOptions::default()
    };
    let mut rig = TestRig::with_agents(2, options).await;
    rig.acquainted().await;
    let caller = rig.caller().await;
    // 150 answers of 15 kB each are more than the 2 MB of a frame.
    let path = "/claims?bytes=15000";
    let mut keys = Vec::new();
    for _ in 0..150 {
        let key = ticket_of(&caller).await;
        assert_eq!(file_at(&caller, path, &key).await.status, 201);
        keys.push(key);
    }
    let unused = ticket_of(&caller).await;
    let ran = rig.pairs[1].backend.started(path);
    rig.pairs[0].agent.stop().await;
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let elsewhere = rig.caller().await;
    for key in keys.iter().step_by(30) {
        assert_eq!(file_at(&elsewhere, path, key).await.outcome(), "unknown");
    }
    assert_eq!(
        file_at(&elsewhere, path, &unused).await.outcome(),
        "not-run"
    );
    assert_eq!(rig.pairs[0].backend.started(path), ran);
}

async fn ticket_of(caller: &TestCaller) -> String {
    let reply = caller.get("/.well-known/lovagelatch/ticket").await;
    reply.header("lovagelatch-ticket").to_owned()
}

async fn file_at(caller: &TestCaller, path: &str, key: &str) -> Reply {
    let fields = [("idempotency-key", key)];
    let reply = caller.send("POST", path, &fields, b"{}").await;
    reply.expect("an answer")
}
