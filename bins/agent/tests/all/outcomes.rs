//! The outcomes that callers receive when the backend server fails or a deadline passes.

use std::time::{Duration, Instant};

use crate::rig::{RigOptions, TestRig, eventually};

/// A request and its expected outcome.
struct OutcomeCase {
    name: &'static str,
    path: &'static str,
    deadline_ms: &'static str,
    status: u16,
    outcome: &'static str,
    /// How many requests the backend server starts.
    started: usize,
}

const CASES: [OutcomeCase; 7] = [
    OutcomeCase {
        name: "a response in time",
        path: "/late",
        deadline_ms: "2000",
        status: 200,
        outcome: "done",
        started: 1,
    },
    OutcomeCase {
        name: "started, then the deadline passes: the cancellation arrives too late",
        path: "/late",
        deadline_ms: "300",
        status: 504,
        outcome: "unknown",
        started: 1,
    },
    OutcomeCase {
        name: "the server never starts it and confirms the cancellation",
        path: "/queued",
        deadline_ms: "300",
        status: 503,
        outcome: "not-run",
        started: 0,
    },
    // Guards against "not run" for a filing that ran: the server starts it and fails, and its
    // successor at the same address confirms the cancellation of an attempt it does not know.
    OutcomeCase {
        name: "the server fails after the start, its successor confirms a cancellation",
        path: "/restarted",
        deadline_ms: "2000",
        status: 502,
        outcome: "unknown",
        started: 1,
    },
    OutcomeCase {
        name: "the server refuses before starting the request",
        path: "/shed",
        deadline_ms: "2000",
        status: 503,
        outcome: "not-run",
        started: 0,
    },
    OutcomeCase {
        name: "the response names another attempt",
        path: "/crossed",
        deadline_ms: "2000",
        status: 502,
        outcome: "unknown",
        started: 1,
    },
    OutcomeCase {
        name: "the response names no attempt",
        path: "/unmarked",
        deadline_ms: "2000",
        status: 502,
        outcome: "unknown",
        started: 1,
    },
];

#[tokio::test]
async fn callers_receive_the_actual_outcome() {
    for case in &CASES {
        let rig = TestRig::new().await;
        let caller = rig.caller().await;
        let fields = [("lovagelatch-deadline-ms", case.deadline_ms)];
        let reply = caller.send("GET", case.path, &fields, b"").await;
        let reply = reply.expect("a response");
        assert_eq!(reply.outcome(), case.outcome, "{}", case.name);
        assert_eq!(reply.status, case.status, "{}", case.name);
        let started = rig.pairs[0].backend.started(case.path);
        assert_eq!(started, case.started, "{}", case.name);
        if case.outcome == "not-run" {
            assert!(!reply.header("retry-after").is_empty(), "{}", case.name);
            let millis = reply.header("lovagelatch-retry-after-ms");
            assert!(!millis.is_empty(), "{}", case.name);
        }
    }
}

// Guards against a caller receiving the response to another request: a request times out, the
// connection is reused, and the late response arrives after the next request was written to it.
#[tokio::test]
async fn a_late_response_never_reaches_the_next_request() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let fields = [("lovagelatch-deadline-ms", "300")];
    let late = caller.send("GET", "/late", &fields, b"").await;
    assert_eq!(late.expect("a response").outcome(), "unknown");
    for number in 0..10 {
        let path = format!("/status/{number}");
        let reply = caller.get(&path).await;
        assert_eq!(reply.body.as_deref(), Some(path.as_bytes()));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

// Guards against a truncated response that looks complete: the backend server closes the
// connection before the announced length, and the agent ends the stream cleanly.
#[tokio::test]
async fn a_short_body_ends_in_a_reset() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let reply = caller.send("GET", "/short", &[], b"").await;
    // A reset may overtake the head of the response, but the stream must not end cleanly.
    assert!(reply.is_none_or(|reply| reply.body.is_none()));
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
}

// Guards against a download that is cut short without an error, or never ends: the backend server
// fails during a response, and the agent waits or ends the stream cleanly.
#[tokio::test]
async fn a_backend_server_killed_during_a_response_resets_it_at_once() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let backend = &rig.pairs[0].backend;
    let exchange = caller.get("/endless");
    let kill = async {
        eventually("the request starts", || backend.started("/endless") == 1).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        backend.kill();
        Instant::now()
    };
    let (reply, killed) = tokio::join!(exchange, kill);
    assert_eq!(reply.body, None);
    assert!(killed.elapsed() < Duration::from_secs(1));
    let after = caller.get("/status/1").await;
    assert_eq!(after.outcome(), "not-run");
}

// Guards against leaked slots: callers close their flows while their requests run or wait, and
// the slots or queue places are not released, or the backend server keeps running the requests.
#[tokio::test]
async fn callers_that_leave_release_their_slots() {
    let options = RigOptions {
        slots: 1,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(1, options).await;
    for _ in 0..3 {
        let gone = rig.caller().await;
        let _first = gone.start("GET", "/queued", &[], b"").await;
        let _second = gone.start("GET", "/queued", &[], b"").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        gone.connection.close(0_u32.into(), b"bye");
    }
    let record = &rig.pairs[0].backend.record;
    eventually("the running requests are cancelled", || {
        record.lock().cancelled.len() >= 3
    })
    .await;
    let caller = rig.caller().await;
    let fields = [("lovagelatch-deadline-ms", "4000")];
    let reply = caller.send("GET", "/status/1", &fields, b"").await;
    assert_eq!(reply.expect("a response").outcome(), "done");
}

// Guards against callers that give up early blocking all others: several callers in a row leave
// before their responses arrive, these count as lost by a healthy server, and the gate closes.
#[tokio::test]
async fn callers_that_leave_do_not_close_the_gate() {
    let rig = TestRig::new().await;
    for _ in 0..6 {
        let gone = rig.caller().await;
        let _stream = gone.start("GET", "/late", &[], b"").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        gone.connection.close(0_u32.into(), b"bye");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let caller = rig.caller().await;
    let start = Instant::now();
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    assert!(start.elapsed() < Duration::from_millis(300));
}

// Guards against a leaked slot when a caller leaves during a long response: the agent keeps
// reading the response, and its slot stays in use.
#[tokio::test]
async fn a_caller_that_leaves_during_a_response_releases_its_slot() {
    let options = RigOptions {
        slots: 1,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(1, options).await;
    let gone = rig.caller().await;
    let mut stream = gone.start("GET", "/endless", &[], b"").await.expect("sent");
    stream.recv_response().await.expect("a head");
    gone.connection.close(0_u32.into(), b"bye");
    let caller = rig.caller().await;
    let start = Instant::now();
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    assert!(start.elapsed() < Duration::from_secs(2));
}

// Guards against slow readers blocking the service: as many callers as there are slots request a
// long response and read nothing of it, and the slots stay in use until the responses are read.
#[tokio::test]
async fn callers_that_do_not_read_hold_no_slots() {
    let rig = TestRig::new().await;
    let slow = rig.caller().await;
    let mut unread = Vec::new();
    for _ in 0..3 {
        let mut stream = slow.start("GET", "/big", &[], b"").await.expect("sent");
        stream.recv_response().await.expect("a head");
        unread.push(stream);
    }
    let caller = rig.caller().await;
    let start = Instant::now();
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    assert!(start.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn an_invalid_request_is_refused_and_not_run() {
    let options = RigOptions {
        limits: "body_bytes = 1000",
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(1, options).await;
    let caller = rig.caller().await;
    let long = caller.send("POST", "/upload", &[], &[0; 1_001]).await;
    assert_eq!(long.expect("a response").status, 413);
    let fields = [("content-length", "9")];
    let wrong = caller.send("POST", "/upload", &fields, b"four").await;
    assert_eq!(wrong.expect("a response").status, 400);
    assert_eq!(rig.pairs[0].backend.started("/upload"), 0);
}

// Guards against a gate that miscounts when more requests than slots arrive at once: the server is
// overloaded, or requests are lost.
#[tokio::test]
async fn more_requests_than_slots_wait_and_all_are_served() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    let calls = (0..12).map(|_| caller.get("/late"));
    let replies = futures::future::join_all(calls).await;
    let done = replies.iter().filter(|reply| reply.outcome() == "done");
    assert_eq!(done.count(), 12);
    assert_eq!(rig.pairs[0].backend.started("/late"), 12);
}
