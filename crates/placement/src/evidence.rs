//! What an agent measured on its own exchanges with one peer.
//!
//! It outranks the peer's heartbeats: those are late by an unknown time, and a false one (a
//! gate that always reports itself idle) would draw all requests. Times and refusals that were
//! measured cannot be talked away.

use std::time::Duration;

use lovagelatch_domain::{GateCondition, GateReport, Moment, RefusalReason};

use crate::policy::ExchangeEnd;

/// Weight of the newest measured time once enough were seen. Small, because one time of a heavy-
/// tailed law says little; a false report is found out within about a hundred exchanges.
const SAMPLE_WEIGHT: f64 = 1.0 / 64.0;

/// How long measured times count. A peer that is avoided for them is not measured any more;
/// without an end it would be avoided for good after it recovered.
const TIMES_KEPT: Duration = Duration::from_secs(30);

/// How many times must be measured before their mean is used.
const LEAST_TIMES: f64 = 8.0;

/// A measured time counts at most this many times the mean so far.
const CLIP_FACTOR: f64 = 10.0;

/// A heartbeat's age is unknown: it may have waited anywhere on its way. One that came less
/// than this after an own exchange is taken to be older than what the exchange showed.
const HEARTBEAT_DOUBT: Duration = Duration::from_secs(3);

/// The longest that one refusal keeps an agent from asking again.
const MOST_BARRED: Duration = Duration::from_secs(2);

/// How long a lost exchange bars a peer, doubled for each further one in a row.
const LOST_BARRED: Duration = Duration::from_millis(200);

/// The most doublings.
const LOST_DOUBLINGS: u32 = 4;

/// Own exchanges with one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerEvidence {
    /// Requests sent there and not ended.
    outstanding: u32,
    /// Requests sent there since the report of `stamp` came.
    sent_since: u32,
    stamp: Moment,
    /// Mean measured time of an exchange, in seconds.
    took: f64,
    /// How many were measured, the newest at `took_at`.
    times: f64,
    took_at: Moment,
    barred_until: Moment,
    lost_in_a_row: u32,
    /// The newest report that came with an answer of this peer, and when.
    seen: Option<(GateReport, Moment)>,
}

impl PeerEvidence {
    pub(crate) fn sent(&mut self) {
        self.outstanding += 1;
        self.sent_since += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    pub(crate) fn observed(&mut self, end: ExchangeEnd, now: Moment) {
        match end {
            ExchangeEnd::Answered { took, report } => self.note_answer(took, report, now),
            ExchangeEnd::Refused {
                reason,
                retry_after,
            } => self.note_refusal(reason, retry_after, now),
            ExchangeEnd::Lost => self.note_loss(now),
        }
    }

    /// Notes a report that came outside of heartbeats.
    pub(crate) fn reported(&mut self, report: GateReport, now: Moment) {
        self.seen = Some((report, now));
        self.stamp = now;
        self.sent_since = 0;
    }

    pub(crate) fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Requests sent since the report that came at `received`.
    pub(crate) fn sent_since(&mut self, received: Moment) -> u32 {
        let doubtful = self
            .seen
            .is_some_and(|(_, at)| at + HEARTBEAT_DOUBT > received);
        if received > self.stamp && !doubtful {
            self.stamp = received;
            self.sent_since = 0;
        }
        self.sent_since
    }

    /// The newer of a heartbeat's report and the one that came with an own exchange.
    pub(crate) fn newest(&self, report: GateReport, received: Moment) -> (GateReport, Moment) {
        match self.seen {
            Some((seen, at)) if at + HEARTBEAT_DOUBT > received => (seen, at),
            _ => (report, received),
        }
    }

    /// The condition told last, with the moment it came. Heartbeats count at once here: a
    /// condition changes seldom, and a gate that leaves or starts anew must not be taken for
    /// open because of an answer from before.
    pub(crate) fn condition(
        &self,
        report: &GateReport,
        received: Moment,
    ) -> (GateCondition, Moment) {
        match self.seen {
            Some((seen, at)) if at > received => (seen.condition, at),
            _ => (report.condition, received),
        }
    }

    /// Mean measured time of an exchange, in seconds, when enough were measured.
    pub(crate) fn took(&self) -> Option<f64> {
        (self.times >= LEAST_TIMES).then_some(self.took)
    }

    /// How much the measured times still say, from 1 to 0.
    pub(crate) fn freshness(&self, now: Moment) -> f64 {
        let age = now.since(self.took_at).as_secs_f64();
        (-age / TIMES_KEPT.as_secs_f64()).exp()
    }

    /// For how long refusals or losses still advise against this peer.
    pub(crate) fn barred_for(&self, now: Moment) -> Duration {
        self.barred_until.since(now)
    }

    fn note_answer(&mut self, took: Duration, report: Option<GateReport>, now: Moment) {
        let sample = took.as_secs_f64().max(1e-6);
        self.lost_in_a_row = 0;
        let gap = now.since(self.took_at).as_secs_f64();
        let renewal = 1.0 - (-gap / TIMES_KEPT.as_secs_f64()).exp();
        self.times += 1.0;
        self.took_at = now;
        let clipped = if self.times > 1.0 {
            sample.min(self.took * CLIP_FACTOR)
        } else {
            sample
        };
        let weight = (1.0 / self.times).max(SAMPLE_WEIGHT).max(renewal);
        self.took += weight * (clipped - self.took);
        if let Some(report) = report {
            self.reported(report, now);
        }
    }

    fn note_refusal(&mut self, reason: RefusalReason, retry_after: Duration, now: Moment) {
        let barred = match reason {
            // An agency's own share says nothing about the room that others find there.
            RefusalReason::OverShare => return,
            // Until its heartbeats say so as well.
            RefusalReason::Leaving => MOST_BARRED,
            _ => retry_after.min(MOST_BARRED),
        };
        self.barred_until = now + barred;
    }

    fn note_loss(&mut self, now: Moment) {
        let barred = LOST_BARRED * 2_u32.pow(self.lost_in_a_row.min(LOST_DOUBLINGS));
        self.lost_in_a_row += 1;
        self.barred_until = now + barred;
    }
}
