//! Hellos: how agents learn of balancers that send them no packets.
//!
//! A stopping agent notifies the balancers that it knows, which relay it to the others. Frames alone
//! do not keep it informed: an agent that has just started beside idle flows was sent none, and the
//! balancers that sent some may have been replaced since.

use std::time::Duration;

use lovagelatch_catalog::AgentStop;
use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::FlowBalancer;
use crate::ring::ServiceTargets;
use crate::view::FlowView;

/// Time between two rounds of hellos.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// Number of targets whose agents get a hello in a round, and limit on agents that get one because
/// they announced a stop. Four hellos of about 40 bytes a second are 160 B/s. With ten targets for
/// each balancer, an agent gets one every 2.5 s.
const HELLOS_PER_ROUND: usize = 2;

/// Spreads the positions at which balancers with neighbouring addresses start.
const POSITION_MULTIPLIER: u32 = 0x9e37_79b9;

/// Agents that get a hello.
pub type HelloRecipients = SmallVec<[AgentAddress; 2 * HELLOS_PER_ROUND]>;

/// Which agents get the next hellos.
#[derive(Debug)]
pub(super) struct HelloSchedule {
    next_round: Moment,
    /// Index of the next target, in the order of the view.
    position: usize,
    /// Index of the next agent that announced a stop, in the order of their addresses.
    stop_position: usize,
}

impl HelloSchedule {
    /// Creates the schedule of the balancer at `own_address`.
    pub(super) fn new(own_address: AgentAddress) -> Self {
        let address = u32::from(*own_address.0.ip());
        Self {
            next_round: Moment::ZERO,
            position: address.wrapping_mul(POSITION_MULTIPLIER) as usize,
            stop_position: 0,
        }
    }

    fn next_targets(&mut self, view: &FlowView) -> HelloRecipients {
        let (_, count) = view.counts();
        self.position %= count.max(1);
        let targets = view.rings().flat_map(ServiceTargets::targets);
        let next = targets.skip(self.position).take(HELLOS_PER_ROUND);
        let next: HelloRecipients = next.map(|target| target.agent).collect();
        let is_last = next.len() < HELLOS_PER_ROUND;
        self.position = if is_last {
            0
        } else {
            self.position + next.len()
        };
        next
    }

    fn next_stopped(&mut self, mut stops: Vec<AgentStop>) -> HelloRecipients {
        stops.sort_unstable_by_key(|stop| stop.agent);
        let count = stops.len().min(HELLOS_PER_ROUND);
        self.stop_position %= stops.len().max(1);
        let next = stops.iter().cycle().skip(self.stop_position).take(count);
        self.stop_position += count;
        next.map(|stop| stop.agent).collect()
    }
}

impl FlowBalancer {
    /// Returns the agents that get a hello now: some of the view's targets in turn, and agents that
    /// announced a stop to this balancer, since their successors know no balancer.
    #[must_use]
    pub fn due_hellos(&self, view: &FlowView, now: Moment) -> HelloRecipients {
        let mut schedule = self.hellos.lock();
        if now < schedule.next_round {
            return HelloRecipients::new();
        }
        schedule.next_round = now + HELLO_INTERVAL;
        let stops = self.loads.lock().direct_stops(now);
        let mut recipients = schedule.next_stopped(stops);
        recipients.extend(schedule.next_targets(view));
        recipients
    }
}
