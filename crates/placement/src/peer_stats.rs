//! Statistics that an agent measures on its own exchanges with one peer.
//!
//! They take precedence over the peer's heartbeats. Heartbeats are delayed by an unknown time, and
//! a false report (a gate that always claims to be idle) would attract all requests; measured
//! response times and refusals are not affected by false reports.

use std::time::Duration;

use lovagelatch_domain::{GateCondition, GateReport, Moment, RefusalReason};

use crate::policy::ExchangeOutcome;

/// Weight of the latest response time in the moving mean, once enough samples are recorded. It is
/// small because a single sample of a heavy-tailed distribution says little; a false report is
/// still detected within about a hundred exchanges.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 64.0;

/// Decay time of the measured response times. A peer that is avoided because of them is not
/// measured any more, so without decay it would be avoided even after it has recovered.
const SAMPLE_DECAY: Duration = Duration::from_secs(30);

/// Minimum number of samples before their mean is used.
const MIN_SAMPLES: f64 = 8.0;

/// Response times are clipped to this multiple of the mean.
const SAMPLE_CLIP_FACTOR: f64 = 10.0;

/// Assumed bound of a heartbeat's delay, which is not known. A heartbeat received less than this
/// after an own exchange is treated as older than the report that came with the exchange.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_secs(3);

/// Longest backoff after one refusal.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// Backoff after a lost exchange, doubled for each further consecutive loss.
const LOSS_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum number of these doublings.
const MAX_LOSS_DOUBLINGS: u32 = 4;

/// Statistics of own exchanges with one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerStats {
    /// Requests sent to the peer that have not ended.
    in_flight: u32,
    /// Requests sent to the peer since the report received at `counted_from`.
    sent_since: u32,
    counted_from: Moment,
    /// Moving mean of the response times, in seconds.
    mean_seconds: f64,
    /// Number of measured response times; the latest is from `sampled_at`.
    samples: f64,
    sampled_at: Moment,
    backoff_until: Moment,
    consecutive_losses: u32,
    /// The latest report that came with an answer of this peer, and when it was received.
    latest: Option<(GateReport, Moment)>,
}

impl PeerStats {
    pub(crate) fn record_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since += 1;
    }

    pub(crate) fn record_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn record_outcome(&mut self, outcome: ExchangeOutcome, now: Moment) {
        match outcome {
            ExchangeOutcome::Answered {
                response_time,
                report,
            } => self.record_answer(response_time, report, now),
            ExchangeOutcome::Refused {
                reason,
                retry_after,
            } => self.record_refusal(reason, retry_after, now),
            ExchangeOutcome::Lost => self.record_loss(now),
        }
    }

    /// Records a report that did not come with a heartbeat.
    pub(crate) fn record_report(&mut self, report: GateReport, now: Moment) {
        self.latest = Some((report, now));
        self.counted_from = now;
        self.sent_since = 0;
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests sent since the heartbeat report received at `received`, or since a
    /// report that came with an own exchange if that one counts as newer.
    pub(crate) fn sent_since(&mut self, received: Moment) -> u32 {
        let may_be_older = self
            .latest
            .is_some_and(|(_, at)| at + MAX_HEARTBEAT_DELAY > received);
        if received > self.counted_from && !may_be_older {
            self.counted_from = received;
            self.sent_since = 0;
        }
        self.sent_since
    }

    /// Returns the newer of a heartbeat report and the report that came with an own exchange.
    pub(crate) fn latest_report(
        &self,
        report: GateReport,
        received: Moment,
    ) -> (GateReport, Moment) {
        match self.latest {
            Some((latest, at)) if at + MAX_HEARTBEAT_DELAY > received => (latest, at),
            _ => (report, received),
        }
    }

    /// Returns the condition reported last and when that report was received. A heartbeat replaces
    /// an earlier report immediately here: conditions change rarely, and a gate that leaves or
    /// restarts must not be considered open because of an earlier answer.
    pub(crate) fn condition(
        &self,
        report: &GateReport,
        received: Moment,
    ) -> (GateCondition, Moment) {
        match self.latest {
            Some((latest, at)) if at > received => (latest.condition, at),
            _ => (report.condition, received),
        }
    }

    /// Returns the mean response time in seconds, if enough samples are recorded.
    pub(crate) fn response_seconds(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_seconds)
    }

    /// Returns the remaining weight of the measured response times, from 1 down to 0.
    pub(crate) fn freshness(&self, now: Moment) -> f64 {
        let age = now.since(self.sampled_at).as_secs_f64();
        (-age / SAMPLE_DECAY.as_secs_f64()).exp()
    }

    /// Returns the remaining backoff after refusals or losses.
    pub(crate) fn backoff_remaining(&self, now: Moment) -> Duration {
        self.backoff_until.since(now)
    }

    fn record_answer(&mut self, response_time: Duration, report: Option<GateReport>, now: Moment) {
        let sample = response_time.as_secs_f64().max(1e-6);
        self.consecutive_losses = 0;
        let gap = now.since(self.sampled_at).as_secs_f64();
        let decayed = 1.0 - (-gap / SAMPLE_DECAY.as_secs_f64()).exp();
        self.samples += 1.0;
        self.sampled_at = now;
        let clipped = if self.samples > 1.0 {
            sample.min(self.mean_seconds * SAMPLE_CLIP_FACTOR)
        } else {
            sample
        };
        let weight = (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT).max(decayed);
        self.mean_seconds += weight * (clipped - self.mean_seconds);
        if let Some(report) = report {
            self.record_report(report, now);
        }
    }

    fn record_refusal(&mut self, reason: RefusalReason, retry_after: Duration, now: Moment) {
        let backoff = match reason {
            // The share of one agency says nothing about the capacity left for others.
            RefusalReason::OverShare => return,
            // Bridges the time until the peer's heartbeats report it too.
            RefusalReason::Leaving => MAX_REFUSAL_BACKOFF,
            _ => retry_after.min(MAX_REFUSAL_BACKOFF),
        };
        self.backoff_until = now + backoff;
    }

    fn record_loss(&mut self, now: Moment) {
        let backoff = LOSS_BACKOFF * 2_u32.pow(self.consecutive_losses.min(MAX_LOSS_DOUBLINGS));
        self.consecutive_losses += 1;
        self.backoff_until = now + backoff;
    }
}
