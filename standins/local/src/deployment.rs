//! The deployments of the two users, at their sizes.

use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

/// Mean time that a request holds a slot, in milliseconds.
pub(crate) const MEAN_WORK_MS: f64 = 60.0;

/// Share of all slots that callers keep in use if no rate is given.
const DEFAULT_UTILIZATION: f64 = 0.35;

/// Name of a deployment on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeploymentName {
    Indus,
    Desai,
}

/// The error for an unknown name of a deployment.
#[derive(Debug, Error)]
#[error("unknown deployment {0:?}; known deployments: indus, desai")]
pub(crate) struct UnknownDeployment(String);

impl FromStr for DeploymentName {
    type Err = UnknownDeployment;

    fn from_str(text: &str) -> Result<Self, UnknownDeployment> {
        match text {
            "indus" => Ok(Self::Indus),
            "desai" => Ok(Self::Desai),
            _ => Err(UnknownDeployment(text.to_owned())),
        }
    }
}

/// One service of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentService {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    /// One address per entry, which belongs to an agency or to none.
    pub(crate) agencies: &'static [Option<&'static str>],
    pub(crate) depends: Option<&'static str>,
    pub(crate) status: bool,
    pub(crate) download: Option<&'static str>,
    pub(crate) filing: Option<&'static str>,
    pub(crate) feed: bool,
}

/// The sizes, delays and services of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) zones: &'static [&'static str],
    pub(crate) balancers: usize,
    pub(crate) slots: u16,
    pub(crate) zone_delay: Duration,
    pub(crate) client_delay: Duration,
    pub(crate) services: [DeploymentService; 2],
}

const INDUS: Deployment = Deployment {
    name: "indus",
    zones: &["lahore-a", "lahore-b", "lahore-c", "lahore-d"],
    balancers: 4,
    slots: 3,
    zone_delay: Duration::from_micros(1_500),
    client_delay: Duration::from_micros(1_000),
    services: [
        DeploymentService {
            name: "claims",
            targets: 7,
            agencies: &[Some("ludhiana"), Some("amritsar"), Some("jalandhar")],
            depends: Some("certificates"),
            status: true,
            download: None,
            filing: Some("/claims"),
            feed: true,
        },
        DeploymentService {
            name: "certificates",
            targets: 4,
            agencies: &[Some("ludhiana"), Some("amritsar")],
            depends: None,
            status: false,
            download: Some("/certificates"),
            filing: None,
            feed: false,
        },
    ],
};

const DESAI: Deployment = Deployment {
    name: "desai",
    zones: &["ahmedabad-1", "ahmedabad-2", "ahmedabad-3"],
    balancers: 3,
    slots: 7,
    zone_delay: Duration::from_micros(1_500),
    client_delay: Duration::from_micros(3_000),
    services: [
        DeploymentService {
            name: "reports",
            targets: 7,
            agencies: &[None, None],
            depends: Some("maps"),
            status: true,
            download: None,
            filing: Some("/reports"),
            feed: true,
        },
        DeploymentService {
            name: "maps",
            targets: 3,
            agencies: &[None],
            depends: None,
            status: false,
            download: Some("/maps"),
            filing: None,
            feed: false,
        },
    ],
};

impl Deployment {
    pub(crate) fn new(name: DeploymentName) -> Self {
        match name {
            DeploymentName::Indus => INDUS,
            DeploymentName::Desai => DESAI,
        }
    }

    /// Returns the requests per second that keep [`DEFAULT_UTILIZATION`] of all slots in use.
    pub(crate) fn default_rate(&self) -> f64 {
        let targets: usize = self.services.iter().map(|service| service.targets).sum();
        let slots = targets as f64 * f64::from(self.slots);
        slots * DEFAULT_UTILIZATION * 1_000.0 / MEAN_WORK_MS
    }

    /// Returns the zone of the instance with this number. Zones are assigned round-robin.
    pub(crate) fn zone(&self, number: usize) -> &'static str {
        self.zones[number % self.zones.len()]
    }
}
