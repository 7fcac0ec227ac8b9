//! The gate that a new request goes to, as one agent decides it.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, GateCondition, GateReport, Moment, PeerReport, RefusalReason,
};
use smallvec::SmallVec;

use crate::evidence::PeerEvidence;
use crate::policy::{ExchangeEnd, PlacementChoice, PlacementPolicy};
use crate::settings::PlacementSettings;
use crate::weigh::{CrowdView, GateCandidate, service_of, weigh_own, weigh_peer};

/// Advice to a caller whose request found no gate at all.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// The largest effect of uneven past choices, in mean service times. It decides among gates
/// that are expected to be about equal, so that uneven flows do not become uneven work.
const CREDIT_WEIGHT: f64 = 0.25;

/// The farthest that past choices are counted as uneven, in requests.
const CREDIT_BOUND: f64 = 4.0;

/// The scale of the draw among equals, in seconds: far below any true difference.
const DRAW_SCALE: f64 = 1e-6;

type Candidates = SmallVec<[GateCandidate; 17]>;

/// Chooses between the own gate and the peers'.
#[derive(Clone, Debug)]
pub struct PeerPlacement {
    settings: PlacementSettings,
    evidence: HashMap<AgentAddress, PeerEvidence>,
    /// Requests that each gate is behind its even share of this agent's choices.
    credits: HashMap<AgentAddress, f64>,
    draws: u64,
}

impl PeerPlacement {
    /// A placement that has seen nothing yet.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            draws: settings.seed,
            settings,
            evidence: HashMap::new(),
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
        self.add_credits(&mut candidates, service_of(own));
        let best = candidates
            .iter()
            .min_by(|one, other| one.cost.total_cmp(&other.cost));
        let Some(best) = best.copied() else {
            return PlacementChoice::Refuse {
                reason: refusal_of(own, tried),
                retry_after: NO_TARGET_RETRY,
            };
        };
        let own_address = self.settings.own;
        let own_is_open = candidates.iter().any(|one| one.agent == own_address);
        let is_hopeless = best.wait > time_left.as_secs_f64();
        if best.agent == own_address || (is_hopeless && own_is_open) {
            // Where no gate is expected to make it, a hop is wasted: the own gate knows its
            // agencies' shares and says when to come back.
            self.note_choice(&candidates, own_address);
            return PlacementChoice::Own;
        }
        self.note_choice(&candidates, best.agent);
        PlacementChoice::Peer(best.agent)
    }

    /// Notes that a request was sent to a peer.
    pub fn sent(&mut self, peer: AgentAddress, _now: Moment) {
        self.evidence.entry(peer).or_default().sent();
    }

    /// Notes that a request sent to a peer ended, however.
    pub fn ended(&mut self, peer: AgentAddress, _now: Moment) {
        self.evidence.entry(peer).or_default().ended();
    }

    /// Notes how an exchange with a peer ended; called besides `ended`.
    pub fn observed(&mut self, peer: AgentAddress, end: ExchangeEnd, now: Moment) {
        self.evidence.entry(peer).or_default().observed(end, now);
    }

    /// Notes the report of its gate that a peer sent on its own account, along with the end of
    /// an answer or a refusal. One of an agent that nothing was sent to changes nothing.
    pub fn reported(&mut self, peer: AgentAddress, report: GateReport, now: Moment) {
        if let Some(evidence) = self.evidence.get_mut(&peer) {
            evidence.reported(report, now);
        }
    }

    /// Forgets the peers that `is_known` does not accept.
    pub fn retain(&mut self, mut is_known: impl FnMut(AgentAddress) -> bool) {
        self.evidence.retain(|peer, _| is_known(*peer));
        let own = self.settings.own;
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
        let known = peers
            .iter()
            .filter_map(|peer| self.evidence.get(&peer.agent));
        let crowd = CrowdView::new(own, peers, known);
        if own.condition != GateCondition::Leaving && !tried.contains(&self.settings.own) {
            candidates.push(weigh_own(own, &self.settings));
        }
        for peer in peers {
            let evidence = self.evidence.entry(peer.agent).or_default();
            let (condition, _) = evidence.condition(&peer.report, peer.received);
            if condition == GateCondition::Leaving || tried.contains(&peer.agent) {
                continue;
            }
            candidates.push(weigh_peer(peer, evidence, &crowd, &self.settings, now));
        }
        candidates
    }

    fn add_credits(&mut self, candidates: &mut Candidates, service: f64) {
        for candidate in candidates {
            let credit = self.credits.get(&candidate.agent).copied().unwrap_or(0.0);
            candidate.cost -= credit / CREDIT_BOUND * CREDIT_WEIGHT * service;
            candidate.cost += self.draw() * DRAW_SCALE;
        }
    }

    fn note_choice(&mut self, candidates: &Candidates, chosen: AgentAddress) {
        let total: f64 = candidates.iter().map(|candidate| candidate.slots).sum();
        for candidate in candidates {
            let credit = self.credits.entry(candidate.agent).or_default();
            let share = candidate.slots / total;
            let taken = if candidate.agent == chosen { 1.0 } else { 0.0 };
            *credit = (*credit + share - taken).clamp(-CREDIT_BOUND, CREDIT_BOUND);
        }
    }

    /// A number from 0 to 1 (SplitMix64), so that agents do not agree among equals.
    fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.draws;
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

    fn sent(&mut self, peer: AgentAddress, now: Moment) {
        Self::sent(self, peer, now);
    }

    fn ended(&mut self, peer: AgentAddress, now: Moment) {
        Self::ended(self, peer, now);
    }

    fn observed(&mut self, peer: AgentAddress, end: ExchangeEnd, now: Moment) {
        Self::observed(self, peer, end, now);
    }
}

fn refusal_of(own: &GateReport, tried: &[AgentAddress]) -> RefusalReason {
    if !tried.is_empty() {
        return RefusalReason::Full;
    }
    match own.condition {
        GateCondition::Leaving => RefusalReason::Leaving,
        _ => RefusalReason::NoTarget,
    }
}
