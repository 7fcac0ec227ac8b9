//! Simulated processes around the production decision logic: a balancer, and a machine with an
//! agent and its target.

use std::time::Duration;

use lovagelatch_catalog::Catalog;
use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use lovagelatch_flows::{
    AgentSettings, FlowAgent, FlowBalancer, FlowView, FlowViewBuilder, ViewSettings, WarmupSettings,
};

use super::network::{Datagram, Packet};
use super::target::Target;

/// Longest lifetime of a flow, shortened for the simulation.
pub(crate) const FLOW_LIFETIME: Duration = Duration::from_secs(30);

pub(crate) const AGENT_PORT: u16 = 7_720;

/// A balancer with its state and its view.
pub(crate) struct Balancer {
    pub(crate) own_address: AgentAddress,
    pub(crate) logic: FlowBalancer,
    pub(crate) builder: FlowViewBuilder,
    pub(crate) view: FlowView,
    pub(crate) running: bool,
    /// Whether routers send packets here.
    pub(crate) ready: bool,
    pub(crate) paused: bool,
    /// Whether its view is not updated from the store.
    pub(crate) stale: bool,
    /// The agent that it cannot reach.
    pub(crate) unreachable_agent: Option<AgentAddress>,
    pub(crate) zone: &'static str,
    /// Datagrams that arrived while it was paused, or before it knew a configuration.
    pub(crate) queued: Vec<Datagram>,
}

impl Balancer {
    pub(crate) fn new(own_address: AgentAddress, zone: &'static str) -> Self {
        let settings = ViewSettings {
            regions: Vec::new(),
            zone: zone.parse().expect("a zone"),
            agent_port: AGENT_PORT,
            flow_lifetime: FLOW_LIFETIME,
        };
        Self {
            own_address,
            logic: FlowBalancer::new(own_address),
            builder: FlowViewBuilder::new(settings),
            view: FlowView::default(),
            running: true,
            ready: true,
            paused: false,
            stale: false,
            unreachable_agent: None,
            zone,
            queued: Vec::new(),
        }
    }

    pub(crate) fn apply_catalog(&mut self, catalog: Catalog, now: Moment) {
        self.builder.apply(&catalog, now);
        self.view = self.builder.build(now);
    }
}

/// A machine with a target and its agent.
pub(crate) struct Machine {
    pub(crate) agent: AgentAddress,
    pub(crate) zone: &'static str,
    pub(crate) logic: FlowAgent,
    pub(crate) target: Target,
    /// Whether the agent runs.
    pub(crate) running: bool,
    pub(crate) paused: bool,
    /// Datagrams that arrived while the agent was paused.
    pub(crate) queued: Vec<Datagram>,
    /// Packets that the agent holds, in the order of their arrival.
    pub(crate) held: Vec<Packet>,
    /// Whether the store lists the target.
    pub(crate) listed: bool,
    /// Number in the name of its entry: that of the first start with this name.
    pub(crate) name_number: u32,
    /// Whether its next start keeps the name.
    pub(crate) keeps_name: bool,
    /// Whether its entry is readable.
    pub(crate) readable: bool,
    /// When the machine or the path to it was last disturbed.
    pub(crate) disturbed_at: Moment,
}

impl Machine {
    pub(crate) fn new(agent: AgentAddress, zone: &'static str, target: Target) -> Self {
        let logic = new_agent(agent, target.service, true, Moment::ZERO);
        let name_number = target.start;
        Self {
            agent,
            zone,
            logic,
            target,
            running: true,
            paused: false,
            queued: Vec::new(),
            held: Vec::new(),
            listed: true,
            name_number,
            keeps_name: false,
            readable: true,
            disturbed_at: Moment::ZERO,
        }
    }

    /// Restarts the agent without state; `started_with_target` says whether its target starts with
    /// it.
    pub(crate) fn restart_agent(&mut self, started_with_target: bool, now: Moment) {
        self.logic = new_agent(self.agent, self.target.service, started_with_target, now);
        self.running = true;
        self.paused = false;
        self.queued.clear();
        self.held.clear();
    }
}

fn new_agent(
    own: AgentAddress,
    service: ServiceId,
    started_with_target: bool,
    now: Moment,
) -> FlowAgent {
    let settings = AgentSettings {
        own_address: own,
        service,
        started_with_target,
        flow_lifetime: FLOW_LIFETIME,
        warmup: WarmupSettings {
            overshoot: 1.5,
            slack: 5.0,
        },
    };
    // Requests wait from the third one on where a target has one slot.
    FlowAgent::new(settings, now).with_target_capacity(1, 2)
}
