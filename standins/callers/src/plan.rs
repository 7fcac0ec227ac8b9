//! The plan of a run.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// One address of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressPlan {
    /// The service address that callers send to.
    pub address: SocketAddrV4,
    /// The agency whose callers use the address.
    pub agency: Option<String>,
    /// Share of the service's arrivals, relative to its other addresses.
    pub weight: f64,
}

/// The load on one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Server name that its certificate must have.
    pub server_name: String,
    /// PEM file with the certificate of the authority that signed it.
    pub ca: PathBuf,
    /// Addresses of the service. Invariant: at least one.
    pub addresses: Vec<AddressPlan>,
    /// Share of all arrivals, relative to the other services.
    pub share: f64,
    /// Whether callers send status requests.
    pub status: bool,
    /// Whether some status requests cause a call to the service's dependency.
    pub depends: bool,
    /// Path prefix of downloads; `None` for no downloads.
    pub download: Option<String>,
    /// Path of filings; `None` for no filings.
    pub filing: Option<String>,
    /// Whether callers hold feeds open.
    pub feed: bool,
}

/// The load of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerPlan {
    /// Seed of the random arrivals.
    pub seed: u64,
    /// Duration of arrivals, in seconds.
    pub seconds: f64,
    /// Mean rate of arrivals, in operations per second.
    pub rate: f64,
    /// Number of feeds held open during the whole run.
    pub feeds: u32,
    /// Mean time for which a request holds a slot, in milliseconds.
    pub mean_work_ms: f64,
    /// Deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Services that callers use.
    pub services: Vec<ServicePlan>,
    /// File that the history is written to.
    pub history: PathBuf,
}
