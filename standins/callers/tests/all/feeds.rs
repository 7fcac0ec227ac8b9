//! What callers make of feeds.

use bytes::Bytes;
use http::Request;
use lovagelatch_callers::ServicePlan;
use lovagelatch_history::{RunFacts, RunReport, check_run};

use crate::server::{Script, ScriptedAnswer, bare_service, header, run_against};

fn feed_of(request: &Request<()>, ids: &[u64], open_end: bool) -> ScriptedAnswer {
    let feed = header(request, "lovagelatch-caller-request").unwrap_or_default();
    let event = |id| format!("id: {id}\ndata: {{\"feed\":\"{feed}\"}}\n\n");
    let text: String = ids.iter().map(event).collect();
    // Events are torn apart between parts of the body.
    let (first, second) = text.split_at(text.len() / 2);
    let mut answer = ScriptedAnswer::new(200, "done", String::new());
    answer.parts = [first, second]
        .map(|part| Bytes::copy_from_slice(part.as_bytes()))
        .to_vec();
    answer.open_end = open_end;
    answer
}

struct FeedCase {
    name: &'static str,
    script: Script,
    expected: fn(&RunReport) -> bool,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn judges_feeds() {
    let cases = [
        FeedCase {
            name: "whole",
            script: |request, _| feed_of(request, &[1, 2, 3], true),
            expected: |report| (report.cut, report.crossed, report.flows_broken) == (0, 0, 0),
        },
        FeedCase {
            name: "lost",
            script: |request, _| feed_of(request, &[1, 3], true),
            expected: |report| (report.cut, report.crossed, report.flows_broken) == (1, 0, 0),
        },
        FeedCase {
            name: "doubled",
            script: |request, _| feed_of(request, &[1, 1, 2], true),
            expected: |report| (report.cut, report.crossed, report.flows_broken) == (0, 1, 0),
        },
        FeedCase {
            name: "ended",
            script: |request, _| feed_of(request, &[1, 2], false),
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
