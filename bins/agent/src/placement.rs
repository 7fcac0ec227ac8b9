//! Shared access to the placement of requests among peers.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport};
use lovagelatch_fleet::FleetClient;
use lovagelatch_placement::{
    ExchangeOutcome, GateCost, PeerPlacement, PlacementChoice, PlacementSettings, SUBSET_SIZE,
};
use parking_lot::Mutex;

/// The placement policy, shared by all tasks and limited to this agent's subset of peers.
pub(crate) struct SharedPlacement {
    placement: Mutex<PeerPlacement>,
    /// The peers that this agent sends requests to, sorted by address. Empty before the first
    /// view; used only above `SUBSET_SIZE` peers.
    subset: Mutex<Vec<AgentAddress>>,
    fleet: FleetClient,
}

impl std::fmt::Debug for SharedPlacement {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("SharedPlacement")
            .finish_non_exhaustive()
    }
}

impl SharedPlacement {
    pub(crate) fn new(settings: PlacementSettings, fleet: FleetClient) -> Self {
        Self {
            placement: Mutex::new(PeerPlacement::new(settings)),
            subset: Mutex::default(),
            fleet,
        }
    }

    /// Picks the local gate or that of a peer in the subset.
    pub(crate) fn choose(
        &self,
        local: &GateReport,
        peers: &[PeerReport],
        tried: &[AgentAddress],
        time_left: Duration,
    ) -> PlacementChoice {
        let now = self.now();
        let selected = self.within_subset(peers);
        let peers = selected.as_deref().unwrap_or(peers);
        let mut placement = self.placement.lock();
        placement.choose(local, peers, tried, time_left, now)
    }

    /// The cost of each gate for a request that arrives now, in ascending order.
    pub(crate) fn costs(&self, local: &GateReport, peers: &[PeerReport]) -> Vec<GateCost> {
        let now = self.now();
        let selected = self.within_subset(peers);
        let peers = selected.as_deref().unwrap_or(peers);
        self.placement.lock().costs(local, peers, now).into_vec()
    }

    pub(crate) fn record_sent(&self, peer: AgentAddress) {
        let now = self.now();
        self.placement.lock().record_sent(peer, now);
    }

    pub(crate) fn record_ended(&self, peer: AgentAddress) {
        let now = self.now();
        self.placement.lock().record_ended(peer, now);
    }

    pub(crate) fn record_outcome(&self, peer: AgentAddress, outcome: ExchangeOutcome) {
        let now = self.now();
        self.placement.lock().record_outcome(peer, outcome, now);
    }

    /// Records the load report that came with the end of a response or with a refusal.
    pub(crate) fn record_report(&self, peer: AgentAddress, load: Option<GateReport>) {
        if let Some(load) = load {
            let now = self.now();
            self.placement.lock().record_report(peer, load, now);
        }
    }

    /// Replaces the subset of peers and discards the state of all others.
    pub(crate) fn set_subset(&self, subset: Vec<AgentAddress>) {
        let is_known = |peer: AgentAddress| subset.binary_search(&peer).is_ok();
        self.placement.lock().retain(is_known);
        *self.subset.lock() = subset;
    }

    /// The reports of the peers in the subset; `None` when no subset is in use.
    fn within_subset(&self, peers: &[PeerReport]) -> Option<Vec<PeerReport>> {
        if peers.len() <= SUBSET_SIZE {
            return None;
        }
        let subset = self.subset.lock();
        if subset.is_empty() {
            return None;
        }
        let selected = peers
            .iter()
            .filter(|peer| subset.binary_search(&peer.agent).is_ok());
        Some(selected.cloned().collect())
    }

    fn now(&self) -> Moment {
        self.fleet.now()
    }
}
