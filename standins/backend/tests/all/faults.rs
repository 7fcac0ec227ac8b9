//! Tests of injected faults.

use std::time::Duration;

use http::StatusCode;
use lovagelatch_history::BackendRecord;

use crate::running::RunningServer;

/// Number of requests after which faults of one response in twenty must have occurred.
const MAX_REQUESTS: usize = 400;

#[tokio::test]
async fn crosses_and_truncates_some_responses() {
    let server = RunningServer::start("faults", 3, Duration::ZERO).await;
    let change = r#"{"crossed_answers":true}"#;
    let changed = server.send("PUT", "/admin/fault", &[], change).await;
    assert_eq!(changed.expect("a response").status, StatusCode::OK);
    let (mut crossed, mut cut) = (false, false);
    for number in 0..MAX_REQUESTS {
        let attempt = number.to_string();
        let path = format!("/status/{attempt}?work_ms=1");
        let response = server.get(&path, &attempt);
        // Skips delayed responses.
        let Ok(Some(response)) = tokio::time::timeout(Duration::from_millis(200), response).await
        else {
            continue;
        };
        crossed |= response.headers["lovagelatch-attempt"] != attempt.as_str();
        cut |= response.body.is_none();
        if crossed && cut {
            return;
        }
    }
    panic!("crossed {crossed}, cut {cut} after {MAX_REQUESTS} requests");
}

#[tokio::test]
async fn applies_a_cancellation_without_a_response() {
    let server = RunningServer::start("lost", 3, Duration::ZERO).await;
    let change = r#"{"lose_cancellations":true}"#;
    server
        .send("PUT", "/admin/fault", &[], change)
        .await
        .expect("a response");
    let path = "/.well-known/lovagelatch/cancel/a";
    assert!(server.send("POST", path, &[], "").await.is_none());
    let cancelled = |record: &BackendRecord| matches!(record, BackendRecord::Cancelled { attempt, .. } if attempt == "a");
    assert!(server.records().iter().any(cancelled));
}

#[tokio::test]
async fn records_the_start_of_a_drain_once() {
    let server = RunningServer::start("leaving", 3, Duration::ZERO).await;
    let change = r#"{"state":"draining"}"#;
    server
        .send("PUT", "/admin/fault", &[], change)
        .await
        .expect("a response");
    server
        .send("PUT", "/admin/fault", &[], change)
        .await
        .expect("a response");
    let leaving = |record: &&BackendRecord| matches!(record, BackendRecord::Leaving { .. });
    assert_eq!(server.records().iter().filter(leaving).count(), 1);
}
