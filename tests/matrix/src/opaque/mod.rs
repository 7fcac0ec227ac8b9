//! Flows of opaque packets: whatever process restarts, joins, leaves or has a stale view, the
//! packets of an open flow reach the target that holds it, and lost flows are reset.
//!
//! ```text
//! client --packet--> router --hash--> balancer --frame--> agent --> target
//!    ^                                                      |         |
//!    +------------------------------------------------------+---------+
//! ```
//!
//! Balancers and agents run the production decision logic of `crates/flows`; clients, targets,
//! routers and the network are fakes. The production builder makes the views from a fake store,
//! delayed and different for each balancer if a fault requires it.

mod client;
mod fault;
mod history;
mod network;
mod process;
mod target;
mod world;

pub use history::{OpaqueEvent, OpaqueHistory, SearchCost, TargetStart};
pub use world::OpaqueWorld;

use crate::plan::FaultPlan;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpaqueFault {
    /// A third of the datagrams are lost.
    Drop,
    /// 80% of the datagrams are duplicated.
    Duplicate,
    /// Datagrams are reordered, with delays of up to 60 ms.
    Reorder,
    /// Datagrams are delayed by up to 900 ms, so that copies of a first packet arrive after the
    /// flow has opened.
    Delay,
    /// A balancer is killed and restarts without state.
    BalancerKilled,
    /// Every balancer is killed and restarts without state.
    AllBalancersKilled,
    /// A balancer stops gracefully and restarts.
    BalancerStopped,
    /// A balancer joins, and the routers rehash all flows.
    RouterRehashed,
    /// A balancer is paused and resumes with its state.
    BalancerPaused,
    /// A balancer's view is no longer updated from the store.
    StaleView,
    /// The agent of the flow's target is killed and restarts without state.
    AgentKilled,
    /// The agent of the flow's target stops gracefully and restarts.
    AgentStopped,
    /// The agent of the flow's target is paused and resumes with its state.
    AgentPaused,
    /// Every agent and balancer is killed and restarts without state.
    AllProcessesKilled,
    /// The flow's target and its agent lose power and restart without state.
    MachinePowerLost,
    /// All targets and all processes lose power and restart without state.
    PowerLost,
    /// All agents and balancers are killed and restart without state, and every second target loses
    /// power with its machine.
    HalfPowerLost,
    /// The machine of the flow's target fails permanently.
    MachineRemoved,
    /// The flow's target announces that it leaves, drains and ends.
    TargetLeaving,
    /// The flow's target is lost, and a target of another service starts at its address.
    AddressReused,
    /// A target is added.
    TargetAdded,
    /// The flow's target accepts no more flows.
    TargetFull,
    /// The store fails, and entries of running targets expire.
    EntriesExpired,
    /// One balancer and the flow's agent cannot reach each other.
    LinkCut,
    /// The route is moved to the other service.
    RouteMoved,
    /// The route is removed.
    RouteRemoved,
    /// Every route is moved to the other service, and the configuration no longer names the former
    /// one.
    ServiceDropped,
    /// The flow's target crashes while its agent runs, and restarts under the same name.
    TargetCrashed,
    /// The flow's target and its agent crash and restart together, the target under the same name.
    MachineCrashed,
    /// The entry of the flow's target is temporarily unreadable.
    EntryUnreadable,
    /// Entries of another writer appear and remain: an unreadable one, and one of a service that no
    /// configuration names, at an address where no process listens.
    ForeignEntries,
    /// The operator evacuates the zone of the flow's target and later restores it.
    ZoneEvacuated,
    /// The zones of the flow's target and of a balancer cannot reach each other; a third zone
    /// reaches both.
    ZonePairPartitioned,
}

/// All faults of opaque flows.
pub const OPAQUE_FAULTS: [OpaqueFault; 33] = [
    OpaqueFault::Drop,
    OpaqueFault::Duplicate,
    OpaqueFault::Reorder,
    OpaqueFault::Delay,
    OpaqueFault::BalancerKilled,
    OpaqueFault::AllBalancersKilled,
    OpaqueFault::BalancerStopped,
    OpaqueFault::RouterRehashed,
    OpaqueFault::BalancerPaused,
    OpaqueFault::StaleView,
    OpaqueFault::AgentKilled,
    OpaqueFault::AgentStopped,
    OpaqueFault::AgentPaused,
    OpaqueFault::AllProcessesKilled,
    OpaqueFault::MachinePowerLost,
    OpaqueFault::PowerLost,
    OpaqueFault::HalfPowerLost,
    OpaqueFault::MachineRemoved,
    OpaqueFault::TargetLeaving,
    OpaqueFault::AddressReused,
    OpaqueFault::TargetAdded,
    OpaqueFault::TargetFull,
    OpaqueFault::EntriesExpired,
    OpaqueFault::LinkCut,
    OpaqueFault::RouteMoved,
    OpaqueFault::RouteRemoved,
    OpaqueFault::TargetCrashed,
    OpaqueFault::MachineCrashed,
    OpaqueFault::EntryUnreadable,
    OpaqueFault::ForeignEntries,
    OpaqueFault::ZoneEvacuated,
    OpaqueFault::ZonePairPartitioned,
    OpaqueFault::ServiceDropped,
];

/// The steps of the first client's first flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpaqueStep {
    /// The first packet of the flow.
    Opening,
    /// The target's reply to the first packet.
    OpeningReply,
    /// The first request on the flow.
    Request,
    /// The response to a request.
    Response,
    /// A later request.
    LaterRequest,
    /// The client's long pause between two requests.
    LongPause,
}

/// All steps of a flow, in order.
pub const OPAQUE_STEPS: [OpaqueStep; 6] = [
    OpaqueStep::Opening,
    OpaqueStep::OpeningReply,
    OpaqueStep::Request,
    OpaqueStep::Response,
    OpaqueStep::LaterRequest,
    OpaqueStep::LongPause,
];

/// The mechanisms that uphold the guarantees; each can be disabled.
#[derive(Clone, Copy, Debug)]
pub struct OpaqueMechanisms {
    /// A balancer that does not know a flow queries all agents that may hold it instead of placing
    /// it again.
    pub search: bool,
    /// A restarted agent delivers packets of unknown flows to its target.
    pub trial_delivery: bool,
    /// Agents refuse frames for another service.
    pub service_check: bool,
    /// An agent whose target does not match the acknowledgement number of a packet forwards it.
    pub acknowledgement_check: bool,
    /// Leaving targets get no new flows.
    pub leaving: bool,
    /// Flows that no target holds are reset.
    pub resets: bool,
    /// An entry that vanishes around a store failure is no proof that its target is gone.
    pub store_doubt: bool,
    /// Balancers learn which zones are evacuated.
    pub evacuation: bool,
}

impl Default for OpaqueMechanisms {
    fn default() -> Self {
        Self {
            search: true,
            trial_delivery: true,
            service_check: true,
            acknowledgement_check: true,
            leaving: true,
            resets: true,
            store_doubt: true,
            evacuation: true,
        }
    }
}

/// Number of targets of each service, and of clients.
#[derive(Clone, Copy, Debug)]
pub struct OpaqueFleet {
    /// Targets of `claims`, the service of the first two routes.
    pub claims: u16,
    /// Targets of `vault`, the service of the third route.
    pub vault: u16,
    /// Clients, which use the three routes in turn.
    pub clients: u8,
}

impl Default for OpaqueFleet {
    fn default() -> Self {
        Self {
            claims: 4,
            vault: 2,
            clients: 3,
        }
    }
}

/// Runs several flows with the faults of a plan.
#[must_use]
pub fn run_opaque(
    plan: &FaultPlan<OpaqueFault, OpaqueStep>,
    mechanisms: OpaqueMechanisms,
) -> OpaqueHistory {
    run_opaque_fleet(plan, mechanisms, OpaqueFleet::default())
}

/// Runs several flows with the faults of a plan in a fleet of the given size.
#[must_use]
pub fn run_opaque_fleet(
    plan: &FaultPlan<OpaqueFault, OpaqueStep>,
    mechanisms: OpaqueMechanisms,
    fleet: OpaqueFleet,
) -> OpaqueHistory {
    OpaqueWorld::new(plan.clone(), mechanisms, fleet).run()
}

/// Runs flows of routes with a latency objective with the faults of a plan. `clients` more clients
/// than usual keep the targets so busy that requests wait at their agents.
#[must_use]
pub fn run_opaque_busy(plan: &FaultPlan<OpaqueFault, OpaqueStep>, clients: u8) -> OpaqueHistory {
    let (mechanisms, fleet) = (OpaqueMechanisms::default(), OpaqueFleet::default());
    let world = OpaqueWorld::new(plan.clone(), mechanisms, fleet);
    world.with_objectives(clients).run()
}
