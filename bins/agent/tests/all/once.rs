//! Once-only requests: one run for each ticket, wherever and however often it is tried.

use std::time::Duration;

use lovagelatch_domain::{Incarnation, ServiceId};
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret, RequestTicket};

use crate::rig::{Reply, RigOptions, TestCaller, TestRig, eventually};

async fn ticket(caller: &TestCaller) -> String {
    let reply = caller.get("/.well-known/lovagelatch/ticket").await;
    assert_eq!(reply.status, 200);
    reply.header("lovagelatch-ticket").to_owned()
}

async fn file(caller: &TestCaller, key: &str) -> Reply {
    let fields = [("idempotency-key", key)];
    let reply = caller.send("POST", "/claims", &fields, b"{}").await;
    reply.expect("an answer")
}

#[tokio::test]
async fn a_filing_without_a_good_ticket_is_not_run_and_gets_one() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    // Of the generation in force, with a wrong tag: no agent can have made it.
    let forged = format!("01{}", "0".repeat(96));
    for key in ["", "my-own-key", &forged] {
        let reply = file(&caller, key).await;
        assert_eq!(reply.status, 428, "{key}");
        assert_eq!(reply.outcome(), "not-run", "{key}");
        let fresh = reply.header("lovagelatch-ticket").to_owned();
        assert_eq!(file(&caller, &fresh).await.status, 201, "{key}");
    }
    assert_eq!(rig.pairs[0].backend.started("/claims"), 3);
}

// Symptom: a caller is told "not run" of a filing that ran, files anew, and it runs twice.
// Sequence: it files with a ticket; before it asks again, the ticket's key generation is dropped,
// or the address passes to another service. Cause: a ticket that cannot be judged here is taken
// for no ticket at all.
#[tokio::test]
async fn a_ticket_that_cannot_be_judged_is_never_told_not_run() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let dropped = KeySecret::generate(KeyGeneration(7)).expect("randomness");
    let dropped = FleetKeys::new(&[dropped]).expect("one key");
    let elsewhere = RequestTicket {
        home: rig.pairs[0].address,
        incarnation: Incarnation(1),
        service: ServiceId(77),
        serial: 1,
        issued_seconds: 1,
    };
    for key in [elsewhere.seal(&dropped), elsewhere.seal(&rig.keys())] {
        let reply = file(&caller, &key).await;
        assert_eq!(reply.outcome(), "unknown", "{key}");
        assert_eq!(reply.status, 502, "{key}");
    }
    assert_eq!(rig.pairs[0].backend.started("/claims"), 0);
}

#[tokio::test]
async fn another_spelling_of_a_once_only_route_is_once_only() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    for path in ["/%63laims", "//claims", "/claims/", "/claims?x=1"] {
        let reply = caller.send("POST", path, &[], b"{}").await;
        assert_eq!(reply.expect("an answer").status, 428, "{path}");
    }
}

// Symptom: a filing runs twice. Sequence: its answer is lost, and its caller
// files again over another flow, also while the first still runs. Cause: two runs.
#[tokio::test]
async fn one_ticket_over_several_flows_runs_once_and_is_replayed() {
    let rig = TestRig::new().await;
    let first = rig.caller().await;
    let key = ticket(&first).await;
    let mut callers = vec![first];
    for _ in 0..3 {
        callers.push(rig.caller().await);
    }
    let tries = callers.iter().map(|caller| file(caller, &key));
    let replies = futures::future::join_all(tries).await;
    let again = file(&callers[3], &key).await;
    for reply in replies.iter().chain([&again]) {
        assert_eq!(reply.status, 201);
        assert_eq!(reply.outcome(), "done");
        assert_eq!(reply.body, replies[0].body);
    }
    assert_eq!(rig.pairs[0].backend.started("/claims"), 1);
}

// Symptom: a filing is lost or doubled when its caller's flow breaks. Sequence: the caller
// leaves while the filing runs, comes back over a new flow with the same ticket. Cause: the run
// was cancelled with the flow, or its record was.
#[tokio::test]
async fn a_filing_outlives_its_callers_flow() {
    let rig = TestRig::new().await;
    let gone = rig.caller().await;
    let key = ticket(&gone).await;
    let fields = [("idempotency-key", key.as_str())];
    let _stream = gone.start("POST", "/claims", &fields, b"{}").await;
    let backend = &rig.pairs[0].backend;
    eventually("the filing starts", || backend.started("/claims") == 1).await;
    gone.connection.close(0_u32.into(), b"bye");
    let caller = rig.caller().await;
    assert_eq!(file(&caller, &key).await.status, 201);
    assert_eq!(backend.started("/claims"), 1);
}

// Symptom: a filing runs at two targets. Sequence: its second attempt reaches another agent
// than the one that handed the ticket out. Cause: that agent runs it itself.
#[tokio::test]
async fn an_attempt_at_another_agent_is_run_by_its_home() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    let at_home = rig.caller().await;
    let key = ticket(&at_home).await;
    rig.gateway.forward_to(rig.pairs[1].address);
    let elsewhere = rig.caller().await;
    let first = file(&elsewhere, &key).await;
    assert_eq!(first.status, 201);
    assert_eq!(first.header("lovagelatch-agent"), "agent-1");
    let second = file(&elsewhere, &key).await;
    assert_eq!(second.body, first.body);
    let runs: usize = rig
        .pairs
        .iter()
        .map(|pair| pair.backend.started("/claims"))
        .sum();
    assert_eq!(runs, 1);
}

// Symptom: a filing ends unknown because of a break of a moment. Sequence: the home cannot be
// reached when an attempt comes, and can be a moment later. Cause: the attempt was given up at
// once, although nothing of it was handed over.
#[tokio::test]
async fn a_home_that_is_cut_off_for_a_moment_still_runs_it() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    let key = ticket(&rig.caller().await).await;
    rig.gateway.forward_to(rig.pairs[1].address);
    let elsewhere = rig.caller().await;
    rig.gateway.cut_streams(true);
    let mending = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        rig.gateway.cut_streams(false);
    };
    let (reply, ()) = tokio::join!(file(&elsewhere, &key), mending);
    assert_eq!(reply.status, 201);
    assert_eq!(rig.pairs[0].backend.started("/claims"), 1);
    assert_eq!(rig.pairs[1].backend.started("/claims"), 0);
}

// Symptom: a filing that ran is told as not run, or runs again. Sequence: its home dies; the
// caller tries again at another agent. Cause: that agent takes the dead home's part.
#[tokio::test]
async fn a_dead_home_makes_the_outcome_unknown() {
    let mut rig = TestRig::with_agents(2, RigOptions::default()).await;
    let key = ticket(&rig.caller().await).await;
    rig.gateway.forward_to(rig.pairs[1].address);
    let home = rig.pairs.remove(0);
    drop(home);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let elsewhere = rig.caller().await;
    let reply = file(&elsewhere, &key).await;
    assert_eq!(reply.outcome(), "unknown");
    assert_eq!(reply.header("lovagelatch-retry-after-ms"), "2000");
    assert_eq!(rig.pairs[0].backend.started("/claims"), 0);
}
