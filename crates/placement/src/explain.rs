//! Explains to operators how the gates rank for a new request.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::peers::PeerPlacement;

/// The expected cost of a new request at one gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateCost {
    /// The agent that runs the gate.
    pub agent: AgentAddress,
    /// Expected time until the request would start.
    pub wait: Duration,
    /// The value by which gates are compared: the wait plus the round trip, plus a penalty while
    /// the agent is suspected.
    pub cost: Duration,
}

impl PeerPlacement {
    /// Returns the cost of a new request at each eligible gate, cheapest first.
    ///
    /// Changes no placement state. Leaves out the credits that break ties among gates of about
    /// equal cost, so the first entry need not be the gate that `choose` returns.
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
                wait: clamped_duration(candidate.wait),
                cost: clamped_duration(candidate.cost),
            })
            .collect();
        costs.sort_by_key(|gate| gate.cost);
        costs
    }
}

/// Rounding can make a cost slightly negative, and a cost can exceed the range of `Duration`.
fn clamped_duration(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
