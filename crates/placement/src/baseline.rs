//! Common load balancing policies, as baselines for the experiments.
//!
//! Each replaces [`crate::PeerPlacement`] at the same point and with the same reports, so that
//! differences in results come from the policy alone.

use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, GateCondition, GateReport, Moment, PeerReport, RefusalReason,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::policy::{ExchangeOutcome, PlacementChoice, PlacementPolicy};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Picks one of several gates by their reports.
trait GatePicker {
    /// Returns an index into `gates`, which is not empty.
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize;
}

/// Runs a picker over the gates that are neither leaving nor already tried.
fn choose_with(
    picker: &mut impl GatePicker,
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
            retry_after: RETRY_AFTER,
        };
    }
    let picked = gates[picker.pick(&gates)].0;
    if picked == own_address {
        PlacementChoice::Own
    } else {
        PlacementChoice::Peer(picked)
    }
}

/// Returns the reported requests per slot.
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

            fn record_sent(&mut self, _peer: AgentAddress, _now: Moment) {}

            fn record_ended(&mut self, _peer: AgentAddress, _now: Moment) {}

            fn record_outcome(
                &mut self,
                _peer: AgentAddress,
                _outcome: ExchangeOutcome,
                _now: Moment,
            ) {
            }
        }
    };
}

/// Picks the gates in turn.
#[derive(Clone, Debug)]
pub struct RoundRobin {
    own: AgentAddress,
    next: usize,
}

impl RoundRobin {
    /// Creates a policy that starts at an offset derived from `seed`.
    #[must_use]
    pub const fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            next: (seed % 1_024) as usize,
        }
    }
}

impl GatePicker for RoundRobin {
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % gates.len()
    }
}

baseline_policy!(RoundRobin);

/// Picks a gate at random.
#[derive(Clone, Debug)]
pub struct RandomChoice {
    own: AgentAddress,
    random: StdRng,
}

impl RandomChoice {
    /// Creates a policy with a random generator seeded by `seed`.
    #[must_use]
    pub fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl GatePicker for RandomChoice {
    fn pick(&mut self, gates: &[(AgentAddress, GateReport)]) -> usize {
        self.random.random_range(0..gates.len())
    }
}

baseline_policy!(RandomChoice);

/// Picks the gate with the least reported load, at random among equals.
#[derive(Clone, Debug)]
pub struct LeastLoad {
    own: AgentAddress,
    random: StdRng,
}

impl LeastLoad {
    /// Creates a policy whose random tie-breaking is seeded by `seed`.
    #[must_use]
    pub fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl GatePicker for LeastLoad {
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

/// Picks two gates at random and takes the one with less reported load.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    own: AgentAddress,
    random: StdRng,
}

impl TwoChoices {
    /// Creates a policy with a random generator seeded by `seed`.
    #[must_use]
    pub fn new(own: AgentAddress, seed: u64) -> Self {
        Self {
            own,
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl GatePicker for TwoChoices {
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
