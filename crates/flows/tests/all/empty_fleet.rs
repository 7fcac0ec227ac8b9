//! A fleet that holds no flows, for searches of lost flows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_flows::{
    BalancerStep, DelegatedSearch, DueSearch, FlowBalancer, FlowEvent, FlowReset, FlowView,
    LossReason, PeerFrame, SearchFrames, SearchResult,
};

use smallvec::SmallVec;

use crate::support::{agent, at, claims, data, flow, flow_update, idle_load};

/// Agents whose targets hold no flows, in front of a balancer. Time advances in steps of one
/// millisecond. Agents that are not silent answer at once.
pub(crate) struct EmptyFleet<'a> {
    balancer: &'a FlowBalancer,
    view: &'a FlowView,
    silent: BTreeSet<AgentAddress>,
    /// How often each agent was shown a packet.
    pub(crate) shown: BTreeMap<AgentAddress, usize>,
    pub(crate) millis: u64,
    /// Agents with other services than `claims`. They deny all other flows.
    services: BTreeMap<AgentAddress, ServiceId>,
    /// The service that the last query of each agent named.
    named: BTreeMap<AgentAddress, ServiceId>,
}

impl<'a> EmptyFleet<'a> {
    pub(crate) fn new(
        balancer: &'a FlowBalancer,
        view: &'a FlowView,
        silent: impl IntoIterator<Item = AgentAddress>,
    ) -> Self {
        Self {
            balancer,
            view,
            silent: silent.into_iter().collect(),
            shown: BTreeMap::new(),
            millis: 0,
            services: BTreeMap::new(),
            named: BTreeMap::new(),
        }
    }

    /// Sets the service of an agent.
    pub(crate) fn with_service(mut self, agent: AgentAddress, service: ServiceId) -> Self {
        self.services.insert(agent, service);
        self
    }

    /// Returns the service that the last query of an agent named.
    pub(crate) fn last_service(&self, agent: AgentAddress) -> Option<ServiceId> {
        self.named.get(&agent).copied()
    }

    fn service_of(&self, agent: AgentAddress) -> ServiceId {
        self.services.get(&agent).copied().unwrap_or(claims())
    }

    /// Returns how often the agent was shown a packet.
    pub(crate) fn query_count(&self, agent: AgentAddress) -> usize {
        self.shown.get(&agent).copied().unwrap_or_default()
    }

    fn answer(&mut self, port: u16, frames: &SearchFrames) -> Option<FlowReset> {
        let now = at(self.millis);
        let mut reset = None;
        for (to, frame) in frames {
            *self.shown.entry(*to).or_default() += 1;
            if let PeerFrame::Packet(frame) = frame {
                self.named.insert(*to, frame.service);
            }
            if self.silent.contains(to) {
                continue;
            }
            if let PeerFrame::Errand(search) = frame {
                self.named.insert(*to, search.service);
                let result = self.search_result(port, *to, search);
                reset = reset.or(self.balancer.handle_search_result(&result, now));
            }
            let mut update = flow_update(flow(port), *to, FlowEvent::Absent);
            update.load.service = self.service_of(*to);
            reset = reset.or(self.balancer.handle_flow_update(&update, now).reset);
        }
        reset
    }

    /// Returns the result of a delegated search. Agents that are queried in the name of another
    /// service count as silent.
    fn search_result(
        &mut self,
        port: u16,
        delegate: AgentAddress,
        search: &DelegatedSearch,
    ) -> SearchResult {
        let mut result = SearchResult {
            flow: flow(port),
            delegate,
            silent: SmallVec::new(),
        };
        for group in &search.others {
            for instance in &group.instances {
                let other = AgentAddress(SocketAddrV4::new(*instance, delegate.0.port()));
                *self.shown.entry(other).or_default() += 1;
                self.named.insert(other, group.service);
                if self.silent.contains(&other) || self.service_of(other) != group.service {
                    result.silent.push(other);
                }
            }
        }
        result
    }

    /// Advances the time by one millisecond for the flow from `port`.
    pub(crate) fn step(&mut self, port: u16) -> Option<FlowReset> {
        self.millis += 1;
        let now = at(self.millis);
        // Agents that were recently sent packets report four times per second.
        if self.millis.is_multiple_of(250) {
            let mut others = [agent(1), agent(2), agent(3)].into_iter();
            let other = others.find(|other| !self.silent.contains(other));
            self.balancer
                .record_load(&idle_load(other.expect("two at most are silent")), now);
        }
        for probed in self.balancer.due_probes(now) {
            if !self.silent.contains(&probed) {
                self.balancer.record_load(&idle_load(probed), now);
            }
        }
        let mut reset = None;
        for due in self.balancer.due_searches(self.view, now) {
            reset = reset.or(match due {
                DueSearch::Query { frames, .. } => self.answer(port, &frames),
                DueSearch::Lost(lost) => Some(lost),
                DueSearch::Abandoned { holders, .. } => {
                    panic!("search abandoned with {holders} holders")
                }
            });
        }
        reset
    }

    /// Searches for the flow from `port`, which no target holds. Returns after how many
    /// milliseconds it is reported lost, and why.
    pub(crate) fn search(&mut self, port: u16, span_ms: u64) -> Option<(u64, LossReason)> {
        let began = self.millis;
        let now = at(began);
        let step = self
            .balancer
            .handle_packet(&data(flow(port)), b"data", self.view, now);
        let BalancerStep::Search(frames) = step else {
            panic!("not searched: {step:?}");
        };
        let mut reset = self.answer(port, &frames);
        while reset.is_none() && self.millis < began + span_ms {
            reset = self.step(port);
        }
        reset.map(|reset| (self.millis - began, reset.reason))
    }
}

/// The agents that a delegated search names; they listen at the delegate's own port.
pub(crate) fn delegated_agents(
    delegate: AgentAddress,
    search: &DelegatedSearch,
) -> Vec<AgentAddress> {
    let instances = search.others.iter().flat_map(|group| &group.instances);
    let port = delegate.0.port();
    instances
        .map(|instance| AgentAddress(SocketAddrV4::new(*instance, port)))
        .collect()
}
