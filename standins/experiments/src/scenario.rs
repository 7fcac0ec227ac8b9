//! The parameters of one run.

use std::time::Duration;

use serde::Serialize;

use crate::distribution::{ArrivalPattern, SizeDistribution};

/// Mean time that a request holds a slot, in seconds.
pub(crate) const MEAN_SIZE: f64 = 0.1;

/// Flows that the busiest agent receives, as a multiple of those of each other agent.
const HOT_HOLDER: f64 = 1.5;

/// The size of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) slots: u16,
    pub(crate) zones: usize,
}

/// The users' services, and one large enough that agents use subsets of their peers.
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
    /// Returns the requests per second at which all slots are in use.
    pub(crate) fn capacity(&self) -> f64 {
        let slots = u32::try_from(self.targets).unwrap_or(u32::MAX) * u32::from(self.slots);
        f64::from(slots) / MEAN_SIZE
    }
}

/// The request rate of an agency.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct AgencyLoad {
    pub(crate) name: &'static str,
    /// Request rate as a share of capacity.
    pub(crate) load: f64,
    /// Factor on the rate from the start of the measurement.
    pub(crate) rush: f64,
}

/// The fault of target 0, or of all targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum TargetFault {
    None,
    /// Its reports always show an idle gate.
    Lying,
    /// It starts cold repeatedly and needs the warm-up time after each cold start.
    Cold,
    /// Its requests take ten times as long.
    Slow,
    /// It starts to leave halfway through the run.
    Leaving,
    /// All targets refuse all requests from the start of the measurement.
    Outage,
    /// All targets refuse all requests until halfway through the run, when the measurement starts.
    Recovery,
}

/// How the gates queue the requests of agencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Fairness {
    /// One queue per agency.
    PerAgency,
    /// One FIFO queue for all agencies.
    OneQueue,
}

/// All parameters of a run, including the seed.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Scenario {
    pub(crate) deployment: Deployment,
    /// Arrivals as a share of capacity.
    pub(crate) load: f64,
    /// Factor on the load in the second half of the run.
    pub(crate) ramp: f64,
    /// Interval between load reports plus their time in transmission.
    pub(crate) lag: Duration,
    pub(crate) sizes: SizeDistribution,
    pub(crate) arrivals: ArrivalPattern,
    pub(crate) fault: TargetFault,
    /// Warm-up time of a cold target.
    #[serde(rename = "setup")]
    pub(crate) warmup: Duration,
    pub(crate) deadline: Duration,
    /// If empty, all requests are of one class without an agency.
    pub(crate) agencies: Vec<AgencyLoad>,
    pub(crate) fairness: Fairness,
    /// Whether responses carry the gate's report.
    pub(crate) answer_reports: bool,
    /// Mean number of arrivals, including those before the measurement.
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
            sizes: SizeDistribution::Lognormal,
            arrivals: ArrivalPattern::Poisson,
            fault: TargetFault::None,
            warmup: Duration::ZERO,
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

    pub(crate) fn with_fault(mut self, fault: TargetFault, warmup: Duration) -> Self {
        self.fault = fault;
        self.warmup = warmup;
        self
    }

    pub(crate) fn with_load_shape(
        mut self,
        sizes: SizeDistribution,
        arrivals: ArrivalPattern,
    ) -> Self {
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

    /// Returns the arrivals per second before ramp and rush.
    pub(crate) fn rate(&self) -> f64 {
        self.load * self.deployment.capacity() / self.sizes.mean_factor()
    }

    /// Returns the length of the run in seconds.
    pub(crate) fn length(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let requests = self.requests as f64;
        requests / (self.rate() * (1.0 + self.ramp) / 2.0)
    }
}
