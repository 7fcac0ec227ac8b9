//! The metrics of one run.

use hdrhistogram::Histogram;
use lovagelatch_domain::Moment;
use serde::Serialize;

use crate::scenario::Scenario;

/// Upper bound of recorded latencies: ten minutes. They are kept to three significant digits.
const MAX_MICROS: u64 = 600_000_000;

/// Request counts of one class: an agency, or all requests.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ClassCount {
    pub(crate) arrived: u64,
    pub(crate) done: u64,
    pub(crate) refused: u64,
}

/// Collects the metrics of a running simulation.
pub(crate) struct RunMetrics {
    latency: Histogram<u64>,
    /// One entry per agency, or one for all requests.
    pub(crate) classes: Vec<ClassCount>,
    pub(crate) attempts: u64,
    /// Time that slots were in use, in seconds by target.
    pub(crate) work: Vec<f64>,
    /// Requests that started on target 0 after it announced that it leaves.
    pub(crate) started_while_leaving: u64,
    pub(crate) late: u64,
    pub(crate) measured_from: Moment,
    pub(crate) measured_until: Moment,
}

impl RunMetrics {
    pub(crate) fn new(scenario: &Scenario, measured_from: Moment, measured_until: Moment) -> Self {
        let classes = scenario.agencies.len().max(1);
        Self {
            latency: Histogram::new_with_bounds(1, MAX_MICROS, 3)
                .expect("the bounds are valid constants"),
            classes: vec![ClassCount::default(); classes],
            attempts: 0,
            work: vec![0.0; scenario.deployment.targets],
            started_while_leaving: 0,
            late: 0,
            measured_from,
            measured_until,
        }
    }

    /// Whether a request that arrived at `arrived` counts towards the results.
    pub(crate) fn is_measured(&self, arrived: Moment) -> bool {
        arrived >= self.measured_from && arrived < self.measured_until
    }

    /// Adds the part of a slot's use that falls into the measured window.
    pub(crate) fn record_work(&mut self, gate: usize, from: Moment, to: Moment) {
        let from = from.max(self.measured_from);
        let to = to.min(self.measured_until);
        self.work[gate] += to.since(from).as_secs_f64();
    }

    pub(crate) fn record_done(
        &mut self,
        class: usize,
        arrived: Moment,
        deadline: Moment,
        at: Moment,
    ) {
        let micros = u64::try_from(at.since(arrived).as_micros()).unwrap_or(MAX_MICROS);
        self.latency.saturating_record(micros.max(1));
        if at <= deadline {
            self.classes[class].done += 1;
        } else {
            self.late += 1;
        }
    }

    pub(crate) fn finish(self, scenario: &Scenario, policy: &'static str) -> RunResult {
        let arrived: u64 = self.classes.iter().map(|class| class.arrived).sum();
        let done: u64 = self.classes.iter().map(|class| class.done).sum();
        let refused: u64 = self.classes.iter().map(|class| class.refused).sum();
        let seconds = self.measured_until.since(self.measured_from).as_secs_f64();
        let millis = |quantile: f64| {
            let micros = self.latency.value_at_quantile(quantile);
            round(micros as f64 / 1_000.0)
        };
        let total: f64 = self.work.iter().sum();
        #[allow(clippy::cast_precision_loss)]
        let mean = total / self.work.len() as f64;
        let max = self.work.iter().copied().fold(0.0, f64::max);
        RunResult {
            deployment: scenario.deployment.name,
            policy,
            load: scenario.load,
            lag_s: scenario.lag.as_secs_f64(),
            fault: scenario.fault,
            deadline_s: scenario.deadline.as_secs_f64(),
            setup_s: scenario.warmup.as_secs_f64(),
            sizes: scenario.sizes,
            arrivals: scenario.arrivals,
            seed: scenario.seed,
            requests: arrived,
            imbalance: round(max / mean.max(1e-9)),
            p50_ms: millis(0.5),
            p99_ms: millis(0.99),
            p999_ms: millis(0.999),
            mean_ms: round(self.latency.mean() / 1_000.0),
            cost_ms: round(
                (self.latency.mean() * (done + self.late) as f64 / 1_000.0
                    + scenario.deadline.as_secs_f64() * 1_000.0 * refused as f64)
                    / arrived.max(1) as f64,
            ),
            goodput: round(done as f64 / seconds),
            refused_share: round(refused as f64 / arrived.max(1) as f64),
            late_share: round(self.late as f64 / arrived.max(1) as f64),
            attempts: round(self.attempts as f64 / arrived.max(1) as f64),
            after_leaving: self.started_while_leaving,
            classes: self.classes,
        }
    }
}

/// The results of a finished run. Goodput is in requests per second; `attempts` is the mean per
/// request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct RunResult {
    pub(crate) deployment: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) load: f64,
    pub(crate) lag_s: f64,
    pub(crate) fault: crate::scenario::TargetFault,
    pub(crate) deadline_s: f64,
    pub(crate) setup_s: f64,
    pub(crate) sizes: crate::distribution::SizeDistribution,
    pub(crate) arrivals: crate::distribution::ArrivalPattern,
    pub(crate) seed: u64,
    pub(crate) requests: u64,
    pub(crate) imbalance: f64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) mean_ms: f64,
    /// Mean latency, with each refused request counted as its full deadline.
    pub(crate) cost_ms: f64,
    pub(crate) goodput: f64,
    pub(crate) refused_share: f64,
    pub(crate) late_share: f64,
    pub(crate) attempts: f64,
    pub(crate) after_leaving: u64,
    pub(crate) classes: Vec<ClassCount>,
}

pub(crate) fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
