//! Tests of how callers check feeds.

use bytes::Bytes;
use http::Request;
use lovagelatch_callers::ServicePlan;
use lovagelatch_history::{RunFacts, RunReport, check_run};

use crate::server::{Script, ScriptedResponse, bare_service, header, run_against};

fn feed_response(request: &Request<()>, ids: &[u64], stays_open: bool) -> ScriptedResponse {
    let feed = header(request, "lovagelatch-caller-request").unwrap_or_default();
    let event = |id| format!("id: {id}\ndata: {{\"feed\":\"{feed}\"}}\n\n");
    let text: String = ids.iter().map(event).collect();
    // Splits an event between two chunks of the body.
    let (first, second) = text.split_at(text.len() / 2);
    let mut response = ScriptedResponse::new(200, "done", String::new());
    response.chunks = [first, second]
        .map(|chunk| Bytes::copy_from_slice(chunk.as_bytes()))
        .to_vec();
    response.stays_open = stays_open;
    response
}

struct FeedCase {
    name: &'static str,
    script: Script,
    expected: fn(&RunReport) -> bool,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn checks_feeds() {
    let cases = [
        FeedCase {
            name: "whole",
            script: |request, _| feed_response(request, &[1, 2, 3], true),
            expected: |report| (report.cut, report.crossed, report.flows_broken) == (0, 0, 0),
        },
        FeedCase {
            name: "lost",
            script: |request, _| feed_response(request, &[1, 3], true),
            expected: |report| (report.cut, report.crossed, report.flows_broken) == (1, 0, 0),
        },
        FeedCase {
            name: "doubled",
            script: |request, _| feed_response(request, &[1, 1, 2], true),
            expected: |report| (report.cut, report.crossed, report.flows_broken) == (0, 1, 0),
        },
        FeedCase {
            name: "ended",
            script: |request, _| feed_response(request, &[1, 2], false),
            expected: |report| report.flows_broken > 0,
        },
    ];
    let runs = cases.map(|case| async move {
        let service = ServicePlan {
            feed: true,
            share: 0.0,
            ..bare_service()
        };
        let records = run_against(case.name, service, case.script).await;
        let report = check_run(&records, &[], &RunFacts::default());
        assert!((case.expected)(&report), "{}: {report:#?}", case.name);
    });
    futures::future::join_all(runs).await;
}
