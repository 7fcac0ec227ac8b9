//! Tests of slots, load shedding, cancellation, responses and health reports.

use std::time::Duration;

use http::StatusCode;
use lovagelatch_backend::{FaultChange, FaultInjector, HealthState};
use lovagelatch_history::{BackendRecord, content_for};

use crate::running::RunningServer;

#[tokio::test]
async fn sheds_a_request_without_a_free_slot_as_not_run() {
    let server = RunningServer::start("shed", 1, Duration::ZERO).await;
    let long = server.get("/status/a?work_ms=400", "a");
    let refused = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        server.get("/status/b", "b").await
    };
    let (long, refused) = tokio::join!(long, refused);
    let refused = refused.expect("a response");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers["lovagelatch-outcome"], "not-run");
    assert_eq!(refused.headers["lovagelatch-attempt"], "b");
    assert_eq!(long.expect("a response").status, StatusCode::OK);
    let ran = |name: &str| {
        let records = server.records();
        records.iter().any(|record| {
            matches!(record, BackendRecord::Start { attempt, .. }
                if attempt.as_deref() == Some(name))
        })
    };
    assert!(ran("a") && !ran("b"));
}

#[tokio::test]
async fn a_cancelled_attempt_never_starts_and_a_started_one_is_not_cancelled() {
    let server = RunningServer::start("cancel", 2, Duration::ZERO).await;
    let cancel = |attempt: &'static str| {
        let path = format!("/.well-known/lovagelatch/cancel/{attempt}");
        let server = &server;
        async move {
            server
                .send("POST", &path, &[], "")
                .await
                .expect("a response")
                .status
        }
    };
    assert_eq!(cancel("early").await, StatusCode::OK);
    let late = server.get("/status/x", "early").await.expect("a response");
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    let ran = server.get("/status/x?work_ms=1", "ran").await;
    assert_eq!(ran.expect("a response").status, StatusCode::OK);
    assert_eq!(cancel("ran").await, StatusCode::CONFLICT);
}

#[tokio::test]
async fn serves_downloads_and_filings() {
    let server = RunningServer::start("routes", 3, Duration::ZERO).await;
    let path = "/certificates/c7?bytes=5000&work_ms=8";
    let download = server.get(path, "a").await.expect("a response");
    assert_eq!(download.headers["content-length"], "5000");
    assert_eq!(
        download.body.as_deref(),
        Some(content_for("c7", 5_000).as_slice())
    );
    let body = r#"{"filing":"f1","work_ms":1}"#;
    let filing = server.send("POST", "/claims", &[], body).await;
    let filing = filing.expect("a response");
    assert_eq!(filing.status, StatusCode::CREATED);
    assert_eq!(
        filing.body.as_deref(),
        Some(br#"{"filing":"f1","run":2}"#.as_slice())
    );
    let bad = server.send("POST", "/claims", &[], "nothing").await;
    assert_eq!(bad.expect("a response").status, StatusCode::BAD_REQUEST);
}

struct HealthCase {
    cold_start: Duration,
    change: FaultChange,
    reported: HealthState,
}

#[test]
fn reported_health_lags_as_configured() {
    let draining = FaultChange {
        state: Some(HealthState::Draining),
        ..FaultChange::default()
    };
    let cases = [
        HealthCase {
            cold_start: Duration::ZERO,
            change: FaultChange::default(),
            reported: HealthState::Ready,
        },
        HealthCase {
            cold_start: Duration::from_secs(60),
            change: FaultChange::default(),
            reported: HealthState::Warming,
        },
        HealthCase {
            cold_start: Duration::ZERO,
            change: draining,
            reported: HealthState::Draining,
        },
        HealthCase {
            cold_start: Duration::ZERO,
            change: FaultChange {
                health_lag_ms: Some(60_000),
                ..draining
            },
            reported: HealthState::Ready,
        },
    ];
    for case in cases {
        let injector = FaultInjector::new(case.cold_start);
        let starts_drain = injector.apply(&case.change);
        assert_eq!(starts_drain, case.change.state.is_some());
        assert_eq!(
            injector.reported_health().0,
            case.reported,
            "{:?}",
            case.change
        );
    }
}
