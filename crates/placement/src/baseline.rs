//! Common policies, as baselines for the experiments.
//!
//! Each decides where [`crate::PeerPlacement`] does and with the same reports, so that a
//! difference in results comes from the decision alone.

use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, GateCondition, GateReport, Moment, PeerReport, RefusalReason,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::policy::{ExchangeEnd, PlacementChoice, PlacementPolicy};

const RETRY: Duration = Duration::from_secs(1);

/// A way to pick one of several gates by their reports.
trait Picker {
    /// Picks an index into `gates`, which is not empty.
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize;
}

/// Runs a picker over the gates that are neither leaving nor tried.
fn choose_with(
    picker: &mut impl Picker,
    own_address: AgentAddress,
    own: &GateReport,
    peers: &[PeerReport],
    tried: &[AgentAddress],
) -> PlacementChoice {
    let reports = peers.iter().map(|peer| (peer.agent, peer.report));
    let mut gates: Vec<(AgentAddress, GateReport)> = reports.collect();
    gates.push((own_address, *own));
    gates.retain(|(agent, report)| {
        report.condition != GateCondition::Leaving && !tried.contains(agent)
    });
    gates.sort_unstable_by_key(|(agent, _)| *agent);
    if gates.is_empty() {
        return PlacementChoice::Refuse {
            reason: RefusalReason::NoTarget,
            retry_after: RETRY,
        };
    }
    let picked = gates[picker.pick(&gates)].0;
    if picked == own_address {
        PlacementChoice::Own
    } else {
        PlacementChoice::Peer(picked)
    }
}

/// Requests per slot as reported.
fn load_of(report: &GateReport) -> f64 {
    let requests = f64::from(report.in_use) + f64::from(report.queued);
    requests / f64::from(report.slots.max(1))
}

macro_rules! baseline_policy {
    ($name:ident) => {
        impl PlacementPolicy for $name {
            fn choose(
                &mut self,
                own: &GateReport,
                peers: &[PeerReport],
                tried: &[AgentAddress],
                _time_left: Duration,
                _now: Moment,
            ) -> PlacementChoice {
                let own_address = self.own;
                choose_with(self, own_address, own, peers, tried)
            }

            fn sent(&mut self, _peer: AgentAddress, _now: Moment) {}

            fn ended(&mut self, _peer: AgentAddress, _now: Moment) {}

            fn observed(&mut self, _peer: AgentAddress, _end: ExchangeEnd, _now: Moment) {}
        }
    };
}

/// Each gate in turn.
#[derive(Clone, Debug)]
pub struct RoundRobin {
    own: AgentAddress,
    next: usize,
}

impl RoundRobin {
    /// Starts at a place of its own, given by `seed`.
    #[must_use]
    pub const fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            next: (seed % 1_024) as usize,
        }
    }
}

impl Picker for RoundRobin {
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % gates.len()
    }
}

baseline_policy!(RoundRobin);

/// A gate drawn at random.
#[derive(Clone, Debug)]
pub struct RandomChoice {
    own: AgentAddress,
    random: StdRng,
}

impl RandomChoice {
    /// Draws from the sequence that `seed` gives.
    #[must_use]
    pub fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl Picker for RandomChoice {
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize {
        self.random.random_range(0..gates.len())
    }
}

baseline_policy!(RandomChoice);

/// The gate whose report shows the least load, one of the least at random.
#[derive(Clone, Debug)]
pub struct LeastLoad {
    own: AgentAddress,
    random: StdRng,
}

impl LeastLoad {
    /// Draws among equals from the sequence that `seed` gives.
    #[must_use]
    pub fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl Picker for LeastLoad {
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize {
        let loads = gates.iter().map(|(_, report)| load_of(report));
        let least = loads.clone().fold(f64::INFINITY, f64::min);
        let equals: Vec<usize> = loads
            .enumerate()
            .filter(|(_, load)| *load <= least)
            .map(|(index, _)| index)
            .collect();
        let drawn = self.random.random_range(0..equals.len().max(1));
        equals.get(drawn).copied().unwrap_or(0)
    }
}

baseline_policy!(LeastLoad);

/// The one of two random gates whose report shows less load.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    own: AgentAddress,
    random: StdRng,
}

impl TwoChoices {
    /// Draws from the sequence that `seed` gives.
    #[must_use]
    pub fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl Picker for TwoChoices {
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize {
        let first = self.random.random_range(0..gates.len());
        if gates.len() == 1 {
            return first;
        }
        let step = self.random.random_range(1..gates.len());
        let second = (first + step) % gates.len();
        if load_of(&gates[second].1) < load_of(&gates[first].1) {
            second
        } else {
            first
        }
    }
}

baseline_policy!(TwoChoices);
