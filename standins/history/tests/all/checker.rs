//! The checker finds each violated guarantee, and nothing in clean histories.

use lovagelatch_history::{
    BackendRecord, CallerRecord, FeedFlaw, FlowEnd, LEAVING_GRACE_MS, ObservedOutcome, RequestEnd,
    ResponseFlaw, RunReport, TargetLeaving,
};

use crate::histories::{SmallHistory, TARGET, end};

struct CheckerCase {
    name: &'static str,
    history: SmallHistory,
    /// Expected count by report field; all other counts must be 0.
    expected: &'static [(&'static str, u64)],
}

fn violations(report: &RunReport) -> [(&'static str, u64); 8] {
    [
        ("flows_broken", report.flows_broken),
        ("unknown", report.unknown),
        ("ran_twice", report.ran_twice),
        ("not_run_but_ran", report.not_run_but_ran),
        ("wrong_service", report.wrong_service),
        ("crossed", report.crossed),
        ("cut", report.cut),
        ("new_work_after_leaving", report.new_work_after_leaving),
    ]
}

fn check_all(cases: Vec<CheckerCase>) {
    for case in cases {
        let report = case.history.check();
        for (field, count) in violations(&report) {
            let expected = case.expected.iter().find(|(name, _)| *name == field);
            let expected = expected.map_or(0, |(_, count)| *count);
            assert_eq!(count, expected, "{}: {field}", case.name);
        }
    }
}

fn flawed(outcome: ObservedOutcome, flaw: ResponseFlaw) -> RequestEnd {
    RequestEnd {
        flaw: Some(flaw),
        ..end(outcome)
    }
}

fn answered_for(other: &str) -> RequestEnd {
    RequestEnd {
        answered_for: Some(other.to_owned()),
        ..end(ObservedOutcome::Done)
    }
}

fn feed_flawed(mut history: SmallHistory, flaw: FeedFlaw) -> SmallHistory {
    history.callers.push(CallerRecord::FeedFlawed {
        request: "a".to_owned(),
        time_ms: 100.0,
        flaw,
    });
    history
}

fn called(mut history: SmallHistory, right: Option<bool>) -> SmallHistory {
    history.backend.push(BackendRecord::Called {
        time_ms: 30.0,
        run: 1,
        outcome: None,
        right,
    });
    history
}

fn leaving(mut history: SmallHistory, time_ms: f64) -> SmallHistory {
    history.facts.leaving.push(TargetLeaving {
        target: TARGET.to_owned(),
        time_ms,
    });
    history
}

fn unplanned(mut history: SmallHistory, time_ms: f64) -> SmallHistory {
    history.facts.unplanned_since_ms = Some(time_ms);
    history
}

#[test]
fn finds_nothing_in_clean_histories() {
    use ObservedOutcome::{Done, NotRun};
    let new = SmallHistory::new;
    check_all(vec![
        CheckerCase {
            name: "one request done, flow closed by its caller",
            history: new()
                .sent("a", None)
                .started(20.0, "a", None)
                .ended(40.0, "a", Done)
                .flow_end(FlowEnd::Closed),
            expected: &[],
        },
        CheckerCase {
            name: "a flow closed gracefully by its peer",
            history: new().flow_end(FlowEnd::GoneAway),
            expected: &[],
        },
        CheckerCase {
            name: "a filing reported as not run, retried, then run once",
            history: new()
                .sent("a", Some("f"))
                .ended(20.0, "a", NotRun)
                .sent("b", Some("f"))
                .started(30.0, "b", Some("f"))
                .ended(50.0, "b", Done),
            expected: &[],
        },
        CheckerCase {
            name: "the same filing over two flows, run once, the response replayed to both",
            history: new()
                .sent("a", Some("f"))
                .sent("b", Some("f"))
                .started(20.0, "a", Some("f"))
                .ended(40.0, "a", Done)
                .ended_with(41.0, "b", answered_for("a")),
            expected: &[],
        },
        CheckerCase {
            name: "an idempotent request run twice, as after a lost response",
            history: new()
                .sent("a", None)
                .started(20.0, "a", None)
                .started(50.0, "a", None)
                .ended(70.0, "a", Done),
            expected: &[],
        },
        CheckerCase {
            name: "work started within the grace period of leaving",
            history: leaving(new().sent("a", None), 100.0)
                .started(100.0 + LEAVING_GRACE_MS, "a", None)
                .ended(5_000.0, "a", Done),
            expected: &[],
        },
        CheckerCase {
            name: "calls to a dependency, one with the right response and one refused",
            history: called(called(new(), Some(true)), None),
            expected: &[],
        },
        CheckerCase {
            name: "a response aborted after an unplanned fault",
            history: unplanned(new().sent("a", None).started(20.0, "a", None), 25.0).ended_with(
                30.0,
                "a",
                flawed(ObservedOutcome::Unknown, ResponseFlaw::BrokeOff),
            ),
            expected: &[("unknown", 1)],
        },
    ]);
}

#[test]
fn finds_broken_flows_and_lost_outcomes() {
    let new = SmallHistory::new;
    let reason = || "reset".to_owned();
    check_all(vec![
        CheckerCase {
            name: "a flow lost while open",
            history: new().flow_end(FlowEnd::Broken { reason: reason() }),
            expected: &[("flows_broken", 1)],
        },
        CheckerCase {
            name: "a flow that could not be opened",
            history: new().flow_end(FlowEnd::Unopened { reason: reason() }),
            expected: &[("flows_broken", 1)],
        },
        CheckerCase {
            name: "a flow reported as broken twice counts once",
            history: new()
                .flow_end(FlowEnd::Broken { reason: reason() })
                .flow_end(FlowEnd::Broken { reason: reason() }),
            expected: &[("flows_broken", 1)],
        },
        CheckerCase {
            name: "a request without an end",
            history: new().sent("a", None).started(20.0, "a", None),
            expected: &[("unknown", 1)],
        },
    ]);
}

#[test]
fn finds_doubled_and_misreported_runs() {
    use ObservedOutcome::{Done, NotRun};
    let new = SmallHistory::new;
    check_all(vec![
        CheckerCase {
            name: "a filing run twice by two attempts",
            history: new()
                .sent("a", Some("f"))
                .sent("b", Some("f"))
                .started(20.0, "a", Some("f"))
                .started(30.0, "b", Some("f"))
                .ended(40.0, "a", Done)
                .ended(50.0, "b", Done),
            expected: &[("ran_twice", 1)],
        },
        CheckerCase {
            name: "reported as not run after it had run",
            history: new()
                .sent("a", None)
                .started(20.0, "a", None)
                .ended(40.0, "a", NotRun),
            expected: &[("not_run_but_ran", 1)],
        },
        CheckerCase {
            name: "reported as not run, and run later",
            history: new()
                .sent("a", None)
                .ended(15.0, "a", NotRun)
                .started(20.0, "a", None),
            expected: &[("not_run_but_ran", 1)],
        },
        CheckerCase {
            name: "a filing reported as not run while another attempt of it ran",
            history: new()
                .sent("a", Some("f"))
                .sent("b", Some("f"))
                .started(20.0, "a", Some("f"))
                .ended(25.0, "b", NotRun)
                .ended(40.0, "a", Done),
            expected: &[("not_run_but_ran", 1)],
        },
    ]);
}

#[test]
fn finds_misrouted_crossed_and_cut_answers() {
    use ObservedOutcome::{Done, Unknown};
    let new = SmallHistory::new;
    let run = || new().sent("a", None).started(20.0, "a", None);
    check_all(vec![
        CheckerCase {
            name: "a request for certificates at a claims server",
            history: new()
                .sent_to("certificates", "a", None, None)
                .started(20.0, "a", None)
                .ended(40.0, "a", Done),
            expected: &[("wrong_service", 1)],
        },
        CheckerCase {
            name: "a response from another service",
            history: run().ended_with(40.0, "a", flawed(Done, ResponseFlaw::WrongService)),
            expected: &[("wrong_service", 1)],
        },
        CheckerCase {
            name: "the content of another document",
            history: run().ended_with(40.0, "a", flawed(Done, ResponseFlaw::Crossed)),
            expected: &[("crossed", 1)],
        },
        CheckerCase {
            name: "the response to another request",
            history: run()
                .sent("b", None)
                .started(21.0, "b", None)
                .ended(40.0, "b", Done)
                .ended_with(40.0, "a", answered_for("b")),
            expected: &[("crossed", 1)],
        },
        CheckerCase {
            name: "the response to another filing",
            history: new()
                .sent("a", Some("f"))
                .sent("b", Some("g"))
                .started(20.0, "a", Some("f"))
                .started(21.0, "b", Some("g"))
                .ended(40.0, "b", Done)
                .ended_with(41.0, "a", answered_for("b")),
            expected: &[("crossed", 1)],
        },
        CheckerCase {
            name: "a short response that seemed complete",
            history: run().ended_with(40.0, "a", flawed(Unknown, ResponseFlaw::CutClean)),
            expected: &[("cut", 1), ("unknown", 1)],
        },
        CheckerCase {
            name: "a response aborted in a run without unplanned faults",
            history: run().ended_with(40.0, "a", flawed(Unknown, ResponseFlaw::BrokeOff)),
            expected: &[("cut", 1), ("unknown", 1)],
        },
        CheckerCase {
            name: "a response aborted before the unplanned fault",
            history: unplanned(run(), 50.0).ended_with(
                40.0,
                "a",
                flawed(Unknown, ResponseFlaw::BrokeOff),
            ),
            expected: &[("cut", 1), ("unknown", 1)],
        },
        CheckerCase {
            name: "a dependency's response to another call",
            history: called(new(), Some(false)),
            expected: &[("crossed", 1)],
        },
        CheckerCase {
            name: "an event lost from a feed",
            history: feed_flawed(new(), FeedFlaw::Lost),
            expected: &[("cut", 1)],
        },
        CheckerCase {
            name: "a duplicate event in a feed",
            history: feed_flawed(new(), FeedFlaw::Doubled),
            expected: &[("crossed", 1)],
        },
        CheckerCase {
            name: "an event of another feed",
            history: feed_flawed(new(), FeedFlaw::Crossed),
            expected: &[("crossed", 1)],
        },
    ]);
}

#[test]
fn finds_new_work_after_leaving() {
    let new = SmallHistory::new;
    let late = 100.0 + LEAVING_GRACE_MS + 1.0;
    let told_itself = || {
        let mut history = new();
        let leaving = BackendRecord::Leaving { time_ms: 100.0 };
        history.backend.push(leaving);
        history
    };
    check_all(vec![
        CheckerCase {
            name: "after the test driver told it to leave",
            history: leaving(new().sent("a", None), 100.0)
                .started(late, "a", None)
                .ended(5_000.0, "a", ObservedOutcome::Done),
            expected: &[("new_work_after_leaving", 1)],
        },
        CheckerCase {
            name: "after it recorded itself that it leaves",
            history: told_itself()
                .sent("a", None)
                .started(late, "a", None)
                .ended(5_000.0, "a", ObservedOutcome::Done),
            expected: &[("new_work_after_leaving", 1)],
        },
        CheckerCase {
            name: "the first notice counts, not the last",
            history: leaving(told_itself(), 4_000.0)
                .sent("a", None)
                .started(late, "a", None)
                .ended(5_000.0, "a", ObservedOutcome::Done),
            expected: &[("new_work_after_leaving", 1)],
        },
    ]);
}

#[test]
fn counts_and_times() {
    let report = SmallHistory::new()
        .sent("a", None)
        .started(20.0, "a", None)
        .ended(61.0, "a", ObservedOutcome::Done)
        .sent("b", None)
        .ended(62.0, "b", ObservedOutcome::NotRun)
        .check();
    assert_eq!(report.flows_opened, 1);
    assert_eq!(report.requests, 2);
    assert_eq!((report.done, report.not_run, report.unknown), (1, 1, 0));
    // Request "a" arrives at 11 ms and is done at 61 ms.
    assert!(
        (report.latency_ms.p50 - 50.0).abs() < 0.1,
        "{:?}",
        report.latency_ms
    );
}
