//! What the binaries hold around the decisions: a balancer, and a machine with agent and target.

use std::time::Duration;

use lovagelatch_catalog::Catalog;
use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use lovagelatch_flows::{
    AgentSettings, FlowAgent, FlowBalancer, FlowView, FlowViewBuilder, ViewSettings, WarmupSettings,
};

use super::network::Datagram;
use super::target::Target;

/// The longest that a flow lives, pressed together.
pub(crate) const FLOW_LIFETIME: Duration = Duration::from_secs(30);

pub(crate) const AGENT_PORT: u16 = 7_720;

/// A balancer with its view.
pub(crate) struct Balancer {
    pub(crate) own: AgentAddress,
    pub(crate) decisions: FlowBalancer,
    pub(crate) builder: FlowViewBuilder,
    pub(crate) view: FlowView,
    pub(crate) running: bool,
    /// Whether routers send packets here.
    pub(crate) ready: bool,
    pub(crate) paused: bool,
    /// Its view does not follow the store.
    pub(crate) stale: bool,
    /// The agent that it does not reach.
    pub(crate) cut_from: Option<AgentAddress>,
    /// Its zone.
    pub(crate) zone: &'static str,
    /// What arrived while it was paused, or before it knew a configuration.
    pub(crate) held: Vec<Datagram>,
}

impl Balancer {
    pub(crate) fn new(own: AgentAddress, zone: &'static str) -> Self {
        let settings = ViewSettings {
            regions: Vec::new(),
            zone: zone.parse().expect("a zone"),
            agent_port: AGENT_PORT,
            flow_lifetime: FLOW_LIFETIME,
        };
        Self {
            own,
            decisions: FlowBalancer::new(own),
            builder: FlowViewBuilder::new(settings),
            view: FlowView::default(),
            running: true,
            ready: true,
            paused: false,
            stale: false,
            cut_from: None,
            zone,
            held: Vec::new(),
        }
    }

    pub(crate) fn take_catalog(&mut self, catalog: Catalog, now: Moment) {
        self.builder.apply(&catalog, now);
        self.view = self.builder.build(now);
    }
}

/// A machine with a target and the agent beside it.
pub(crate) struct Machine {
    pub(crate) agent: AgentAddress,
    /// Its zone.
    pub(crate) zone: &'static str,
    pub(crate) decisions: FlowAgent,
    pub(crate) target: Target,
    /// Whether the agent runs.
    pub(crate) running: bool,
    pub(crate) paused: bool,
    pub(crate) held: Vec<Datagram>,
    /// Whether the store lists the target.
    pub(crate) listed: bool,
    /// The number in its name there: that of its first start under it.
    pub(crate) name: u32,
    /// Whether its next start has the same name.
    pub(crate) reborn: bool,
    /// Whether its entry can be read.
    pub(crate) readable: bool,
    /// Until when something was wrong with the machine or the way to it.
    pub(crate) disturbed: Moment,
}

impl Machine {
    pub(crate) fn new(agent: AgentAddress, zone: &'static str, target: Target) -> Self {
        let decisions = new_agent(agent, target.service, true, Moment::ZERO);
        let name = target.start;
        Self {
            agent,
            zone,
            decisions,
            target,
            running: true,
            paused: false,
            held: Vec::new(),
            listed: true,
            name,
            reborn: false,
            readable: true,
            disturbed: Moment::ZERO,
        }
    }

    /// The agent starts without memory; `sees_all` says whether its target starts with it.
    pub(crate) fn restart_agent(&mut self, sees_all: bool, now: Moment) {
        self.decisions = new_agent(self.agent, self.target.service, sees_all, now);
        self.running = true;
        self.paused = false;
        self.held.clear();
    }
}

fn new_agent(own: AgentAddress, service: ServiceId, sees_all: bool, now: Moment) -> FlowAgent {
    let settings = AgentSettings {
        own_address: own,
        service,
        started_with_target: sees_all,
        flow_lifetime: FLOW_LIFETIME,
        warmup: WarmupSettings {
            overshoot: 1.5,
            slack: 5.0,
        },
    };
    FlowAgent::new(settings, now)
}
