//! State shared by all tasks of the agent.

use std::sync::Arc;

use arc_swap::ArcSwap;
use http::Method;
use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_fleet::FleetClient;
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::DatagramPath;
use lovagelatch_placement::AgencyBudgets;
use lovagelatch_settings::AgentSettings;
use lovagelatch_telemetry::Logger;
use parking_lot::Mutex;

use crate::backend::BackendLink;
use crate::clock::ProcessClock;
use crate::drain::DrainState;
use crate::gate::SharedGate;
use crate::metrics::AgentMetrics;
use crate::once::OnceLedger;
use crate::packet::EndpointSet;
use crate::path::normalize_path;
use crate::placement::SharedPlacement;
use crate::relay::RelayPool;

/// The state of one agent process.
pub(crate) struct Agent {
    pub(crate) settings: AgentSettings,
    pub(crate) service: ServiceId,
    pub(crate) keys: Arc<ArcSwap<FleetKeys>>,
    pub(crate) clock: ProcessClock,
    pub(crate) log: Logger,
    pub(crate) metrics: AgentMetrics,
    pub(crate) fleet: FleetClient,
    pub(crate) datagrams: DatagramPath,
    pub(crate) endpoints: EndpointSet,
    pub(crate) gate: SharedGate,
    pub(crate) placement: Arc<SharedPlacement>,
    pub(crate) budgets: Mutex<AgencyBudgets>,
    pub(crate) backend: Arc<BackendLink>,
    pub(crate) relays: Arc<RelayPool>,
    pub(crate) once: OnceLedger,
    pub(crate) drain: DrainState,
}

impl Agent {
    /// The control address: where this agent receives frames and streams of other processes.
    pub(crate) fn address(&self) -> AgentAddress {
        self.settings.common.control
    }

    /// Whether the configuration marks this route as once-only: its requests run at most once.
    pub(crate) fn is_once_only(&self, method: &Method, path: &str) -> bool {
        let view = self.fleet.view();
        let entry = view.text().service(self.settings.service.as_str());
        entry.is_some_and(|entry| entry.is_once_only(method.as_str(), &normalize_path(path)))
    }

    /// Whether the service has any once-only routes.
    pub(crate) fn has_once_routes(&self) -> bool {
        let view = self.fleet.view();
        let entry = view.text().service(self.settings.service.as_str());
        entry.is_some_and(|entry| !entry.once.is_empty())
    }
}
