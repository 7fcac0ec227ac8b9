//! Estimates the cost of a request at each gate from reports of different ages.
//!
//! ```text
//!   backlog = trust * reported + (1 - trust) * mean of all gates      (trust decays with age)
//!           + own requests sent since that report
//!   wait    = (backlog + this request - slots) / slots * service time + remaining warm-up
//!           + excess of own response times over the mean of all peers
//!   cost    = wait + round trip
//! ```

use lovagelatch_domain::{AgentAddress, GateCondition, GateReport, Moment, PeerReport};
use smallvec::SmallVec;

use crate::peer_stats::PeerStats;
use crate::settings::PlacementSettings;

/// Added to the cost of a suspected peer, in seconds, so that it is chosen only when no other gate
/// is left.
const SUSPECT_PENALTY_SECONDS: f64 = 3_600.0;

/// Decay time of the trust in a report, in mean service times.
const REPORT_DECAY_SERVICE_TIMES: f64 = 10.0;

/// How far own response times from a peer may exceed the mean of all peers before the excess counts
/// against it, in mean service times. Smaller differences occur by chance, because service times
/// are heavy-tailed.
const EXCESS_TOLERANCE_SERVICE_TIMES: f64 = 1.0;

/// Lower bound of a service time, in seconds.
const MIN_SERVICE_SECONDS: f64 = 1e-4;

/// A gate that the request could be sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateCandidate {
    pub(crate) agent: AgentAddress,
    pub(crate) slots: f64,
    /// Expected time until a request sent now would start, in seconds.
    pub(crate) wait: f64,
    /// The value by which candidates are compared, in seconds.
    pub(crate) cost: f64,
}

/// Means over the gates of the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateAverages {
    /// Requests per slot over the open gates, queued ones included.
    backlog: f64,
    /// Mean response time over the peers with enough samples, in seconds.
    response_seconds: Option<f64>,
}

impl GateAverages {
    pub(crate) fn new<'a>(
        own: &GateReport,
        peers: &[PeerReport],
        stats: impl Iterator<Item = &'a PeerStats>,
    ) -> Self {
        let reports = peers.iter().map(|peer| &peer.report).chain([own]);
        let open = reports.filter(|report| report.condition == GateCondition::Open);
        let (requests, slots) = open.fold((0.0, 0.0), |(requests, slots), report| {
            (requests + request_count(report), slots + slot_count(report))
        });
        let times: SmallVec<[f64; 16]> = stats.filter_map(PeerStats::response_seconds).collect();
        #[allow(clippy::cast_precision_loss)]
        let count = times.len() as f64;
        Self {
            backlog: if slots > 0.0 { requests / slots } else { 0.0 },
            response_seconds: (count > 0.0).then(|| times.iter().sum::<f64>() / count),
        }
    }
}

/// Returns the local gate as a candidate. Its report is exact.
pub(crate) fn local_candidate(own: &GateReport, settings: &PlacementSettings) -> GateCandidate {
    let mut wait = own.expected_wait;
    if let GateCondition::Warming { remaining } = own.condition
        && !settings.counts_warmup
    {
        wait = wait.saturating_sub(remaining);
    }
    GateCandidate {
        agent: settings.own_address,
        slots: slot_count(own),
        wait: wait.as_secs_f64(),
        cost: wait.as_secs_f64(),
    }
}

/// Returns a peer's gate as a candidate, from the peer's report and the statistics of own exchanges
/// with it.
pub(crate) fn peer_candidate(
    peer: &PeerReport,
    stats: &mut PeerStats,
    averages: &GateAverages,
    settings: &PlacementSettings,
    now: Moment,
) -> GateCandidate {
    let sent = f64::from(stats.sent_since(peer.received));
    let (report, received) = stats.latest_report(peer.report, peer.received);
    let service = service_seconds(&report);
    let slots = slot_count(&report);
    let age = now.since(received).as_secs_f64();
    let trust = (-age / (REPORT_DECAY_SERVICE_TIMES * service)).exp();
    let reported = request_count(&report) / slots;
    let expected = trust * reported + (1.0 - trust) * averages.backlog;
    let in_flight = f64::from(stats.in_flight()) / slots;
    let backlog = expected.max(in_flight) + trust * sent / slots;
    let queued = (backlog + 1.0 / slots - 1.0).max(0.0) * service;
    let (condition, condition_at) = stats.condition(&peer.report, peer.received);
    let warmup = if settings.counts_warmup {
        warmup_seconds(condition, now.since(condition_at).as_secs_f64())
    } else {
        0.0
    };
    let backoff = stats.backoff_remaining(now).as_secs_f64();
    let wait = (queued + warmup + excess_seconds(stats, averages, service, now)).max(backoff);
    let rtt = if peer.zone == settings.zone {
        settings.same_zone_rtt
    } else {
        settings.cross_zone_rtt
    };
    let suspicion = if peer.suspected {
        SUSPECT_PENALTY_SECONDS
    } else {
        0.0
    };
    GateCandidate {
        agent: peer.agent,
        slots,
        wait,
        cost: wait + rtt.as_secs_f64() + suspicion,
    }
}

/// Mean time for which a request holds a slot, in seconds.
pub(crate) fn service_seconds(report: &GateReport) -> f64 {
    report.service_time.as_secs_f64().max(MIN_SERVICE_SECONDS)
}

/// By how much response times from this peer exceed the mean of all peers, beyond chance.
fn excess_seconds(stats: &PeerStats, averages: &GateAverages, service: f64, now: Moment) -> f64 {
    let (Some(response_seconds), Some(mean)) =
        (stats.response_seconds(), averages.response_seconds)
    else {
        return 0.0;
    };
    (response_seconds - mean - EXCESS_TOLERANCE_SERVICE_TIMES * service).max(0.0)
        * stats.freshness(now)
}

fn warmup_seconds(condition: GateCondition, age: f64) -> f64 {
    match condition {
        GateCondition::Warming { remaining } => (remaining.as_secs_f64() - age).max(0.0),
        _ => 0.0,
    }
}

fn request_count(report: &GateReport) -> f64 {
    f64::from(report.in_use) + f64::from(report.queued)
}

fn slot_count(report: &GateReport) -> f64 {
    f64::from(report.slots.max(1))
}
