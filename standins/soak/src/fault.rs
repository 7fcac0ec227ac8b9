//! The schedule of faults, drawn from a seed. Faults may overlap.

use std::ops::Range;
use std::str::FromStr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use thiserror::Error;

/// A kind of fault. The names of the variants are the values of the option `--only`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// Kills a balancer, which is started again.
    KillBalancer,
    /// Kills all balancers, which are started again.
    KillBalancers,
    /// Stops a balancer gracefully, which is started again.
    StopBalancer,
    /// Stops half of the balancers gracefully, which are started again.
    RollBalancers,
    /// Pauses a balancer.
    PauseBalancer,
    /// Kills an agent, which is started again beside its running target.
    KillAgent,
    /// Kills all agents, which are started again.
    KillAgents,
    /// Stops an agent gracefully, which is started again.
    StopAgent,
    /// Stops every second agent gracefully, which are started again.
    RollAgents,
    /// Pauses an agent.
    PauseAgent,
    /// Kills all processes and targets, as in a power failure.
    LosePower,
    /// Kills a target and its agent; another target starts there later.
    CrashTarget,
    /// Kills a target, which starts again under a new name beside its running agent.
    RestartTarget,
    /// Makes a target announce that it is leaving, drain and end; another one starts there later.
    ReplaceTarget,
    /// Kills a target and its agent; a target of another service starts at the address later.
    ReuseAddress,
    /// Drops all datagrams from balancers and other agents to a machine, but not those from it.
    CutMachine,
    /// Drops a third of the datagrams to a machine.
    PoorWay,
    /// Makes a balancer's connections to the store hang.
    SilentStore,
    /// Resets a balancer's connections to the store.
    ResetStore,
    /// Drops the store's responses to a balancer.
    OneWayStore,
    /// Delays a balancer's connections to the store.
    PoorStore,
    /// Makes the store refuse all calls.
    StoreRefuses,
    /// Makes the store hang, and expires the entries of running targets.
    StoreLapse,
    /// Makes the store drop its history.
    StoreForgets,
    /// Makes the store's entry of a target unreadable.
    BadEntry,
    /// Publishes a new version of the configuration.
    ChangeConfig,
    /// Moves a route to the other service and back.
    MoveRoute,
    /// Moves all routes to one service and publishes a configuration that no longer names the
    /// other, and moves them back.
    DropService,
    /// Sends SIGHUP to all processes, as after a change of their settings.
    HangUp,
    /// Kills a target, which starts again under the same name beside its running agent.
    RebornTarget,
    /// Kills a target and its agent; the target starts again under the same name.
    RebornWithAgent,
    /// Writes entries to the store that belong to no target, of which one stays.
    ForeignEntries,
    /// Makes the store hang and then come back from a copy some seconds old. What was written since
    /// is written again a moment later.
    RestoreStore,
    /// Several times as many clients of a route send requests.
    Rush,
    /// Moves a route to the smaller service, which another route shares, in a rush on that route.
    RushAndMove,
    /// Exchanges the priorities of the two routes that share a service, and exchanges them back.
    ExchangePriorities,
    /// Makes the work of a target take several times as long.
    SlowTarget,
}

/// Faults that [`SoakPlan::add_load`] draws from, and that need targets of limited capacity.
const LOAD_FAULTS: [SoakFault; 4] = [
    SoakFault::Rush,
    SoakFault::RushAndMove,
    SoakFault::ExchangePriorities,
    SoakFault::SlowTarget,
];

/// Faults that [`SoakPlan::add_extra`] draws from. They are drawn separately, so that the seeds of
/// earlier runs still give the same plans.
const EXTRA_FAULTS: [SoakFault; 3] = [
    SoakFault::RebornTarget,
    SoakFault::RebornWithAgent,
    SoakFault::ForeignEntries,
];

/// Faults that are injected only if `--only` names them, for the same reason.
const EXPLICIT_FAULTS: [SoakFault; 3] = [
    SoakFault::RollAgents,
    SoakFault::RestoreStore,
    SoakFault::DropService,
];

/// Faults that [`SoakPlan::draw`] draws from.
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

/// The name of a fault is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unknown fault {0}")]
pub struct UnknownFault(String);

impl FromStr for SoakFault {
    type Err = UnknownFault;

    fn from_str(name: &str) -> Result<Self, UnknownFault> {
        let faults = SOAK_FAULTS.into_iter().chain(EXTRA_FAULTS);
        faults
            .chain(EXPLICIT_FAULTS)
            .chain(LOAD_FAULTS)
            .find(|fault| format!("{fault:?}") == name)
            .ok_or_else(|| UnknownFault(name.to_owned()))
    }
}

impl SoakFault {
    /// Returns whether the fault has an effect only with `--hard-load`.
    #[must_use]
    pub fn needs_hard_load(self) -> bool {
        LOAD_FAULTS.contains(&self)
    }

    /// Returns whether the fault sends more requests than the targets can serve.
    pub(crate) fn is_rush(self) -> bool {
        matches!(self, Self::Rush | Self::RushAndMove)
    }
}

/// A fault with its time and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time of the injection, from the start of the plan.
    pub at: Duration,
    /// Time from the injection until the fault is healed.
    pub duration: Duration,
    /// Kind of the fault.
    pub fault: SoakFault,
    /// Random number that selects the affected balancer or machine.
    pub selector: u32,
}

impl ScheduledFault {
    /// Returns the index of the route that a rush is on.
    pub(crate) fn route(&self) -> usize {
        self.selector as usize % 3
    }
}

/// The faults of one run, ordered by time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakPlan {
    /// Faults, ordered by [`ScheduledFault::at`].
    pub faults: Vec<ScheduledFault>,
}

impl SoakPlan {
    /// Draws a plan of `duration` from `seed`.
    #[must_use]
    pub fn draw(seed: u64, duration: Duration) -> Self {
        Self::draw_from(&SOAK_FAULTS, seed, duration)
    }

    /// Draws a plan of `duration` that consists of these kinds of faults only.
    #[must_use]
    pub fn draw_from(kinds: &[SoakFault], seed: u64, duration: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        while at < duration {
            let fault = kinds.choose(&mut rng).copied();
            faults.extend(fault.map(|fault| ScheduledFault {
                at,
                duration: Duration::from_millis(rng.random_range(300..3_000)),
                fault,
                selector: rng.random(),
            }));
            // 30 % of the gaps are under 200 ms, so that faults coincide.
            let gap = if rng.random_bool(0.3) {
                0..200
            } else {
                500..3_000
            };
            at += Duration::from_millis(rng.random_range(gap));
        }
        Self { faults }
    }

    /// Adds faults of the kinds that [`Self::draw`] leaves out, one every 1 to 4 s.
    pub fn add_extra(&mut self, seed: u64, duration: Duration) {
        self.add_from(&EXTRA_FAULTS, !seed, duration, 300..3_000);
    }

    /// Adds faults that concern load, one every 1 to 4 s, each for 1 to 4 s.
    pub fn add_load(&mut self, seed: u64, duration: Duration) {
        // Differs from the seeds of the other draws, so that the plans are independent.
        let load_seed = seed.rotate_left(32) ^ 0x6c6f_6164;
        self.add_from(&LOAD_FAULTS, load_seed, duration, 1_000..4_000);
    }

    /// Draws faults of these kinds from `seed`, which last for a number of milliseconds in `range`,
    /// and adds them.
    fn add_from(&mut self, kinds: &[SoakFault], seed: u64, duration: Duration, range: Range<u64>) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut at = Duration::from_millis(rng.random_range(0..1_000));
        while at < duration {
            let fault = kinds.choose(&mut rng).copied();
            self.faults.extend(fault.map(|fault| ScheduledFault {
                at,
                duration: Duration::from_millis(rng.random_range(range.clone())),
                fault,
                selector: rng.random(),
            }));
            at += Duration::from_millis(rng.random_range(1_000..4_000));
        }
        self.faults.sort_by_key(|fault| fault.at);
    }
}
