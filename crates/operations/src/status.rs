//! The state of one process, as it reports it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use lovagelatch_domain::{ConfigRevision, GateReport, Incarnation, ListRevision};
use lovagelatch_membership::{FleetStatus, FleetView, TargetStanding};
use serde::{Deserialize, Serialize};

/// What a process is doing with new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessPhase {
    /// It does not take any yet.
    Starting,
    /// It takes it.
    Serving,
    /// It finishes what it has.
    Leaving,
}

impl ProcessPhase {
    /// The word for it, as in JSON.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
        }
    }
}

/// Who a process is; its phase can be changed from any thread.
#[derive(Clone, Debug)]
pub struct ProcessIdentity {
    binary: &'static str,
    name: String,
    zone: String,
    incarnation: Incarnation,
    started: Instant,
    /// Invariant: a `ProcessPhase` as its number.
    phase: Arc<AtomicU8>,
}

impl ProcessIdentity {
    /// A process that is starting now.
    #[must_use]
    pub fn new(binary: &'static str, name: &str, zone: &str, incarnation: Incarnation) -> Self {
        Self {
            binary,
            name: name.to_owned(),
            zone: zone.to_owned(),
            incarnation,
            started: Instant::now(),
            phase: Arc::new(AtomicU8::new(ProcessPhase::Starting as u8)),
        }
    }

    /// Its phase.
    #[must_use]
    pub fn phase(&self) -> ProcessPhase {
        match self.phase.load(Ordering::Relaxed) {
            number if number == ProcessPhase::Starting as u8 => ProcessPhase::Starting,
            number if number == ProcessPhase::Serving as u8 => ProcessPhase::Serving,
            _ => ProcessPhase::Leaving,
        }
    }

    /// Enters a phase.
    pub fn set_phase(&self, phase: ProcessPhase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Its status with what it knows of the fleet.
    #[must_use]
    pub fn status(
        &self,
        view: &FleetView,
        counters: BTreeMap<String, u64>,
        gate: Option<GateReport>,
        fleet: FleetStatus,
    ) -> ProcessStatus {
        let uptime = self.started.elapsed().as_millis();
        ProcessStatus {
            binary: self.binary.to_owned(),
            name: self.name.clone(),
            zone: self.zone.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            phase: self.phase(),
            incarnation: self.incarnation,
            uptime_ms: u64::try_from(uptime).unwrap_or(u64::MAX),
            config_revision: view.revision(),
            list_revision: view.list_revision(),
            services: service_lines(view),
            counters,
            gate,
            fleet,
        }
    }
}

/// What a view holds of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: String,
    /// Its addresses.
    pub addresses: usize,
    /// Its listed targets that take new work.
    pub live: usize,
    /// Its targets that peers lost touch with.
    pub suspected: usize,
    /// Its targets that are leaving.
    pub leaving: usize,
}

/// The status of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Its binary.
    pub binary: String,
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The version of its build.
    pub version: String,
    /// What it does with new work.
    pub phase: ProcessPhase,
    /// This start of it.
    pub incarnation: Incarnation,
    /// Milliseconds since its start.
    pub uptime_ms: u64,
    /// The configuration in force here.
    pub config_revision: ConfigRevision,
    /// The instance list it holds.
    pub list_revision: ListRevision,
    /// The services, in the order of the text.
    pub services: Vec<ServiceStatus>,
    /// Its counters by name.
    pub counters: BTreeMap<String, u64>,
    /// The state of its gate, when it is an agent.
    pub gate: Option<GateReport>,
    /// What it knows of the fleet's membership.
    pub fleet: FleetStatus,
}

fn service_lines(view: &FleetView) -> Vec<ServiceStatus> {
    let count = |service, standing| {
        let targets = view.targets(service).iter();
        targets.filter(|target| target.standing == standing).count()
    };
    let services = view.text().services.iter();
    services
        .map(|entry| {
            let id = entry.name.id();
            ServiceStatus {
                name: entry.name.to_string(),
                addresses: entry.addresses.len(),
                live: count(id, TargetStanding::Live),
                suspected: count(id, TargetStanding::Suspected),
                leaving: count(id, TargetStanding::Leaving),
            }
        })
        .collect()
}
