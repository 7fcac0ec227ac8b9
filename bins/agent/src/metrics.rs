//! The agent's metrics. Their names, units and attributes are documented in
//! `docs/operating/metrics.md`; a test compares that page with the exported metrics.
//!
//! Every series of a counter is exported as 0 from the start: an alert on an increase would miss
//! the first event if the series began with it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lovagelatch_domain::RefusalReason;
use lovagelatch_telemetry::{Counter, Histogram, KeyValue, Meter, UpDownCounter};

/// A counter with one attribute. The status page shows its totals by attribute value.
#[derive(Clone, Debug)]
pub(crate) struct AttributeCounter {
    counter: Counter<u64>,
    name: &'static str,
    attribute: &'static str,
    values: &'static [&'static str],
    totals: Arc<[AtomicU64]>,
}

impl AttributeCounter {
    fn new(
        meter: &Meter,
        (name, unit, text): (&'static str, &'static str, &'static str),
        attribute: &'static str,
        values: &'static [&'static str],
    ) -> Self {
        let builder = meter.u64_counter(name).with_unit(unit);
        let counter = builder.with_description(text).build();
        for value in values {
            counter.add(0, &[KeyValue::new(attribute, *value)]);
        }
        Self {
            counter,
            name,
            attribute,
            values,
            totals: values.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }

    pub(crate) fn count(&self, value: &'static str) {
        self.counter.add(1, &[KeyValue::new(self.attribute, value)]);
        let index = self.values.iter().position(|known| *known == value);
        debug_assert!(index.is_some(), "unknown value {value} of {}", self.name);
        if let Some(total) = index.and_then(|index| self.totals.get(index)) {
            total.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn add_totals(&self, totals: &mut BTreeMap<String, u64>) {
        let short = self.name.trim_start_matches("lovagelatch.agent.");
        for (value, total) in self.values.iter().zip(self.totals.iter()) {
            let count = total.load(Ordering::Relaxed);
            totals.insert(format!("{short}.{value}"), count);
        }
    }
}

/// Counts one flow or feed as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard(UpDownCounter<i64>);

impl OpenGuard {
    pub(crate) fn new(counter: &UpDownCounter<i64>) -> Self {
        counter.add(1, &[]);
        Self(counter.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.add(-1, &[]);
    }
}

/// The kind of route that a request was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteKind {
    Plain,
    Once,
    Feed,
    /// The load balancer's reserved paths.
    System,
}

impl RouteKind {
    const ALL: [Self; 4] = [Self::Plain, Self::Once, Self::Feed, Self::System];

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Once => "once",
            Self::Feed => "feed",
            Self::System => "system",
        }
    }
}

const OUTCOMES: [&str; 5] = ["done", "not-run", "unknown", "cut", "caller-gone"];

/// The metrics of one agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentMetrics {
    pub(crate) frames_refused: Counter<u64>,
    /// Datagrams that were not delivered to QUIC, or that belong to no known flow.
    pub(crate) packets: AttributeCounter,
    pub(crate) flows: AttributeCounter,
    pub(crate) flows_ended: AttributeCounter,
    pub(crate) flows_open: UpDownCounter<i64>,
    pub(crate) feeds_open: UpDownCounter<i64>,
    pub(crate) refusals: AttributeCounter,
    pub(crate) relays: AttributeCounter,
    pub(crate) answers: AttributeCounter,
    requests: Counter<u64>,
    outcomes: Arc<[AtomicU64; OUTCOMES.len()]>,
    request_duration: Histogram<f64>,
}

impl AgentMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let open = |name: &'static str, unit: &'static str, text: &'static str| {
            let builder = meter.i64_up_down_counter(name).with_unit(unit);
            let counter = builder.with_description(text).build();
            counter.add(0, &[]);
            counter
        };
        let frames_refused = meter
            .u64_counter("lovagelatch.agent.frames_refused")
            .with_unit("{frame}")
            .with_description("Frames on the control address that were not genuine")
            .build();
        frames_refused.add(0, &[]);
        Self {
            frames_refused,
            packets: AttributeCounter::new(
                meter,
                (
                    "lovagelatch.agent.packets",
                    "{packet}",
                    "Caller datagrams not given to a flow of this agent",
                ),
                "outcome",
                &["dropped", "wrong_service", "passed_on", "reset"],
            ),
            flows: AttributeCounter::new(
                meter,
                ("lovagelatch.agent.flows", "{flow}", "New flows"),
                "outcome",
                &["accepted", "handed_on", "failed"],
            ),
            flows_ended: AttributeCounter::new(
                meter,
                ("lovagelatch.agent.flows.ended", "{flow}", "Ended flows"),
                "cause",
                &["caller", "agent", "idle", "reset", "error"],
            ),
            flows_open: open("lovagelatch.agent.flows.open", "{flow}", "Open flows"),
            feeds_open: open("lovagelatch.agent.feeds.open", "{feed}", "Open feeds"),
            refusals: AttributeCounter::new(
                meter,
                (
                    "lovagelatch.agent.refusals",
                    "{request}",
                    "Requests of callers and of dependents answered with a proof of not run",
                ),
                "reason",
                &REASONS,
            ),
            relays: AttributeCounter::new(
                meter,
                (
                    "lovagelatch.agent.relays",
                    "{request}",
                    "Requests sent to another agent's gate, home or service, by how that ended",
                ),
                "end",
                &["answered", "refused", "unknown", "unreached"],
            ),
            answers: AttributeCounter::new(
                meter,
                (
                    "lovagelatch.agent.answers",
                    "{answer}",
                    "Answers of the backend server that were not passed on whole",
                ),
                "fault",
                &["discarded", "cut"],
            ),
            requests: new_requests(meter),
            outcomes: Arc::default(),
            request_duration: meter
                .f64_histogram("lovagelatch.agent.request.duration")
                .with_unit("s")
                .with_description("From a request's arrival to the end of its answer")
                .build(),
        }
    }

    /// Records the outcome and duration of a caller's request.
    pub(crate) fn count_request(&self, outcome: &'static str, route: RouteKind, took: Duration) {
        let outcome_field = KeyValue::new("outcome", outcome);
        let route_field = KeyValue::new("route", route.as_str());
        self.requests
            .add(1, &[outcome_field.clone(), route_field.clone()]);
        // A feed lasts as long as its reader stays and would distort the histogram.
        if route != RouteKind::Feed {
            self.request_duration
                .record(took.as_secs_f64(), &[outcome_field, route_field]);
        }
        let index = OUTCOMES.iter().position(|known| *known == outcome);
        if let Some(index) = index {
            self.outcomes[index].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The totals of all counters, for the status page.
    pub(crate) fn totals(&self) -> BTreeMap<String, u64> {
        let mut totals = BTreeMap::new();
        let counters = [
            &self.packets,
            &self.flows,
            &self.flows_ended,
            &self.refusals,
            &self.relays,
            &self.answers,
        ];
        for counter in counters {
            counter.add_totals(&mut totals);
        }
        for (outcome, total) in OUTCOMES.iter().zip(self.outcomes.iter()) {
            let count = total.load(Ordering::Relaxed);
            totals.insert(format!("requests.{outcome}"), count);
        }
        totals
    }
}

fn new_requests(meter: &Meter) -> Counter<u64> {
    let requests = meter
        .u64_counter("lovagelatch.agent.requests")
        .with_unit("{request}")
        .with_description("Requests of callers by outcome and kind of route")
        .build();
    for outcome in OUTCOMES {
        for route in RouteKind::ALL {
            let fields = [
                KeyValue::new("outcome", outcome),
                KeyValue::new("route", route.as_str()),
            ];
            requests.add(0, &fields);
        }
    }
    requests
}

const REASONS: [&str; 10] = [
    "full",
    "too_late",
    "over_share",
    "leaving",
    "warming",
    "budget_spent",
    "no_target",
    "shed",
    "wrong_service",
    "ticket_needed",
];

/// The label of a refusal reason in metrics and logs.
pub(crate) const fn reason_label(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Full => "full",
        RefusalReason::TooLate => "too_late",
        RefusalReason::OverShare => "over_share",
        RefusalReason::Leaving => "leaving",
        RefusalReason::Warming => "warming",
        RefusalReason::BudgetSpent => "budget_spent",
        RefusalReason::NoTarget => "no_target",
        RefusalReason::Shed => "shed",
        RefusalReason::WrongService => "wrong_service",
        RefusalReason::TicketNeeded => "ticket_needed",
    }
}
