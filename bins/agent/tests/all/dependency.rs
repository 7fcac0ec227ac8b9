//! Calls of a backend server to its dependencies.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::rig::{RigOptions, TestRig, eventually};

/// Calls a dependency; an error if the connection broke before the head of the response.
async fn call(
    rig: &TestRig,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
) -> hyper::Result<Response<Incoming>> {
    eventually("the gateway listens", || {
        rig.pairs[0].agent.gateway_address().is_some()
    })
    .await;
    let address = rig.pairs[0].agent.gateway_address().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    let made = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = made.expect("HTTP/1.1");
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    request = request.header("host", "gateway");
    for (name, value) in fields {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    sender.send_request(request).await
}

/// A call and its expected outcome. The second agent serves `certificates`.
struct CallCase {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    status: u16,
    outcome: &'static str,
    started: &'static str,
}

const CASES: [CallCase; 5] = [
    CallCase {
        name: "a once-only call without a ticket",
        method: "POST",
        path: "/certificates/orders",
        status: 428,
        outcome: "not-run",
        started: "",
    },
    CallCase {
        name: "a dependency responds",
        method: "GET",
        path: "/certificates/certificates/17?bytes=9",
        status: 200,
        outcome: "done",
        started: "/certificates/17?bytes=9",
    },
    CallCase {
        name: "a service that is not a dependency",
        method: "GET",
        path: "/claims/status/1",
        status: 503,
        outcome: "not-run",
        started: "",
    },
    CallCase {
        name: "the dependency refuses before starting the request",
        method: "GET",
        path: "/certificates/shed",
        status: 503,
        outcome: "not-run",
        started: "",
    },
    CallCase {
        name: "a response is crossed",
        method: "GET",
        path: "/certificates/crossed",
        status: 502,
        outcome: "unknown",
        started: "/crossed",
    },
];

#[tokio::test]
async fn calls_reach_only_dependencies_and_report_their_outcome() {
    let options = RigOptions {
        dependency: true,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(2, options).await;
    rig.wait_for_config().await;
    for case in &CASES {
        let response = call(&rig, case.method, case.path, &[]).await;
        let response = response.expect("a response");
        assert_eq!(response.status(), case.status, "{}", case.name);
        let outcome = response.headers()["lovagelatch-outcome"].clone();
        assert_eq!(outcome, case.outcome, "{}", case.name);
        let body = response
            .into_body()
            .collect()
            .await
            .expect("a whole body")
            .to_bytes();
        if case.outcome == "done" {
            assert_eq!(body, case.started.as_bytes(), "{}", case.name);
        }
        if !case.started.is_empty() {
            assert_eq!(
                rig.pairs[1].backend.started(case.started),
                1,
                "{}",
                case.name
            );
        }
    }
}

// Guards against a truncated response that looks complete: the dependency fails during its
// response, and the gateway ends its own response cleanly.
#[tokio::test]
async fn a_truncated_response_of_a_dependency_stays_truncated() {
    let options = RigOptions {
        dependency: true,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(2, options).await;
    rig.wait_for_config().await;
    let complete = match call(&rig, "GET", "/certificates/short", &[]).await {
        Ok(response) => response.into_body().collect().await.is_ok(),
        Err(_) => false,
    };
    assert!(!complete, "a truncated response looks complete");
}

// Guards against a once-only call that runs twice: the backend server retries it with the same
// ticket, and the gateway picks any target instead of the ticket's home.
#[tokio::test]
async fn a_once_only_call_runs_once_for_its_ticket() {
    let options = RigOptions {
        dependency: true,
        ..RigOptions::default()
    };
    let rig = TestRig::with_agents(2, options).await;
    rig.wait_for_config().await;
    let path = "/certificates/.well-known/lovagelatch/ticket";
    let issued = call(&rig, "GET", path, &[]).await.expect("a ticket");
    let issued = issued
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    let issued: serde_json::Value = serde_json::from_slice(&issued).expect("JSON");
    let key = issued["ticket"].as_str().expect("a ticket");
    for _ in 0..2 {
        let fields = [("idempotency-key", key)];
        let response = call(&rig, "POST", "/certificates/orders", &fields).await;
        assert_eq!(response.expect("a response").status(), 200);
    }
    assert_eq!(rig.pairs[1].backend.started("/orders"), 1);
}
