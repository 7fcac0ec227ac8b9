//! The checker: lays the histories of callers and backend servers side by side.

use std::collections::{BTreeMap, HashMap, HashSet};

use hdrhistogram::Histogram;

use crate::fairness::{AgencyWork, worst_share};
use crate::{
    AnswerFlaw, BackendHistory, BackendRecord, CallerRecord, FeedFlaw, FlowEnd, LEAVING_GRACE_MS,
    LatencySummary, RequestEnd, RequestKind, RunFacts, RunReport, SeenOutcome, work,
};

/// Longest latency that is told apart, in microseconds.
const LONGEST_LATENCY_MICROS: u64 = 600_000_000;

/// Judges a run.
#[must_use]
pub fn check_run(
    callers: &[CallerRecord],
    backends: &[BackendHistory],
    facts: &RunFacts,
) -> RunReport {
    let mut checker = RunChecker::new(backends, facts);
    for record in callers {
        checker.note_caller(record);
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
    /// The services of the backend servers that started a request, by the caller's id of it.
    starts: HashMap<&'a str, Vec<&'a str>>,
    /// Start times by filing.
    filings: HashMap<&'a str, Vec<f64>>,
    requests: HashMap<&'a str, SentRequest<'a>>,
    broken: HashSet<u64>,
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
            broken: HashSet::new(),
            agencies: BTreeMap::new(),
            latencies: Histogram::new_with_bounds(1, LONGEST_LATENCY_MICROS, 3)
                .expect("the bounds are constants that the library accepts"),
        };
        for history in backends {
            checker.note_backend(history);
        }
        checker
    }

    fn note_backend(&mut self, history: &'a BackendHistory) {
        let told = self.facts.left_ms(&history.target);
        let first_word = told.into_iter().chain(history.leaving_ms());
        let last_allowed = first_word
            .reduce(f64::min)
            .map(|time| time + LEAVING_GRACE_MS);
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

    fn note_caller(&mut self, record: &'a CallerRecord) {
        match record {
            CallerRecord::FlowOpening { .. } => self.report.flows_opened += 1,
            CallerRecord::FlowEnded { flow, end, .. } => self.note_flow_end(*flow, end),
            CallerRecord::RequestSent { .. } => self.note_sent(record),
            CallerRecord::RequestEnded {
                request,
                time_ms,
                end,
            } => self.note_end(request, *time_ms, end),
            CallerRecord::FeedFlawed { flaw, .. } => match flaw {
                FeedFlaw::Lost => self.report.cut += 1,
                FeedFlaw::Doubled | FeedFlaw::OutOfOrder | FeedFlaw::Crossed => {
                    self.report.crossed += 1;
                }
            },
        }
    }

    fn note_flow_end(&mut self, flow: u64, end: &FlowEnd) {
        let broken = matches!(end, FlowEnd::Broken { .. } | FlowEnd::Unopened { .. });
        if broken && self.broken.insert(flow) {
            self.report.flows_broken += 1;
        }
    }

    fn note_sent(&mut self, record: &'a CallerRecord) {
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
        let misled = |started: &&str| started != service;
        if starts.is_some_and(|starts| starts.iter().any(misled)) {
            self.report.wrong_service += 1;
        }
        self.requests.insert(request, sent);
    }

    fn note_end(&mut self, request: &'a str, time_ms: f64, end: &'a RequestEnd) {
        let Some(sent) = self.requests.get_mut(request) else {
            return;
        };
        sent.ended = true;
        match end.outcome {
            SeenOutcome::Done => self.report.done += 1,
            SeenOutcome::NotRun => self.report.not_run += 1,
            SeenOutcome::Unknown => self.report.unknown += 1,
        }
        if end.outcome == SeenOutcome::NotRun && self.ran_all_the_same(request, time_ms) {
            self.report.not_run_but_ran += 1;
        }
        if end.outcome == SeenOutcome::Done {
            self.note_done(request, time_ms);
        }
        self.note_flaw(request, time_ms, end);
    }

    /// A request that was told as not run must never have started, then or later. Nor may the
    /// filing it tried have been running by then through another attempt: the caller takes the
    /// answer as said of the filing.
    fn ran_all_the_same(&self, request: &str, time_ms: f64) -> bool {
        if self.starts.contains_key(request) {
            return true;
        }
        let filing = self.requests.get(request).and_then(|sent| sent.filing);
        let starts = filing.and_then(|filing| self.filings.get(filing));
        starts.is_some_and(|starts| starts.iter().any(|&start| start <= time_ms))
    }

    fn note_done(&mut self, request: &str, time_ms: f64) {
        let Some(sent) = self.requests.get(request) else {
            return;
        };
        if matches!(sent.kind, RequestKind::Feed | RequestKind::Ticket) {
            return;
        }
        let micros = ((time_ms - sent.arrived_ms) * 1_000.0).max(1.0) as u64;
        self.latencies.saturating_record(micros);
    }

    fn note_flaw(&mut self, request: &str, time_ms: f64, end: &RequestEnd) {
        match end.flaw {
            Some(AnswerFlaw::Crossed) => self.report.crossed += 1,
            Some(AnswerFlaw::WrongService) => self.report.wrong_service += 1,
            Some(AnswerFlaw::CutClean) => self.report.cut += 1,
            Some(AnswerFlaw::BrokeOff) if self.is_before_unplanned(time_ms) => {
                self.report.cut += 1;
            }
            Some(AnswerFlaw::BrokeOff) | None => {}
        }
        let answered_for = end.answered_for.as_deref();
        if answered_for.is_some_and(|other| !self.is_same_filing(request, other)) {
            self.report.crossed += 1;
        }
    }

    fn is_before_unplanned(&self, time_ms: f64) -> bool {
        let since = self.facts.unplanned_since_ms;
        since.is_none_or(|since| time_ms < since)
    }

    /// A replayed answer bears the id of the attempt that ran, which is right for its filing.
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

    /// What agencies asked for counts once for each thing wanted, however often it was retried.
    fn agency_worst_share(&mut self) -> f64 {
        let mut wanted: HashSet<(&str, u64)> = HashSet::new();
        for (id, sent) in &self.requests {
            let Some(agency) = sent.agency else { continue };
            if matches!(sent.kind, RequestKind::Feed | RequestKind::Ticket) {
                continue;
            }
            let services = self.agencies.entry(sent.service).or_default();
            let work = services.entry(agency.to_owned()).or_default();
            let amount = f64::from(sent.work_ms);
            if wanted.insert((agency, sent.arrived_ms.to_bits())) {
                work.asked += amount;
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
