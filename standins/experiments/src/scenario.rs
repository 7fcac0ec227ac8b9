//! What one run is made of.

use std::time::Duration;

use serde::Serialize;

use crate::law::{ArrivalLaw, SizeLaw};

/// Mean time that a request holds a slot, in seconds.
pub(crate) const MEAN_SIZE: f64 = 0.1;

/// The hottest agent receives this many times the flows of each other one.
const HOT_HOLDER: f64 = 1.5;

/// A service's targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) slots: u16,
    pub(crate) zones: usize,
}

/// The users' services, and one that needs subsets.
pub(crate) const DEPLOYMENTS: [Deployment; 5] = [
    deployment("indus-claims", 7, 3, 4),
    deployment("indus-certificates", 4, 3, 4),
    deployment("desai-reports", 7, 7, 3),
    deployment("desai-maps", 3, 7, 3),
    deployment("large", 64, 3, 4),
];

const fn deployment(name: &'static str, targets: usize, slots: u16, zones: usize) -> Deployment {
    Deployment {
        name,
        targets,
        slots,
        zones,
    }
}

impl Deployment {
    /// Requests a second at which all slots are in use.
    pub(crate) fn capacity(&self) -> f64 {
        let slots = u32::try_from(self.targets).unwrap_or(u32::MAX) * u32::from(self.slots);
        f64::from(slots) / MEAN_SIZE
    }
}

/// An agency's part of the arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct AgencyLoad {
    pub(crate) name: &'static str,
    /// Its rate as a share of capacity.
    pub(crate) load: f64,
    /// What its rate is multiplied by from the start of the rush on.
    pub(crate) rush: f64,
}

/// What is wrong with target 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum TargetFault {
    None,
    /// Its reports always show it idle.
    Lying,
    /// It starts cold again and again and then needs the setup time.
    Cold,
    /// It takes ten times as long.
    Slow,
    /// It leaves at half time.
    Leaving,
    /// All targets refuse everything from the start of the measurement on.
    Outage,
    /// All targets refuse everything until half time, when the measurement starts.
    Recovery,
}

/// How the gates tell agencies apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Fairness {
    /// A queue for each agency.
    PerAgency,
    /// One queue for all, first come first served.
    OneQueue,
}

/// Everything that decides a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Scenario {
    pub(crate) deployment: Deployment,
    /// Arrivals as a share of capacity.
    pub(crate) load: f64,
    /// What the load is multiplied by in the second half of the run.
    pub(crate) ramp: f64,
    pub(crate) lag: Duration,
    pub(crate) sizes: SizeLaw,
    pub(crate) arrivals: ArrivalLaw,
    pub(crate) fault: TargetFault,
    /// How long a cold target needs.
    pub(crate) setup: Duration,
    pub(crate) deadline: Duration,
    /// Empty: one class without an agency.
    pub(crate) agencies: Vec<AgencyLoad>,
    pub(crate) fairness: Fairness,
    /// Whether answers bring the gate's report.
    pub(crate) answer_reports: bool,
    /// Requests to draw, warm-up included.
    pub(crate) requests: usize,
    pub(crate) hot_holder: f64,
    pub(crate) seed: u64,
}

impl Scenario {
    pub(crate) fn new(deployment: Deployment, load: f64, lag: Duration) -> Self {
        Self {
            deployment,
            load,
            ramp: 1.0,
            lag,
            sizes: SizeLaw::Lognormal,
            arrivals: ArrivalLaw::Poisson,
            fault: TargetFault::None,
            setup: Duration::ZERO,
            deadline: Duration::from_secs(10),
            agencies: Vec::new(),
            fairness: Fairness::PerAgency,
            answer_reports: true,
            requests: 60_000,
            hot_holder: HOT_HOLDER,
            seed: 1,
        }
    }

    pub(crate) fn with_requests(mut self, requests: usize) -> Self {
        self.requests = requests;
        self
    }

    pub(crate) fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    pub(crate) fn with_fault(mut self, fault: TargetFault, setup: Duration) -> Self {
        self.fault = fault;
        self.setup = setup;
        self
    }

    pub(crate) fn with_laws(mut self, sizes: SizeLaw, arrivals: ArrivalLaw) -> Self {
        self.sizes = sizes;
        self.arrivals = arrivals;
        self
    }

    pub(crate) fn with_deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    pub(crate) fn with_agencies(mut self, agencies: Vec<AgencyLoad>, fairness: Fairness) -> Self {
        self.agencies = agencies;
        self.fairness = fairness;
        self
    }

    /// Arrivals a second before ramp and rush.
    pub(crate) fn rate(&self) -> f64 {
        self.load * self.deployment.capacity() / self.sizes.mean_factor()
    }

    /// Seconds that the run lasts at its mean rate.
    pub(crate) fn length(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let requests = self.requests as f64;
        requests / (self.rate() * (1.0 + self.ramp) / 2.0)
    }
}
