//! Which faults strike when: drawn from the seed, in series and overlapping.

use std::str::FromStr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use thiserror::Error;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// A balancer is killed and starts again.
    KillBalancer,
    /// All of them are.
    KillBalancers,
    /// A balancer is stopped in order and starts again.
    StopBalancer,
    /// Balancers are stopped in order, one after the other.
    RollBalancers,
    /// A balancer stands still.
    PauseBalancer,
    /// An agent is killed and starts again beside its living target.
    KillAgent,
    /// All agents are.
    KillAgents,
    /// An agent is stopped in order and starts again.
    StopAgent,
    /// Every second agent is stopped in order.
    RollAgents,
    /// An agent stands still.
    PauseAgent,
    /// Every process and every target ends, as when power is lost.
    LosePower,
    /// A target and its agent end without a word; another target starts there later.
    CrashTarget,
    /// A target crashes and starts again beside its living agent.
    RestartTarget,
    /// A target leaves in order; another one starts there later.
    ReplaceTarget,
    /// One of another service starts at a dead target's address.
    ReuseAddress,
    /// A machine is cut off from balancers, one way.
    CutMachine,
    /// The way to a machine loses a third of the datagrams.
    PoorWay,
    /// A balancer's connections to the store go silent.
    SilentStore,
    /// They are reset.
    ResetStore,
    /// Its answers do not come back.
    OneWayStore,
    /// They are slow.
    PoorStore,
    /// The store turns everybody away.
    StoreRefuses,
    /// The store goes silent, and entries of living targets expire.
    StoreLapse,
    /// The store drops its history.
    StoreForgets,
    /// An entry in the store becomes unreadable.
    BadEntry,
    /// The configuration changes.
    ChangeConfig,
    /// A route goes to the other service and back.
    MoveRoute,
    /// Processes are told that their settings changed.
    HangUp,
    /// A target crashes and starts again under its name, beside its living agent.
    RebornTarget,
    /// The same, and its agent is killed.
    RebornWithAgent,
    /// Entries of another writer come; one of them stays.
    ForeignEntries,
}

/// Faults that came later. They are drawn by themselves, so that the plans of earlier seeds stay what
/// they were.
const FURTHER_FAULTS: [SoakFault; 3] = [
    SoakFault::RebornTarget,
    SoakFault::RebornWithAgent,
    SoakFault::ForeignEntries,
];

/// Faults that strike only where they are named, for the same reason.
const NAMED_FAULTS: [SoakFault; 1] = [SoakFault::RollAgents];

/// Those that [`SoakPlan::draw`] draws from.
pub const SOAK_FAULTS: [SoakFault; 27] = [
    SoakFault::KillBalancer,
    SoakFault::KillBalancers,
    SoakFault::StopBalancer,
    SoakFault::RollBalancers,
    SoakFault::PauseBalancer,
    SoakFault::KillAgent,
    SoakFault::KillAgents,
    SoakFault::StopAgent,
    SoakFault::PauseAgent,
    SoakFault::LosePower,
    SoakFault::CrashTarget,
    SoakFault::RestartTarget,
    SoakFault::ReplaceTarget,
    SoakFault::ReuseAddress,
    SoakFault::CutMachine,
    SoakFault::PoorWay,
    SoakFault::SilentStore,
    SoakFault::ResetStore,
    SoakFault::OneWayStore,
    SoakFault::PoorStore,
    SoakFault::StoreRefuses,
    SoakFault::StoreLapse,
    SoakFault::StoreForgets,
    SoakFault::BadEntry,
    SoakFault::ChangeConfig,
    SoakFault::MoveRoute,
    SoakFault::HangUp,
];

/// No fault has this name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no fault is named {0}")]
pub struct UnknownFault(String);

impl FromStr for SoakFault {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        let faults = SOAK_FAULTS.into_iter().chain(FURTHER_FAULTS);
        faults
            .chain(NAMED_FAULTS)
            .find(|fault| format!("{fault:?}") == name)
            .ok_or_else(|| UnknownFault(name.to_owned()))
    }
}

/// One strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoakStrike {
    /// When, from the start of the faults.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
    /// What.
    pub fault: SoakFault,
    /// Draws whom it strikes.
    pub draw: u32,
}

/// The strikes of one run, in order of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// See the type.
    pub strikes: Vec<SoakStrike>,
}

impl SoakPlan {
    /// A plan for `span` drawn from `seed`.
    #[must_use]
    pub fn draw(seed: u64, span: Duration) -> Self {
        Self::draw_of(&SOAK_FAULTS, seed, span)
    }

    /// A plan of these faults alone.
    #[must_use]
    pub fn draw_of(faults: &[SoakFault], seed: u64, span: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut strikes = Vec::new();
        let mut at = Duration::ZERO;
        while at < span {
            let fault = faults.choose(&mut rng).copied();
            strikes.extend(fault.map(|fault| SoakStrike {
                at,
                lasts: Duration::from_millis(rng.random_range(300..3_000)),
                fault,
                draw: rng.random(),
            }));
            // Often at once, sometimes seconds apart.
            let gap = if rng.random_bool(0.3) {
                0..200
            } else {
                500..3_000
            };
            at += Duration::from_millis(rng.random_range(gap));
        }
        Self { strikes }
    }

    /// Adds strikes of the faults that came later, one each one to four seconds.
    pub fn add_further(&mut self, seed: u64, span: Duration) {
        let mut rng = SmallRng::seed_from_u64(!seed);
        let mut at = Duration::from_millis(rng.random_range(0..1_000));
        while at < span {
            let fault = FURTHER_FAULTS.choose(&mut rng).copied();
            self.strikes.extend(fault.map(|fault| SoakStrike {
                at,
                lasts: Duration::from_millis(rng.random_range(300..3_000)),
                fault,
                draw: rng.random(),
            }));
            at += Duration::from_millis(rng.random_range(1_000..4_000));
        }
        self.strikes.sort_by_key(|strike| strike.at);
    }
}
