//! What callers are to do.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// One address of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AddressPlan {
    /// Where callers send.
    pub address: SocketAddrV4,
    /// The agency whose callers use it.
    pub agency: Option<String>,
    /// Its share of the service's arrivals, relative to the other addresses.
    pub weight: f64,
}

/// What callers do with one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Its name.
    pub name: String,
    /// The name in its certificate.
    pub server_name: String,
    /// The certificate file of the authority that signed it, PEM.
    pub ca: PathBuf,
    /// Its addresses. Invariant: at least one.
    pub addresses: Vec<AddressPlan>,
    /// Its share of all arrivals.
    pub share: f64,
    /// Whether statuses are read.
    pub status: bool,
    /// Whether some statuses need the service's dependency.
    pub depends: bool,
    /// The path under which downloads are, if there are any.
    pub download: Option<String>,
    /// The path that filings go to, if there are any.
    pub filing: Option<String>,
    /// Whether feeds are held.
    pub feed: bool,
}

/// What callers do in a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerPlan {
    /// Where the randomness of arrivals starts.
    pub seed: u64,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// Requests wanted a second.
    pub rate: f64,
    /// Feeds held open over the whole run.
    pub feeds: u32,
    /// Mean time that a request holds a slot, in milliseconds.
    pub mean_work_ms: f64,
    /// How long a caller waits for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// Where the history goes.
    pub history: PathBuf,
}
