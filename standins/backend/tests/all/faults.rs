//! Faults that a test switches on.

use std::time::Duration;

use http::StatusCode;
use lovagelatch_history::BackendRecord;

use crate::running::RunningServer;

/// Requests sent until a fault that strikes one answer in twenty must have struck.
const TRIES: usize = 400;

#[tokio::test]
async fn crosses_and_cuts_some_answers_when_told_to() {
    let server = RunningServer::start("faults", 3, Duration::ZERO).await;
    let change = r#"{"crossed_answers":true}"#;
    let told = server.send("PUT", "/admin/fault", &[], change).await;
    assert_eq!(told.expect("an answer").status, StatusCode::OK);
    let (mut crossed, mut cut) = (false, false);
    for number in 0..TRIES {
        let attempt = number.to_string();
        let path = format!("/status/{attempt}?work_ms=1");
        let sent = server.get(&path, &attempt);
        // A late answer counts as neither.
        let Ok(Some(answer)) = tokio::time::timeout(Duration::from_millis(200), sent).await else {
            continue;
        };
        crossed |= answer.headers["lovagelatch-attempt"] != attempt.as_str();
        cut |= answer.body.is_none();
        if crossed && cut {
            return;
        }
    }
    panic!("crossed {crossed}, cut {cut} after {TRIES} requests");
}

#[tokio::test]
async fn takes_a_cancellation_and_loses_its_answer() {
    let server = RunningServer::start("lost", 3, Duration::ZERO).await;
    let change = r#"{"lose_cancellations":true}"#;
    server
        .send("PUT", "/admin/fault", &[], change)
        .await
        .expect("an answer");
    let path = "/.well-known/lovagelatch/cancel/a";
    assert!(server.send("POST", path, &[], "").await.is_none());
    let cancelled = |record: &BackendRecord| matches!(record, BackendRecord::Cancelled { attempt, .. } if attempt == "a");
    assert!(server.records().iter().any(cancelled));
}

#[tokio::test]
async fn writes_when_it_begins_to_leave() {
    let server = RunningServer::start("leaving", 3, Duration::ZERO).await;
    let change = r#"{"state":"draining"}"#;
    server
        .send("PUT", "/admin/fault", &[], change)
        .await
        .expect("an answer");
    server
        .send("PUT", "/admin/fault", &[], change)
        .await
        .expect("an answer");
    let leaving = |record: &&BackendRecord| matches!(record, BackendRecord::Leaving { .. });
    assert_eq!(server.records().iter().filter(leaving).count(), 1);
}
