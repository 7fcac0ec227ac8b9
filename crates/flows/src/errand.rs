//! Searches that an agent makes for balancers.
//!
//! The agent shows the packet to everybody on the balancer's list and counts who says no. The one
//! that holds the flow tells the balancer itself. When all have said no, or after
//! [`ERRAND_SPAN`], the balancer gets one word about all of them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use crate::frame::{ErrandWord, FramePurpose, PacketFrame, SearchErrand};
use crate::packet::FlowKey;

/// How long others may take to answer. Ten times a calm exchange between availability zones, and
/// short enough that the balancer can ask the silent ones itself within 150 ms of its first ask.
pub(crate) const ERRAND_SPAN: Duration = Duration::from_millis(60);

/// Errands under way at most, 100 bytes and 8 for each asked agent; the balancer asks itself what
/// is beyond.
const MAX_ERRANDS: usize = 1_024;

/// Agents that one errand names at most: 256 bytes beside a packet of 1,236 at the most. What a frame
/// names beyond is not asked: one datagram must not make an agent send without a bound.
pub(crate) const ERRAND_AGENTS: usize = 64;

#[derive(Clone, Debug)]
struct Errand {
    balancer: AgentAddress,
    started: Moment,
    open: SmallVec<[AgentAddress; 16]>,
}

/// The errands under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct ErrandBook {
    errands: HashMap<FlowKey, Errand>,
    /// Invariant: in the order of their starts, since all take the same time.
    order: VecDeque<(Moment, FlowKey)>,
}

impl ErrandBook {
    /// Begins an errand of the agent at `own`; whom to show the packet to.
    pub(crate) fn begin(
        &mut self,
        errand: &SearchErrand,
        flow: FlowKey,
        own: AgentAddress,
        now: Moment,
    ) -> Vec<(AgentAddress, PacketFrame)> {
        if self.order.len() >= MAX_ERRANDS {
            return Vec::new();
        }
        let mut frames = Vec::new();
        for group in &errand.others {
            for &instance in &group.instances {
                let agent = AgentAddress(SocketAddrV4::new(instance, own.0.port()));
                let frame = PacketFrame::new(FramePurpose::Search, group.service, errand.balancer);
                frames.push((agent, frame.with_asker(own)));
            }
        }
        frames.truncate(ERRAND_AGENTS);
        let begun = Errand {
            balancer: errand.balancer,
            started: now,
            open: frames.iter().map(|(agent, _)| *agent).collect(),
        };
        self.errands.insert(flow, begun);
        self.order.push_back((now, flow));
        frames
    }

    /// Notes that an agent does not hold a flow; the errand's end when it was the last one.
    pub(crate) fn note_absent(
        &mut self,
        flow: &FlowKey,
        agent: AgentAddress,
        own: AgentAddress,
    ) -> Option<(AgentAddress, ErrandWord)> {
        let errand = self.errands.get_mut(flow)?;
        errand.open.retain(|open| *open != agent);
        if !errand.open.is_empty() {
            return None;
        }
        self.end(flow, own)
    }

    /// The errands whose time is over.
    pub(crate) fn due(
        &mut self,
        own: AgentAddress,
        now: Moment,
    ) -> Vec<(AgentAddress, ErrandWord)> {
        let mut ended = Vec::new();
        while let Some((_, flow)) = self
            .order
            .pop_front_if(|(started, _)| is_over(*started, now))
        {
            let over = self.errands.get(&flow);
            if over.is_some_and(|errand| is_over(errand.started, now)) {
                ended.extend(self.end(&flow, own));
            }
        }
        ended
    }

    /// When the first one's time is over; one that ended meanwhile counts until then.
    pub(crate) fn next_due(&self) -> Option<Moment> {
        self.order
            .front()
            .map(|(started, _)| *started + ERRAND_SPAN)
    }

    fn end(&mut self, flow: &FlowKey, own: AgentAddress) -> Option<(AgentAddress, ErrandWord)> {
        let errand = self.errands.remove(flow)?;
        let word = ErrandWord {
            flow: *flow,
            delegate: own,
            silent: errand.open.into_iter().collect(),
        };
        Some((errand.balancer, word))
    }
}

fn is_over(started: Moment, now: Moment) -> bool {
    now.since(started) >= ERRAND_SPAN
}
