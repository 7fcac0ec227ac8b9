//! Once-only requests: each ticket runs once, wherever and however often it is tried.

use std::time::Duration;

use lovagelatch_domain::{Incarnation, ServiceId};
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret, RequestTicket};

use crate::rig::{CallerResponse, RigOptions, TestCaller, TestRig, eventually};

async fn fetch_ticket(caller: &TestCaller) -> String {
    let reply = caller.get("/.well-known/lovagelatch/ticket").await;
    assert_eq!(reply.status, 200);
    reply.header("lovagelatch-ticket").to_owned()
}

async fn submit_filing(caller: &TestCaller, key: &str) -> CallerResponse {
    let fields = [("idempotency-key", key)];
    let reply = caller.send("POST", "/claims", &fields, b"{}").await;
    reply.expect("a response")
}

#[tokio::test]
async fn a_filing_without_a_valid_ticket_is_not_run_and_gets_one() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    // The current key generation with an invalid tag: no agent can have issued it.
    let forged = format!("01{}", "0".repeat(96));
    for key in ["", "my-own-key", &forged] {
        let reply = submit_filing(&caller, key).await;
        assert_eq!(reply.status, 428, "{key}");
        assert_eq!(reply.outcome(), "not-run", "{key}");
        let fresh = reply.header("lovagelatch-ticket").to_owned();
        assert_eq!(submit_filing(&caller, &fresh).await.status, 201, "{key}");
    }
    assert_eq!(rig.pairs[0].backend.started("/claims"), 3);
}

// Guards against a filing that runs twice because its caller was told "not run": before the caller
// retries, the ticket's key generation is removed or the address is reassigned to another service,
// and the agent treats a ticket that it cannot verify as no ticket.
#[tokio::test]
async fn an_unverifiable_ticket_is_never_reported_as_not_run() {
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
        let reply = submit_filing(&caller, &key).await;
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
        assert_eq!(reply.expect("a response").status, 428, "{path}");
    }
}

// Guards against a filing that runs twice: its response is lost and its caller retries over
// another flow, possibly while the first attempt still runs.
#[tokio::test]
async fn one_ticket_over_several_flows_runs_once_and_is_replayed() {
    let rig = TestRig::new().await;
    let first = rig.caller().await;
    let key = fetch_ticket(&first).await;
    let mut callers = vec![first];
    for _ in 0..3 {
        callers.push(rig.caller().await);
    }
    let tries = callers.iter().map(|caller| submit_filing(caller, &key));
    let replies = futures::future::join_all(tries).await;
    let again = submit_filing(&callers[3], &key).await;
    for reply in replies.iter().chain([&again]) {
        assert_eq!(reply.status, 201);
        assert_eq!(reply.outcome(), "done");
        assert_eq!(reply.body, replies[0].body);
    }
    assert_eq!(rig.pairs[0].backend.started("/claims"), 1);
}

// Guards against a filing that is lost or runs twice when its caller's flow breaks: the caller
// returns over a new flow with the same ticket, but the run or its record was dropped with the
// first flow.
#[tokio::test]
async fn a_filing_outlives_its_callers_flow() {
    let rig = TestRig::new().await;
    let gone = rig.caller().await;
    let key = fetch_ticket(&gone).await;
    let fields = [("idempotency-key", key.as_str())];
    let _stream = gone.start("POST", "/claims", &fields, b"{}").await;
    let backend = &rig.pairs[0].backend;
    eventually("the filing starts", || backend.started("/claims") == 1).await;
    gone.connection.close(0_u32.into(), b"bye");
    let caller = rig.caller().await;
    assert_eq!(submit_filing(&caller, &key).await.status, 201);
    assert_eq!(backend.started("/claims"), 1);
}

// Guards against a filing that runs at two targets: its second attempt reaches another agent than
// the one that issued the ticket, and that agent runs it itself.
#[tokio::test]
async fn an_attempt_at_another_agent_is_run_by_its_home() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    let at_home = rig.caller().await;
    let key = fetch_ticket(&at_home).await;
    rig.gateway.forward_to(rig.pairs[1].address);
    let elsewhere = rig.caller().await;
    let first = submit_filing(&elsewhere, &key).await;
    assert_eq!(first.status, 201);
    assert_eq!(first.header("lovagelatch-agent"), "agent-1");
    let second = submit_filing(&elsewhere, &key).await;
    assert_eq!(second.body, first.body);
    let runs: usize = rig
        .pairs
        .iter()
        .map(|pair| pair.backend.started("/claims"))
        .sum();
    assert_eq!(runs, 1);
}

// Guards against an unknown outcome after a brief partition: the home is unreachable for a moment,
// and the attempt is abandoned immediately although nothing of it was sent.
#[tokio::test]
async fn a_home_cut_off_briefly_still_runs_the_filing() {
    let rig = TestRig::with_agents(2, RigOptions::default()).await;
    let key = fetch_ticket(&rig.caller().await).await;
    rig.gateway.forward_to(rig.pairs[1].address);
    let elsewhere = rig.caller().await;
    rig.gateway.cut_streams(true);
    let mending = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        rig.gateway.cut_streams(false);
    };
    let (reply, ()) = tokio::join!(submit_filing(&elsewhere, &key), mending);
    assert_eq!(reply.status, 201);
    assert_eq!(rig.pairs[0].backend.started("/claims"), 1);
    assert_eq!(rig.pairs[1].backend.started("/claims"), 0);
}

// Guards against a filing that ran being reported as not run, or running again: its home fails, the
// caller retries at another agent, and that agent acts in place of the home.
#[tokio::test]
async fn a_dead_home_makes_the_outcome_unknown() {
    let mut rig = TestRig::with_agents(2, RigOptions::default()).await;
    let key = fetch_ticket(&rig.caller().await).await;
    rig.gateway.forward_to(rig.pairs[1].address);
    let home = rig.pairs.remove(0);
    drop(home);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let elsewhere = rig.caller().await;
    let reply = submit_filing(&elsewhere, &key).await;
    assert_eq!(reply.outcome(), "unknown");
    assert_eq!(reply.header("lovagelatch-retry-after-ms"), "2000");
    assert_eq!(rig.pairs[0].backend.started("/claims"), 0);
}
