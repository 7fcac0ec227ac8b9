//! Why a request would go where it goes, for operators.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::peers::PeerPlacement;

/// What a request would cost at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateCost {
    /// The agent whose gate it is.
    pub agent: AgentAddress,
    /// Expected time until the request would start.
    pub wait: Duration,
    /// What the gate is compared by: the wait, the way there, and suspicion.
    pub cost: Duration,
}

impl PeerPlacement {
    /// What a request that came now would cost at each gate that may take it, least first.
    ///
    /// Decides nothing: who was chosen before, which breaks ties among gates that cost about the
    /// same, is left out.
    pub fn costs(
        &mut self,
        own: &GateReport,
        peers: &[PeerReport],
        now: Moment,
    ) -> SmallVec<[GateCost; 17]> {
        let candidates = self.candidates(own, peers, &[], now);
        let mut costs: SmallVec<[GateCost; 17]> = candidates
            .iter()
            .map(|candidate| GateCost {
                agent: candidate.agent,
                wait: seconds(candidate.wait),
                cost: seconds(candidate.cost),
            })
            .collect();
        costs.sort_by_key(|gate| gate.cost);
        costs
    }
}

/// A cost may be below zero by a hair, or beyond what a duration holds.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
