//! What a request would cost at each gate, from reports of different age.
//!
//! ```text
//!   backlog = trust * reported + (1 - trust) * mean of all gates      (an old report fades)
//!           + own requests sent since that report
//!   wait    = (backlog + this request - slots) / slots * service time + setup left
//!           + how much longer own exchanges took there than elsewhere
//!   cost    = wait + hop
//! ```

use lovagelatch_domain::{AgentAddress, GateCondition, GateReport, Moment, PeerReport};
use smallvec::SmallVec;

use crate::evidence::PeerEvidence;
use crate::settings::PlacementSettings;

/// What a suspected peer costs more, in seconds: it is asked only when no other is left.
const SUSPECT_COST: f64 = 3_600.0;

/// How fast a report loses its say, in mean service times.
const REPORT_MEMORY: f64 = 10.0;

/// By how much own exchanges with a peer may take longer than with others before it counts
/// against the peer, in mean service times. Below, it is the chance of a heavy-tailed law.
const TIME_TOLERANCE: f64 = 1.0;

/// Floor of a service time, in seconds.
const SERVICE_FLOOR: f64 = 1e-4;

/// One gate under consideration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateCandidate {
    pub(crate) agent: AgentAddress,
    pub(crate) slots: f64,
    /// Expected time until a request sent now would start, in seconds.
    pub(crate) wait: f64,
    /// What it is compared by, in seconds.
    pub(crate) cost: f64,
}

/// What is typical among the gates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrowdView {
    /// Requests per slot, waiting ones included.
    backlog: f64,
    /// Mean measured time of an exchange, in seconds, over the peers.
    took: Option<f64>,
}

impl CrowdView {
    pub(crate) fn new<'a>(
        own: &GateReport,
        peers: &[PeerReport],
        evidence: impl Iterator<Item = &'a PeerEvidence>,
    ) -> Self {
        let reports = peers.iter().map(|peer| &peer.report).chain([own]);
        let open = reports.filter(|report| report.condition == GateCondition::Open);
        let (requests, slots) = open.fold((0.0, 0.0), |(requests, slots), report| {
            (requests + requests_of(report), slots + slots_of(report))
        });
        let times: SmallVec<[f64; 16]> = evidence.filter_map(PeerEvidence::took).collect();
        #[allow(clippy::cast_precision_loss)]
        let count = times.len() as f64;
        Self {
            backlog: if slots > 0.0 { requests / slots } else { 0.0 },
            took: (count > 0.0).then(|| times.iter().sum::<f64>() / count),
        }
    }
}

/// The own gate: its report is exact.
pub(crate) fn weigh_own(own: &GateReport, settings: &PlacementSettings) -> GateCandidate {
    let mut wait = own.expected_wait;
    if let GateCondition::Warming { remaining } = own.condition
        && !settings.counts_setup
    {
        wait = wait.saturating_sub(remaining);
    }
    GateCandidate {
        agent: settings.own,
        slots: slots_of(own),
        wait: wait.as_secs_f64(),
        cost: wait.as_secs_f64(),
    }
}

/// A peer's gate, from its report and what was measured on own exchanges with it.
pub(crate) fn weigh_peer(
    peer: &PeerReport,
    evidence: &mut PeerEvidence,
    crowd: &CrowdView,
    settings: &PlacementSettings,
    now: Moment,
) -> GateCandidate {
    let sent = f64::from(evidence.sent_since(peer.received));
    let (report, received) = evidence.newest(peer.report, peer.received);
    let service = service_of(&report);
    let slots = slots_of(&report);
    let age = now.since(received).as_secs_f64();
    let trust = (-age / (REPORT_MEMORY * service)).exp();
    let reported = requests_of(&report) / slots;
    let expected = trust * reported + (1.0 - trust) * crowd.backlog;
    let own_part = f64::from(evidence.outstanding()) / slots;
    let backlog = expected.max(own_part) + trust * sent / slots;
    let queued = (backlog + 1.0 / slots - 1.0).max(0.0) * service;
    let (condition, told) = evidence.condition(&peer.report, peer.received);
    let setup = if settings.counts_setup {
        setup_of(condition, now.since(told).as_secs_f64())
    } else {
        0.0
    };
    let barred = evidence.barred_for(now).as_secs_f64();
    let wait = (queued + setup + excess_time(evidence, crowd, service, now)).max(barred);
    let hop = if peer.zone == settings.zone {
        settings.local_hop
    } else {
        settings.zone_hop
    };
    let suspicion = if peer.suspected { SUSPECT_COST } else { 0.0 };
    GateCandidate {
        agent: peer.agent,
        slots,
        wait,
        cost: wait + hop.as_secs_f64() + suspicion,
    }
}

/// Mean time that a request holds a slot, in seconds.
pub(crate) fn service_of(report: &GateReport) -> f64 {
    report.service_time.as_secs_f64().max(SERVICE_FLOOR)
}

/// How much longer exchanges with this peer took than with others, beyond chance.
fn excess_time(evidence: &PeerEvidence, crowd: &CrowdView, service: f64, now: Moment) -> f64 {
    let (Some(took), Some(usual)) = (evidence.took(), crowd.took) else {
        return 0.0;
    };
    (took - usual - TIME_TOLERANCE * service).max(0.0) * evidence.freshness(now)
}

fn setup_of(condition: GateCondition, age: f64) -> f64 {
    match condition {
        GateCondition::Warming { remaining } => (remaining.as_secs_f64() - age).max(0.0),
        _ => 0.0,
    }
}

fn requests_of(report: &GateReport) -> f64 {
    f64::from(report.in_use) + f64::from(report.queued)
}

fn slots_of(report: &GateReport) -> f64 {
    f64::from(report.slots.max(1))
}
