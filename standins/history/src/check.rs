//! The checker, which compares the histories of callers and backend servers.

use std::collections::{BTreeMap, HashMap, HashSet};

use hdrhistogram::Histogram;

use crate::fairness::{AgencyWork, worst_share};
use crate::{
    BackendHistory, BackendRecord, CallerRecord, FeedFlaw, FlowEnd, LEAVING_GRACE_MS,
    LatencySummary, ObservedOutcome, RequestEnd, RequestKind, ResponseFlaw, RunFacts, RunReport,
    work,
};

/// Upper bound of the latency histogram, in microseconds. Longer latencies saturate.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Checks the histories of a run.
#[must_use]
pub fn check_run(
    callers: &[CallerRecord],
    backends: &[BackendHistory],
    facts: &RunFacts,
) -> RunReport {
    let mut checker = RunChecker::new(backends, facts);
    for record in callers {
        checker.record_caller(record);
    }
    checker.finish(backends)
}

/// A request that was sent.
struct SentRequest<'a> {
    arrived_ms: f64,
    service: &'a str,
    agency: Option<&'a str>,
    kind: RequestKind,
    filing: Option<&'a str>,
    work_ms: u32,
    ended: bool,
}

struct RunChecker<'a> {
    facts: &'a RunFacts,
    report: RunReport,
    /// Services of the backend servers that started a request, by request id.
    starts: HashMap<&'a str, Vec<&'a str>>,
    /// Start times, by filing.
    filings: HashMap<&'a str, Vec<f64>>,
    requests: HashMap<&'a str, SentRequest<'a>>,
    broken_flows: HashSet<u64>,
    agencies: BTreeMap<&'a str, BTreeMap<String, AgencyWork>>,
    latencies: Histogram<u64>,
}

impl<'a> RunChecker<'a> {
    fn new(backends: &'a [BackendHistory], facts: &'a RunFacts) -> Self {
        let mut checker = Self {
            facts,
            report: RunReport {
                config_in_force_ms: facts.config_in_force_ms,
                ..RunReport::default()
            },
            starts: HashMap::new(),
            filings: HashMap::new(),
            requests: HashMap::new(),
            broken_flows: HashSet::new(),
            agencies: BTreeMap::new(),
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
                .expect("valid histogram bounds"),
        };
        for history in backends {
            checker.record_backend(history);
        }
        checker
    }

    fn record_backend(&mut self, history: &'a BackendHistory) {
        let test_notice = self.facts.leaving_ms(&history.target);
        let notices = test_notice.into_iter().chain(history.leaving_ms());
        let last_allowed = notices.reduce(f64::min).map(|time| time + LEAVING_GRACE_MS);
        for record in &history.records {
            if let BackendRecord::Called {
                right: Some(false), ..
            } = record
            {
                self.report.crossed += 1;
            }
            let BackendRecord::Start {
                time_ms,
                request,
                filing,
                ..
            } = record
            else {
                continue;
            };
            if last_allowed.is_some_and(|last| *time_ms > last) {
                self.report.new_work_after_leaving += 1;
            }
            if let Some(request) = request {
                self.starts
                    .entry(request)
                    .or_default()
                    .push(&history.service);
            }
            if let Some(filing) = filing {
                self.filings.entry(filing).or_default().push(*time_ms);
            }
        }
    }

    fn record_caller(&mut self, record: &'a CallerRecord) {
        match record {
            CallerRecord::FlowOpening { .. } => self.report.flows_opened += 1,
            CallerRecord::FlowEnded { flow, end, .. } => self.record_flow_end(*flow, end),
            CallerRecord::RequestSent { .. } => self.record_sent(record),
            CallerRecord::RequestEnded {
                request,
                time_ms,
                end,
            } => self.record_end(request, *time_ms, end),
            CallerRecord::FeedFlawed { flaw, .. } => match flaw {
                FeedFlaw::Lost => self.report.cut += 1,
                FeedFlaw::Doubled | FeedFlaw::OutOfOrder | FeedFlaw::Crossed => {
                    self.report.crossed += 1;
                }
            },
        }
    }

    fn record_flow_end(&mut self, flow: u64, end: &FlowEnd) {
        let broken = matches!(end, FlowEnd::Broken { .. } | FlowEnd::Unopened { .. });
        if broken && self.broken_flows.insert(flow) {
            self.report.flows_broken += 1;
        }
    }

    fn record_sent(&mut self, record: &'a CallerRecord) {
        let CallerRecord::RequestSent {
            request,
            arrived_ms,
            service,
            agency,
            kind,
            filing,
            work_ms,
            ..
        } = record
        else {
            return;
        };
        self.report.requests += 1;
        let sent = SentRequest {
            arrived_ms: *arrived_ms,
            service,
            agency: agency.as_deref(),
            kind: *kind,
            filing: filing.as_deref(),
            work_ms: *work_ms,
            ended: false,
        };
        let starts = self.starts.get(request.as_str());
        let misrouted = |started: &&str| started != service;
        if starts.is_some_and(|starts| starts.iter().any(misrouted)) {
            self.report.wrong_service += 1;
        }
        self.requests.insert(request, sent);
    }

    fn record_end(&mut self, request: &'a str, time_ms: f64, end: &'a RequestEnd) {
        let Some(sent) = self.requests.get_mut(request) else {
            return;
        };
        sent.ended = true;
        match end.outcome {
            ObservedOutcome::Done => self.report.done += 1,
            ObservedOutcome::NotRun => self.report.not_run += 1,
            ObservedOutcome::Unknown => self.report.unknown += 1,
        }
        if end.outcome == ObservedOutcome::NotRun && self.has_run(request, time_ms) {
            self.report.not_run_but_ran += 1;
        }
        if end.outcome == ObservedOutcome::Done {
            self.record_latency(request, time_ms);
        }
        self.record_flaw(request, time_ms, end);
    }

    /// Returns whether a request reported as not run has run after all. Such a request must never
    /// start, not even later. Nor may another attempt have started the same filing before
    /// `time_ms`, because the caller applies the response to the filing as a whole.
    fn has_run(&self, request: &str, time_ms: f64) -> bool {
        if self.starts.contains_key(request) {
            return true;
        }
        let filing = self.requests.get(request).and_then(|sent| sent.filing);
        let starts = filing.and_then(|filing| self.filings.get(filing));
        starts.is_some_and(|starts| starts.iter().any(|&start| start <= time_ms))
    }

    fn record_latency(&mut self, request: &str, time_ms: f64) {
        let Some(sent) = self.requests.get(request) else {
            return;
        };
        if matches!(sent.kind, RequestKind::Feed | RequestKind::Ticket) {
            return;
        }
        let micros = ((time_ms - sent.arrived_ms) * 1_000.0).max(1.0) as u64;
        self.latencies.saturating_record(micros);
    }

    fn record_flaw(&mut self, request: &str, time_ms: f64, end: &RequestEnd) {
        match end.flaw {
            Some(ResponseFlaw::Crossed) => self.report.crossed += 1,
            Some(ResponseFlaw::WrongService) => self.report.wrong_service += 1,
            Some(ResponseFlaw::CutClean) => self.report.cut += 1,
            Some(ResponseFlaw::BrokeOff) if self.is_before_unplanned_fault(time_ms) => {
                self.report.cut += 1;
            }
            Some(ResponseFlaw::BrokeOff) | None => {}
        }
        let answered_for = end.answered_for.as_deref();
        if answered_for.is_some_and(|other| !self.is_same_filing(request, other)) {
            self.report.crossed += 1;
        }
    }

    fn is_before_unplanned_fault(&self, time_ms: f64) -> bool {
        let since = self.facts.unplanned_since_ms;
        since.is_none_or(|since| time_ms < since)
    }

    /// Returns whether two requests belong to the same filing. A replayed response carries the id
    /// of the request that ran, which is correct for all requests of its filing.
    fn is_same_filing(&self, request: &str, other: &str) -> bool {
        let filing_of = |id: &str| self.requests.get(id).and_then(|sent| sent.filing);
        let filing = filing_of(request);
        filing.is_some() && filing == filing_of(other)
    }

    fn finish(mut self, backends: &[BackendHistory]) -> RunReport {
        let unended = self.requests.values().filter(|sent| !sent.ended);
        self.report.unknown += unended.count() as u64;
        self.report.ran_twice = self.filings.values().filter(|runs| runs.len() > 1).count() as u64;
        self.report.imbalance = work::imbalance(backends, self.facts);
        self.report.agency_worst_share = self.agency_worst_share();
        self.report.latency_ms = self.latency_summary();
        self.report
    }

    /// Returns the worst share of an agency over all services. Demand counts once for a request and
    /// its retries, which have the same arrival time.
    fn agency_worst_share(&mut self) -> f64 {
        let mut arrivals: HashSet<(&str, u64)> = HashSet::new();
        for (id, sent) in &self.requests {
            let Some(agency) = sent.agency else { continue };
            if matches!(sent.kind, RequestKind::Feed | RequestKind::Ticket) {
                continue;
            }
            let services = self.agencies.entry(sent.service).or_default();
            let work = services.entry(agency.to_owned()).or_default();
            let amount = f64::from(sent.work_ms);
            if arrivals.insert((agency, sent.arrived_ms.to_bits())) {
                work.demanded += amount;
            }
            let runs = self.starts.get(id).map_or(0, Vec::len);
            work.served += amount * runs as f64;
        }
        let shares = self.agencies.values().map(worst_share);
        shares.fold(1.0, f64::min)
    }

    fn latency_summary(&self) -> LatencySummary {
        let millis = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        if self.latencies.is_empty() {
            return LatencySummary::default();
        }
        LatencySummary {
            p50: millis(0.5),
            p99: millis(0.99),
            p999: millis(0.999),
        }
    }
}
