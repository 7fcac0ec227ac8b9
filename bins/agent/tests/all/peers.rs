//! Requests that run at a peer's gate, and ledgers handed over to a peer.

use std::time::Duration;

use crate::rig::{CallerResponse, RigOptions, TestCaller, TestRig, eventually};

// Guards against refusing a request that a peer could run: the local backend server sheds it with
// proof that it did not start, and the agent does not retry.
#[tokio::test]
async fn a_shed_request_is_retried_at_a_peer() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    rig.wait_for_peers().await;
    let caller = rig.caller().await;
    // The retry budget is a fraction of recent requests.
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

// Guards against retries that multiply along a chain of services: a dependency refuses, the agent
// next to it decides about retries, and the agents up the chain retry as well because the refusal
// does not carry the remaining attempts.
#[tokio::test]
async fn a_refusal_from_further_down_is_not_retried() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    rig.wait_for_peers().await;
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
        "a refusal of the backend server itself is retried at the other gate"
    );
}

// Guards against requests on open flows that fail, or run at a draining server: a backend server
// drains while flows to its agent are open, and the agent uses only its own gate.
#[tokio::test]
async fn requests_on_open_flows_of_a_draining_server_run_at_a_peer() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    rig.wait_for_peers().await;
    let caller = rig.caller().await;
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    let mut in_flight = Vec::new();
    for _ in 0..5 {
        let stream = caller.open("POST", "/status/2", &[]).await;
        in_flight.push(stream.expect("a stream"));
    }
    rig.pairs[0].backend.record.lock().health = Some("draining");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for mut stream in in_flight {
        stream.finish().await.expect("sent");
        let head = stream.recv_response().await.expect("a response");
        assert_eq!(head.headers()["lovagelatch-outcome"], "done");
    }
    assert_eq!(rig.pairs[0].backend.started("/status/2"), 0);
    assert_eq!(rig.pairs[1].backend.started("/status/2"), 5);
}

// Guards against a filing that runs twice after a planned stop: its home hands its ledger over and
// stops, the caller retries, and the successor does not know the filing.
#[tokio::test]
async fn a_stopped_homes_filing_is_replayed_by_its_successor() {
    let options = RigOptions {
        limits: "drain_ms = 4000",
        ..RigOptions::default()
    };
    let mut rig = TestRig::with_agents(2, options).await;
    rig.wait_for_peers().await;
    let caller = rig.caller().await;
    let reply = caller.get("/.well-known/lovagelatch/ticket").await;
    let key = reply.header("lovagelatch-ticket").to_owned();
    let fields = [("idempotency-key", key.as_str())];
    let first = caller.send("POST", "/claims", &fields, b"{}").await;
    let first = first.expect("a response");
    assert_eq!(first.status, 201);
    rig.pairs[0].agent.stop().await;
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let elsewhere = rig.caller().await;
    let again = elsewhere.send("POST", "/claims", &fields, b"{}").await;
    let again = again.expect("a response");
    assert_eq!(again.status, 201);
    assert_eq!(again.body, first.body);
    assert_eq!(rig.pairs[0].backend.started("/claims"), 0);
}

// Guards against an unknown outcome of a filing that ran, after a rolling replacement: the backend
// server of a replacement is still starting when its peer hands the ledger over, and the ledger
// goes only to peers that accept new work at that moment. Callers retry there once it is ready.
#[tokio::test]
async fn a_peer_that_is_still_starting_receives_the_ledger() {
    let options = RigOptions {
        limits: "drain_ms = 4000",
        ..RigOptions::default()
    };
    let mut rig = TestRig::with_agents(2, options).await;
    rig.wait_for_peers().await;
    rig.pairs[1].backend.record.lock().health = Some("warming");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let caller = rig.caller().await;
    let key = fetch_ticket(&caller).await;
    let first = submit_filing(&caller, "/claims", &key).await;
    assert_eq!(first.status, 201);
    rig.pairs[0].agent.stop().await;
    rig.pairs[1].backend.record.lock().health = None;
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let elsewhere = rig.caller().await;
    let again = submit_filing(&elsewhere, "/claims", &key).await;
    assert_eq!(again.status, 201);
    assert_eq!(again.body, first.body);
}

// Guards against requests that end unknown, or hang until their deadline, while a zone is
// partitioned: the gateway still accepts streams to an unreachable peer, and an open stream is
// mistaken for a peer that received the request.
#[tokio::test]
async fn an_unreachable_peer_delays_a_request_only_briefly() {
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
    rig.gateway.cut_streams(true);
    let in_flight = caller.start("GET", "/late", &[], b"").await;
    let backend = &rig.pairs[0].backend;
    eventually("the slot is in use", || backend.started("/late") == 1).await;
    let start = std::time::Instant::now();
    let reply = caller.get("/status/2").await;
    assert_eq!(reply.outcome(), "done");
    assert!(start.elapsed() < Duration::from_secs(2));
    assert_eq!(rig.pairs[1].backend.started("/status/2"), 0);
    drop(in_flight);
}

// Guards against filings that run twice after a planned stop with many long responses on record:
// the ledger exceeds a frame, and a successor that received a part of it, or nothing, treats a
// filing that ran as one that never did.
#[tokio::test]
async fn a_ledger_too_large_for_a_frame_is_handed_over_without_its_responses() {
    let options = RigOptions {
        limits: "drain_ms = 4000",
        ..RigOptions::default()
    };
    let mut rig = TestRig::with_agents(2, options).await;
    rig.wait_for_peers().await;
    let caller = rig.caller().await;
    // 150 responses of 15 kB each exceed the 2 MB of a frame.
    let path = "/claims?bytes=15000";
    let mut keys = Vec::new();
    for _ in 0..150 {
        let key = fetch_ticket(&caller).await;
        assert_eq!(submit_filing(&caller, path, &key).await.status, 201);
        keys.push(key);
    }
    let unused = fetch_ticket(&caller).await;
    let ran = rig.pairs[1].backend.started(path);
    rig.pairs[0].agent.stop().await;
    rig.gateway.forward_to(rig.pairs[1].address);
    rig.kill(0);
    let elsewhere = rig.caller().await;
    for key in keys.iter().step_by(30) {
        assert_eq!(
            submit_filing(&elsewhere, path, key).await.outcome(),
            "unknown"
        );
    }
    assert_eq!(
        submit_filing(&elsewhere, path, &unused).await.outcome(),
        "not-run"
    );
    assert_eq!(rig.pairs[0].backend.started(path), ran);
}

async fn fetch_ticket(caller: &TestCaller) -> String {
    let reply = caller.get("/.well-known/lovagelatch/ticket").await;
    reply.header("lovagelatch-ticket").to_owned()
}

async fn submit_filing(caller: &TestCaller, path: &str, key: &str) -> CallerResponse {
    let fields = [("idempotency-key", key)];
    let reply = caller.send("POST", path, &fields, b"{}").await;
    reply.expect("a response")
}
