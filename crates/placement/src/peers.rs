//! Placement of new requests: chooses the gate, separately in each agent.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, GateCondition, GateReport, Moment, PeerReport, RefusalReason,
};
use smallvec::SmallVec;

use crate::cost::{GateAverages, GateCandidate, local_candidate, peer_candidate, service_seconds};
use crate::peer_stats::PeerStats;
use crate::policy::{ExchangeOutcome, PlacementChoice, PlacementPolicy};
use crate::settings::PlacementSettings;

/// Retry-after time for a caller whose request found no gate at all.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest effect of the credits on a cost, in mean service times. Credits decide between gates of
/// about equal cost, so that an uneven distribution of flows does not become an uneven distribution
/// of requests.
const MAX_CREDIT_SERVICE_TIMES: f64 = 0.25;

/// Bound of a credit in either direction, in requests.
const MAX_CREDIT_REQUESTS: f64 = 4.0;

/// Scale of the random tie-break, in seconds; far below any real difference in cost.
const TIE_BREAK_SECONDS: f64 = 1e-6;

type Candidates = SmallVec<[GateCandidate; 17]>;

/// Chooses between the local gate and the gates of the peers.
#[derive(Clone, Debug)]
pub struct PeerPlacement {
    settings: PlacementSettings,
    stats: HashMap<AgentAddress, PeerStats>,
    /// By how many requests each gate is behind its fair share of this agent's choices.
    credits: HashMap<AgentAddress, f64>,
    random_state: u64,
}

impl PeerPlacement {
    /// Creates a placement without statistics.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            random_state: settings.seed,
            settings,
            stats: HashMap::new(),
            credits: HashMap::new(),
        }
    }

    /// Picks a gate; see [`PlacementPolicy::choose`].
    pub fn choose(
        &mut self,
        own: &GateReport,
        peers: &[PeerReport],
        tried: &[AgentAddress],
        time_left: Duration,
        now: Moment,
    ) -> PlacementChoice {
        let mut candidates = self.candidates(own, peers, tried, now);
        self.apply_credits(&mut candidates, service_seconds(own));
        let best = candidates
            .iter()
            .min_by(|first, second| first.cost.total_cmp(&second.cost));
        let Some(best) = best.copied() else {
            return PlacementChoice::Refuse {
                reason: refusal_reason(own, tried),
                retry_after: NO_TARGET_RETRY_AFTER,
            };
        };
        let own_address = self.settings.own_address;
        let local_is_open = candidates
            .iter()
            .any(|candidate| candidate.agent == own_address);
        let misses_deadline = best.wait > time_left.as_secs_f64();
        if best.agent == own_address || (misses_deadline && local_is_open) {
            // If no gate is expected to meet the deadline, a relay is wasted: the local gate knows
            // the shares of its agencies and computes the retry-after time.
            self.update_credits(&candidates, own_address);
            return PlacementChoice::Own;
        }
        self.update_credits(&candidates, best.agent);
        PlacementChoice::Peer(best.agent)
    }

    /// Records that a request was sent to a peer.
    pub fn record_sent(&mut self, peer: AgentAddress, _now: Moment) {
        self.stats.entry(peer).or_default().record_sent();
    }

    /// Records that a request sent to a peer ended, whatever its outcome.
    pub fn record_ended(&mut self, peer: AgentAddress, _now: Moment) {
        self.stats.entry(peer).or_default().record_ended();
    }

    /// Records the outcome of an exchange with a peer; called in addition to `record_ended`.
    pub fn record_outcome(&mut self, peer: AgentAddress, outcome: ExchangeOutcome, now: Moment) {
        self.stats
            .entry(peer)
            .or_default()
            .record_outcome(outcome, now);
    }

    /// Records a load report that a peer sent with the end of an answer or with a refusal. Ignored
    /// for an agent that no request was sent to.
    pub fn record_report(&mut self, peer: AgentAddress, report: GateReport, now: Moment) {
        if let Some(stats) = self.stats.get_mut(&peer) {
            stats.record_report(report, now);
        }
    }

    /// Drops the state of all peers for which `is_known` returns false.
    pub fn retain(&mut self, mut is_known: impl FnMut(AgentAddress) -> bool) {
        self.stats.retain(|peer, _| is_known(*peer));
        let own = self.settings.own_address;
        self.credits
            .retain(|peer, _| *peer == own || is_known(*peer));
    }

    pub(crate) fn candidates(
        &mut self,
        own: &GateReport,
        peers: &[PeerReport],
        tried: &[AgentAddress],
        now: Moment,
    ) -> Candidates {
        let mut candidates = Candidates::new();
        let known = peers.iter().filter_map(|peer| self.stats.get(&peer.agent));
        let averages = GateAverages::new(own, peers, known);
        if own.condition != GateCondition::Leaving && !tried.contains(&self.settings.own_address) {
            candidates.push(local_candidate(own, &self.settings));
        }
        for peer in peers {
            let stats = self.stats.entry(peer.agent).or_default();
            let (condition, _) = stats.condition(&peer.report, peer.received);
            if condition == GateCondition::Leaving || tried.contains(&peer.agent) {
                continue;
            }
            candidates.push(peer_candidate(peer, stats, &averages, &self.settings, now));
        }
        candidates
    }

    fn apply_credits(&mut self, candidates: &mut Candidates, service: f64) {
        for candidate in candidates {
            let credit = self.credits.get(&candidate.agent).copied().unwrap_or(0.0);
            candidate.cost -= credit / MAX_CREDIT_REQUESTS * MAX_CREDIT_SERVICE_TIMES * service;
            candidate.cost += self.next_random() * TIE_BREAK_SECONDS;
        }
    }

    fn update_credits(&mut self, candidates: &Candidates, chosen: AgentAddress) {
        let total: f64 = candidates.iter().map(|candidate| candidate.slots).sum();
        for candidate in candidates {
            let credit = self.credits.entry(candidate.agent).or_default();
            let share = candidate.slots / total;
            let taken = if candidate.agent == chosen { 1.0 } else { 0.0 };
            *credit = (*credit + share - taken).clamp(-MAX_CREDIT_REQUESTS, MAX_CREDIT_REQUESTS);
        }
    }

    /// Returns a pseudo-random number from 0 to 1 (SplitMix64), so that agents do not all choose
    /// the same gate among equals.
    fn next_random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.random_state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        let high = u32::try_from((bits ^ (bits >> 31)) >> 32).unwrap_or(u32::MAX);
        f64::from(high) / f64::from(u32::MAX)
    }
}

impl PlacementPolicy for PeerPlacement {
    fn choose(
        &mut self,
        own: &GateReport,
        peers: &[PeerReport],
        tried: &[AgentAddress],
        time_left: Duration,
        now: Moment,
    ) -> PlacementChoice {
        Self::choose(self, own, peers, tried, time_left, now)
    }

    fn record_sent(&mut self, peer: AgentAddress, now: Moment) {
        Self::record_sent(self, peer, now);
    }

    fn record_ended(&mut self, peer: AgentAddress, now: Moment) {
        Self::record_ended(self, peer, now);
    }

    fn record_outcome(&mut self, peer: AgentAddress, outcome: ExchangeOutcome, now: Moment) {
        Self::record_outcome(self, peer, outcome, now);
    }
}

fn refusal_reason(own: &GateReport, tried: &[AgentAddress]) -> RefusalReason {
    if !tried.is_empty() {
        return RefusalReason::Full;
    }
    match own.condition {
        GateCondition::Leaving => RefusalReason::Leaving,
        _ => RefusalReason::NoTarget,
    }
}
