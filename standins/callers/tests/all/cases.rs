//! What callers make of answers, good and bad.

use std::collections::{HashMap, HashSet};

use http::Request;
use lovagelatch_callers::ServicePlan;
use lovagelatch_history::{
    CallerRecord, ObservedOutcome, RequestEnd, RequestKind, ResponseFlaw, RunFacts, check_run,
    content_for,
};

use crate::server::{Script, ScriptedAnswer, bare_service, header, requested_id, run_against};

struct AnswerCase {
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

fn status_of(id: &str) -> ScriptedAnswer {
    ScriptedAnswer::new(200, "done", format!(r#"{{"id":"{id}"}}"#))
}

fn right_status(request: &Request<()>, _: u64) -> ScriptedAnswer {
    status_of(&requested_id(request))
}

fn crossed_status(_: &Request<()>, _: u64) -> ScriptedAnswer {
    status_of("another")
}

fn wrong_service(request: &Request<()>, _: u64) -> ScriptedAnswer {
    status_of(&requested_id(request)).with_header("lovagelatch-service", "certificates")
}

fn unknown_status(_: &Request<()>, _: u64) -> ScriptedAnswer {
    ScriptedAnswer::new(504, "unknown", String::new())
}

fn download(request: &Request<()>, id: &str, short: usize) -> ScriptedAnswer {
    let query = request.uri().query().unwrap_or_default();
    let bytes = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("bytes="));
    let bytes: usize = bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(0);
    let mut answer = ScriptedAnswer::new(200, "done", String::new());
    answer.parts = vec![content_for(id, bytes - short).into()];
    answer
}

fn right_download(request: &Request<()>, _: u64) -> ScriptedAnswer {
    download(request, &requested_id(request), 0)
}

fn short_download(request: &Request<()>, _: u64) -> ScriptedAnswer {
    download(request, &requested_id(request), 1)
}

fn crossed_download(request: &Request<()>, _: u64) -> ScriptedAnswer {
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
async fn judges_answers() {
    let case = |name, service, script, outcome, flaw| AnswerCase {
        name,
        service,
        script,
        outcome,
        flaw,
    };
    use ObservedOutcome::{Done, Unknown};
    let crossed = Some(ResponseFlaw::Crossed);
    let cut = Some(ResponseFlaw::CutClean);
    let misled = Some(ResponseFlaw::WrongService);
    let cases = [
        case("status", with_status(), right_status, Done, None),
        case("other-status", with_status(), crossed_status, Done, crossed),
        case("service", with_status(), wrong_service, Done, misled),
        case("unknown", with_status(), unknown_status, Unknown, None),
        case("download", with_download(), right_download, Done, None),
        case("short", with_download(), short_download, Unknown, cut),
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

/// Refuses the first attempt at each status, and says when to come back.
fn refuses_once(request: &Request<()>, number: u64) -> ScriptedAnswer {
    if number < 3 {
        let refused = ScriptedAnswer::new(503, "not-run", String::new());
        return refused.with_header("lovagelatch-retry-after-ms", "700");
    }
    right_status(request, number)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn comes_back_when_asked_to() {
    let records = run_against("retry", with_status(), refuses_once).await;
    let mut refused_at = HashMap::new();
    let mut sent_for = HashMap::new();
    let mut retried = 0;
    for record in &records {
        match record {
            CallerRecord::RequestSent {
                request,
                arrived_ms,
                time_ms,
                ..
            } => {
                let wanted = arrived_ms.to_bits();
                sent_for.insert(request.clone(), wanted);
                if let Some(refused) = refused_at.get(&wanted) {
                    let waited = time_ms - refused;
                    assert!(waited >= 700.0, "came back after {waited} ms");
                    retried += 1;
                }
            }
            CallerRecord::RequestEnded {
                request,
                time_ms,
                end,
            } if end.outcome == ObservedOutcome::NotRun => {
                refused_at.insert(sent_for[request], *time_ms);
            }
            _ => {}
        }
    }
    assert!(retried >= 1, "nothing was tried again: {records:#?}");
}

/// Hands out tickets, and never says how a filing with one ended.
fn forgets_filings(request: &Request<()>, number: u64) -> ScriptedAnswer {
    let ticket = format!("ticket-{number}");
    if request.uri().path().ends_with("/ticket") {
        return ScriptedAnswer::new(200, "done", String::new())
            .with_header("lovagelatch-ticket", &ticket);
    }
    let Some(own) = header(request, "idempotency-key") else {
        return ScriptedAnswer::new(428, "not-run", String::new())
            .with_header("lovagelatch-ticket", &ticket);
    };
    ScriptedAnswer::new(504, "unknown", String::new())
        .with_header("lovagelatch-agent", &own)
        .with_header("lovagelatch-retry-after-ms", "1")
}

/// Symptom: a filing runs twice although each ticket runs once.
/// Sequence: a filing's outcome is unknown; its caller tries again with another ticket.
/// Cause: a new ticket is a new filing to the system.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tries_an_unknown_filing_again_with_its_own_ticket_only() {
    let service = ServicePlan {
        filing: Some("/claims".to_owned()),
        ..with_status()
    };
    let records = run_against("tickets", service, forgets_filings).await;
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
                // The script names the ticket it saw in place of an agent.
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
        "nothing was tried again"
    );
    for (filing, tickets) in tickets {
        assert_eq!(tickets.len(), 1, "{filing} was tried with {tickets:?}");
    }
}
