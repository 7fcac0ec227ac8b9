//! Tests of how callers check responses and retry.

use std::collections::{HashMap, HashSet};

use http::Request;
use lovagelatch_callers::ServicePlan;
use lovagelatch_history::{
    CallerRecord, ObservedOutcome, RequestEnd, RequestKind, ResponseFlaw, RunFacts, check_run,
    content_for,
};

use crate::server::{Script, ScriptedResponse, bare_service, header, requested_id, run_against};

struct ResponseCase {
    name: &'static str,
    service: ServicePlan,
    script: Script,
    outcome: ObservedOutcome,
    flaw: Option<ResponseFlaw>,
}

fn with_status() -> ServicePlan {
    ServicePlan {
        status: true,
        ..bare_service()
    }
}

fn with_download() -> ServicePlan {
    ServicePlan {
        download: Some("/certificates".to_owned()),
        ..bare_service()
    }
}

fn status_of(id: &str) -> ScriptedResponse {
    ScriptedResponse::new(200, "done", format!(r#"{{"id":"{id}"}}"#))
}

fn correct_status(request: &Request<()>, _: u64) -> ScriptedResponse {
    status_of(&requested_id(request))
}

fn crossed_status(_: &Request<()>, _: u64) -> ScriptedResponse {
    status_of("another")
}

fn wrong_service(request: &Request<()>, _: u64) -> ScriptedResponse {
    status_of(&requested_id(request)).with_header("lovagelatch-service", "certificates")
}

fn unknown_status(_: &Request<()>, _: u64) -> ScriptedResponse {
    ScriptedResponse::new(504, "unknown", String::new())
}

fn download(request: &Request<()>, id: &str, missing_bytes: usize) -> ScriptedResponse {
    let query = request.uri().query().unwrap_or_default();
    let bytes = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("bytes="));
    let bytes: usize = bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(0);
    let mut response = ScriptedResponse::new(200, "done", String::new());
    response.chunks = vec![content_for(id, bytes - missing_bytes).into()];
    response
}

fn correct_download(request: &Request<()>, _: u64) -> ScriptedResponse {
    download(request, &requested_id(request), 0)
}

fn truncated_download(request: &Request<()>, _: u64) -> ScriptedResponse {
    download(request, &requested_id(request), 1)
}

fn crossed_download(request: &Request<()>, _: u64) -> ScriptedResponse {
    download(request, "another", 0)
}

fn ends(records: &[CallerRecord]) -> Vec<&RequestEnd> {
    let ends = records.iter().filter_map(|record| match record {
        CallerRecord::RequestEnded { end, .. } => Some(end),
        _ => None,
    });
    ends.collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn checks_responses() {
    let case = |name, service, script, outcome, flaw| ResponseCase {
        name,
        service,
        script,
        outcome,
        flaw,
    };
    use ObservedOutcome::{Done, Unknown};
    let crossed = Some(ResponseFlaw::Crossed);
    let cut = Some(ResponseFlaw::CutClean);
    let wrong = Some(ResponseFlaw::WrongService);
    let cases = [
        case("status", with_status(), correct_status, Done, None),
        case("other-status", with_status(), crossed_status, Done, crossed),
        case("service", with_status(), wrong_service, Done, wrong),
        case("unknown", with_status(), unknown_status, Unknown, None),
        case("download", with_download(), correct_download, Done, None),
        case("short", with_download(), truncated_download, Unknown, cut),
        case(
            "other-download",
            with_download(),
            crossed_download,
            Done,
            crossed,
        ),
    ];
    let runs = cases.map(|case| async move {
        let records = run_against(case.name, case.service, case.script).await;
        let ends = ends(&records);
        assert!(!ends.is_empty(), "{}: no request ended", case.name);
        for end in ends {
            assert_eq!(
                (end.outcome, end.flaw),
                (case.outcome, case.flaw),
                "{}",
                case.name
            );
        }
        let report = check_run(&records, &[], &RunFacts::default());
        assert_eq!(report.flows_broken, 0, "{}", case.name);
    });
    futures::future::join_all(runs).await;
}

/// Refuses the first three requests and asks for a retry after 700 ms.
fn refuse_first(request: &Request<()>, number: u64) -> ScriptedResponse {
    if number < 3 {
        let refused = ScriptedResponse::new(503, "not-run", String::new());
        return refused.with_header("lovagelatch-retry-after-ms", "700");
    }
    correct_status(request, number)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_after_the_requested_delay() {
    let records = run_against("retry", with_status(), refuse_first).await;
    let mut refused_at = HashMap::new();
    let mut arrival_of = HashMap::new();
    let mut retried = 0;
    for record in &records {
        match record {
            CallerRecord::RequestSent {
                request,
                arrived_ms,
                time_ms,
                ..
            } => {
                // All attempts of an operation have the same arrival time.
                let arrival = arrived_ms.to_bits();
                arrival_of.insert(request.clone(), arrival);
                if let Some(refused) = refused_at.get(&arrival) {
                    let waited = time_ms - refused;
                    assert!(waited >= 700.0, "retried after {waited} ms");
                    retried += 1;
                }
            }
            CallerRecord::RequestEnded {
                request,
                time_ms,
                end,
            } if end.outcome == ObservedOutcome::NotRun => {
                refused_at.insert(arrival_of[request], *time_ms);
            }
            _ => {}
        }
    }
    assert!(retried >= 1, "no retry: {records:#?}");
}

/// Issues tickets, and responds with an unknown outcome to each filing that has one.
fn lose_filing_outcomes(request: &Request<()>, number: u64) -> ScriptedResponse {
    let ticket = format!("ticket-{number}");
    if request.uri().path().ends_with("/ticket") {
        return ScriptedResponse::new(200, "done", String::new())
            .with_header("lovagelatch-ticket", &ticket);
    }
    let Some(sent_ticket) = header(request, "idempotency-key") else {
        return ScriptedResponse::new(428, "not-run", String::new())
            .with_header("lovagelatch-ticket", &ticket);
    };
    ScriptedResponse::new(504, "unknown", String::new())
        .with_header("lovagelatch-agent", &sent_ticket)
        .with_header("lovagelatch-retry-after-ms", "1")
}

/// Guards against a filing that runs twice although each ticket runs once: its outcome is unknown
/// and the caller retries it with another ticket, which the system treats as a new filing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_an_unknown_filing_only_with_the_same_ticket() {
    let service = ServicePlan {
        filing: Some("/claims".to_owned()),
        ..with_status()
    };
    let records = run_against("tickets", service, lose_filing_outcomes).await;
    let mut filing_of = HashMap::new();
    let mut attempts: HashMap<&str, u32> = HashMap::new();
    let mut tickets: HashMap<&str, HashSet<&str>> = HashMap::new();
    for record in &records {
        match record {
            CallerRecord::RequestSent {
                request,
                kind: RequestKind::Filing,
                filing: Some(filing),
                ..
            } => {
                filing_of.insert(request.as_str(), filing.as_str());
            }
            CallerRecord::RequestEnded { request, end, .. } => {
                let filing = filing_of.get(request.as_str());
                // The script returns the ticket of the request in place of an agent.
                if let (Some(filing), Some(ticket)) = (filing, &end.agent) {
                    *attempts.entry(filing).or_default() += 1;
                    tickets.entry(filing).or_default().insert(ticket);
                }
            }
            _ => {}
        }
    }
    assert!(
        attempts.values().any(|&count| count > 1),
        "no filing was retried"
    );
    for (filing, tickets) in tickets {
        assert_eq!(tickets.len(), 1, "{filing} was sent with {tickets:?}");
    }
}
