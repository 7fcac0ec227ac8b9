//! The balancers that an agent knows: those that receive its load reports, and those that it
//! notifies when it stops.
//!
//! A flow may be idle for much longer than its balancer has a use for load reports. If the balancer
//! were not notified of a planned restart, it would take the agent's silence for a failure and reset
//! the flow, so it stays known for the lifetime of a flow. Balancers that send no packets make
//! themselves known by hellos.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

/// How long after its last frame a balancer receives load reports.
const SUBSCRIBER_TTL: Duration = Duration::from_secs(5);

/// Maximum number of balancers that receive a load report in one round, least recently notified
/// first. This bounds what an agent sends: 8 reports of 40 bytes four times a second. An agent that
/// is stopping notifies all balancers in each round: a balancer that did not know took its silence
/// for a failure, and reset open flows that the target still held. In a fleet of 59 balancers, two
/// rounds of eight, which is all that a stop leaves time for, reached a third of them.
const SUBSCRIBERS_PER_ROUND: usize = 8;

/// Maximum number of balancers that receive load reports.
const MAX_SUBSCRIBERS: usize = 256;

/// Maximum number of other balancers that are notified of a stop. Balancers relay it, so a few that
/// still run suffice.
const MAX_CONTACTS: usize = 64;

/// A balancer that receives load reports because it sent frames recently.
#[derive(Clone, Copy, Debug)]
struct ReportSubscriber {
    last_heard: Moment,
    last_notified: Moment,
}

/// The balancers that an agent knows.
#[derive(Clone, Debug)]
pub(super) struct BalancerTable {
    /// Invariant: at most [`MAX_SUBSCRIBERS`].
    subscribers: HashMap<AgentAddress, ReportSubscriber>,
    /// Balancers that receive no reports, with the time when they were last heard. Invariants: at most
    /// [`MAX_CONTACTS`], none of them a subscriber after [`expire`](Self::expire).
    contacts: HashMap<AgentAddress, Moment>,
    flow_lifetime: Duration,
}

impl BalancerTable {
    /// Creates an empty table. A balancer stays known for `flow_lifetime` after it was last heard.
    pub(super) fn new(flow_lifetime: Duration) -> Self {
        Self {
            subscribers: HashMap::new(),
            contacts: HashMap::new(),
            flow_lifetime,
        }
    }

    /// Records a frame of a balancer, which receives load reports from now on.
    pub(super) fn record_frame(&mut self, balancer: AgentAddress, now: Moment) {
        if self.subscribers.len() >= MAX_SUBSCRIBERS && !self.subscribers.contains_key(&balancer) {
            return;
        }
        let new = ReportSubscriber {
            last_heard: now,
            last_notified: Moment::ZERO,
        };
        let subscriber = self.subscribers.entry(balancer);
        subscriber.or_insert(new).last_heard = now;
    }

    /// Records a hello of a balancer, which is notified when the agent stops.
    pub(super) fn record_hello(&mut self, balancer: AgentAddress, now: Moment) {
        if !self.subscribers.contains_key(&balancer) {
            add_contact(&mut self.contacts, balancer, now);
        }
    }

    /// Returns the balancers that receive a load report in this round.
    pub(super) fn next_report_round(&mut self, now: Moment) -> Vec<AgentAddress> {
        self.expire(now);
        let mut round: Vec<_> = self.subscribers.iter_mut().collect();
        round.sort_by_key(|(balancer, subscriber)| (subscriber.last_notified, **balancer));
        round.truncate(SUBSCRIBERS_PER_ROUND);
        let notified = round.into_iter().map(|(balancer, subscriber)| {
            subscriber.last_notified = now;
            *balancer
        });
        notified.collect()
    }

    /// Returns the balancers to notify that the agent is stopping, sorted.
    pub(super) fn stop_recipients(&mut self, now: Moment) -> Vec<AgentAddress> {
        self.expire(now);
        let known = self.subscribers.keys().chain(self.contacts.keys());
        let mut recipients: Vec<_> = known.copied().collect();
        recipients.sort_unstable();
        recipients
    }

    fn expire(&mut self, now: Moment) {
        let contacts = &mut self.contacts;
        self.subscribers.retain(|balancer, subscriber| {
            let is_recent = now.since(subscriber.last_heard) < SUBSCRIBER_TTL;
            if is_recent {
                contacts.remove(balancer);
            } else {
                add_contact(contacts, *balancer, subscriber.last_heard);
            }
            is_recent
        });
        contacts.retain(|_, last_heard| now.since(*last_heard) < self.flow_lifetime);
    }
}

/// Adds a contact. If there are too many, the one that was silent for longest is dropped.
fn add_contact(
    contacts: &mut HashMap<AgentAddress, Moment>,
    balancer: AgentAddress,
    last_heard: Moment,
) {
    contacts.insert(balancer, last_heard);
    if contacts.len() > MAX_CONTACTS {
        let oldest = contacts
            .iter()
            .min_by_key(|(balancer, at)| (**at, **balancer));
        if let Some(oldest) = oldest.map(|(balancer, _)| *balancer) {
            contacts.remove(&oldest);
        }
    }
}
