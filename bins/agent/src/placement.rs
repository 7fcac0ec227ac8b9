//! The placement of requests, as tasks use it.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport};
use lovagelatch_fleet::FleetClient;
use lovagelatch_placement::{
    ExchangeOutcome, GateCost, PeerPlacement, PlacementChoice, PlacementSettings, SUBSET_SIZE,
};
use parking_lot::Mutex;

/// The placement with the peers it deals with.
pub(crate) struct SharedPlacement {
    placement: Mutex<PeerPlacement>,
    /// In address order; empty before the first view. Used only above `SUBSET_SIZE` peers.
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

    /// Picks a gate among the own one and those of the peers dealt with.
    pub(crate) fn choose(
        &self,
        own: &GateReport,
        peers: &[PeerReport],
        tried: &[AgentAddress],
        time_left: Duration,
    ) -> PlacementChoice {
        let now = self.now();
        let near = self.near(peers);
        let peers = near.as_deref().unwrap_or(peers);
        let mut placement = self.placement.lock();
        placement.choose(own, peers, tried, time_left, now)
    }

    /// What a request that came now would cost at each gate, least first.
    pub(crate) fn costs(&self, own: &GateReport, peers: &[PeerReport]) -> Vec<GateCost> {
        let now = self.now();
        let near = self.near(peers);
        let peers = near.as_deref().unwrap_or(peers);
        self.placement.lock().costs(own, peers, now).into_vec()
    }

    pub(crate) fn sent(&self, peer: AgentAddress) {
        let now = self.now();
        self.placement.lock().record_sent(peer, now);
    }

    pub(crate) fn ended(&self, peer: AgentAddress) {
        let now = self.now();
        self.placement.lock().record_ended(peer, now);
    }

    pub(crate) fn observed(&self, peer: AgentAddress, end: ExchangeOutcome) {
        let now = self.now();
        self.placement.lock().record_outcome(peer, end, now);
    }

    /// Notes the load that came with the end of an answer or with a refusal.
    pub(crate) fn reported(&self, peer: AgentAddress, load: Option<GateReport>) {
        if let Some(load) = load {
            let now = self.now();
            self.placement.lock().record_report(peer, load, now);
        }
    }

    /// Takes a new list of the service's agents: forgets those gone, and those not dealt with.
    pub(crate) fn renew(&self, subset: Vec<AgentAddress>) {
        let is_known = |peer: AgentAddress| subset.binary_search(&peer).is_ok();
        self.placement.lock().retain(is_known);
        *self.subset.lock() = subset;
    }

    /// The reports of the peers dealt with, where there are more.
    fn near(&self, peers: &[PeerReport]) -> Option<Vec<PeerReport>> {
        if peers.len() <= SUBSET_SIZE {
            return None;
        }
        let subset = self.subset.lock();
        if subset.is_empty() {
            return None;
        }
        let near = peers
            .iter()
            .filter(|peer| subset.binary_search(&peer.agent).is_ok());
        Some(near.cloned().collect())
    }

    fn now(&self) -> Moment {
        self.fleet.now()
    }
}
