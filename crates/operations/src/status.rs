//! The status that a process reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Instant;

use lovagelatch_domain::{ConfigRevision, GateReport, Incarnation, ListRevision};
use lovagelatch_membership::{FleetStatus, FleetView, TargetStanding};
use serde::{Deserialize, Serialize};

/// The lifecycle phase of a process, which determines how it treats new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessPhase {
    /// It does not accept new work yet.
    Starting,
    /// It accepts new work.
    Serving,
    /// It finishes open work and accepts none.
    Leaving,
}

impl ProcessPhase {
    /// Returns the name of the phase as in JSON.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
        }
    }
}

/// The identity of a process and its phase. Clones share the phase, which any thread can change.
#[derive(Clone, Debug)]
pub struct ProcessIdentity {
    binary: &'static str,
    name: String,
    zone: String,
    incarnation: Incarnation,
    started: Instant,
    /// Invariant: the discriminant of a `ProcessPhase`.
    phase: Arc<AtomicU8>,
}

impl ProcessIdentity {
    /// Creates the identity of a process in phase `Starting`.
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

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> ProcessPhase {
        match self.phase.load(Ordering::Relaxed) {
            number if number == ProcessPhase::Starting as u8 => ProcessPhase::Starting,
            number if number == ProcessPhase::Serving as u8 => ProcessPhase::Serving,
            _ => ProcessPhase::Leaving,
        }
    }

    /// Changes the phase.
    pub fn set_phase(&self, phase: ProcessPhase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Returns the status of the process, including its knowledge of the fleet.
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
            services: service_statuses(view),
            counters,
            gate,
            fleet,
        }
    }
}

/// The state of one service in a view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The name of the service.
    pub name: String,
    /// Number of its addresses.
    pub addresses: usize,
    /// Number of its listed targets that accept new work.
    pub live: usize,
    /// Number of its targets that peers cannot reach.
    pub suspected: usize,
    /// Number of its targets that are leaving.
    pub leaving: usize,
}

/// The status of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The name of its binary.
    pub binary: String,
    /// The name from its settings.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The package version of its build.
    pub version: String,
    /// Its lifecycle phase.
    pub phase: ProcessPhase,
    /// Identifies this start of the process.
    pub incarnation: Incarnation,
    /// Milliseconds since its start.
    pub uptime_ms: u64,
    /// Revision of the configuration in force in this process.
    pub config_revision: ConfigRevision,
    /// Revision of its instance list.
    pub list_revision: ListRevision,
    /// The services in the order of the service text.
    pub services: Vec<ServiceStatus>,
    /// Its counters by name.
    pub counters: BTreeMap<String, u64>,
    /// The state of its gate; `None` for a balancer.
    pub gate: Option<GateReport>,
    /// Its knowledge of the fleet's membership.
    pub fleet: FleetStatus,
}

fn service_statuses(view: &FleetView) -> Vec<ServiceStatus> {
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
