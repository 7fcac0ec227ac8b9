//! Rounds of gossip heads, and what a received head leads to.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Serialize;
use smallvec::SmallVec;

use super::FleetMember;
use super::pulling::PullState;
use super::status::LagEntry;
use crate::action::MemberAction;
use crate::budget::{PACKET_OVERHEAD_BYTES, SendUrgency};
use crate::list::{InstanceDuty, ListedInstance};
use crate::message::{GossipHead, MemberEvent, MemberMessage};

/// Time between two regular rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds while there is something new.
const EAGER_INTERVAL: Duration = Duration::from_millis(100);

/// Processes that a regular round reaches.
const REGULAR_FANOUT: usize = 1;

/// Processes that a round with something new reaches.
const EAGER_FANOUT: usize = 3;

/// Eager rounds after a change of configuration. One round to three processes misses e^-3 or
/// 5 % of them; those hear of it from the regular heads within a second or two.
const EAGER_ROUNDS: u8 = 1;

/// In fleets up to this size, agents too hear of other services' departures at once; beyond,
/// events go to balancers, who alone place by them.
const EVERYBODY_LIMIT: usize = 64;

/// Lagging peers that are remembered.
const MAX_LAGGING: usize = 64;

/// What a frame adds to a message.
pub(super) const FRAME_BYTES: usize = 19 + PACKET_OVERHEAD_BYTES;

/// The state of spreading.
#[derive(Clone, Debug)]
pub(super) struct SpreadState {
    next_round: Moment,
    eager_left: u8,
    pub(super) pull: Option<PullState>,
    pub(super) last_list_pull: Option<Moment>,
    pub(super) last_conflict: Option<Moment>,
    /// The next pull asks for whole tables: a delta did not fit.
    pub(super) whole: bool,
    /// Ask for departures with the next pulls.
    pub(super) want_departures: bool,
    /// Peers that were given by the settings or by the adapter, for a process without a list.
    pub(super) seeds: SmallVec<[AgentAddress; 4]>,
    balancers: Vec<AgentAddress>,
}

impl SpreadState {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            next_round: now,
            eager_left: 0,
            pull: None,
            last_list_pull: None,
            last_conflict: None,
            whole: false,
            want_departures: true,
            seeds: SmallVec::new(),
            balancers: Vec::new(),
        }
    }

    pub(super) fn set_balancers(&mut self, rows: &[ListedInstance]) {
        let balancers = rows.iter().filter(|row| row.duty == InstanceDuty::Balancer);
        self.balancers = balancers.map(|row| row.control).collect();
    }
}

impl FleetMember {
    /// Adds peers to ask while there is no list.
    pub fn add_seeds(&mut self, seeds: &[AgentAddress]) {
        for &seed in seeds {
            if seed != self.settings.own && !self.spread.seeds.contains(&seed) {
                self.spread.seeds.push(seed);
            }
        }
    }

    /// Takes a datagram's message.
    pub fn accept_message(&mut self, message: MemberMessage, now: Moment) {
        match message {
            MemberMessage::Head(head) => self.accept_head(head, now),
            MemberMessage::Heartbeat(heartbeat) => self.accept_heartbeat(heartbeat, now),
            MemberMessage::Probe(sender) => self.accept_probe(sender, now),
            MemberMessage::Alive(sender) => self.accept_alive(sender, now),
            MemberMessage::Ask(request) => self.accept_ask(&request, now),
            MemberMessage::Answer { sender, parts } => {
                self.accept_small_answer(sender, parts, now);
            }
        }
    }

    pub(super) fn advance_spread(&mut self, now: Moment) {
        if let Some(pull) = self.spread.pull
            && now.since(pull.since) >= pull.limit()
        {
            if pull.asked {
                self.pull_by_stream(pull.from, SendUrgency::Change, now);
            } else {
                self.pull_failed(pull.from, now);
            }
        }
        if now < self.spread.next_round {
            return;
        }
        let eager = self.spread.eager_left > 0 || !self.rumors.is_empty();
        self.spread.eager_left = self.spread.eager_left.saturating_sub(1);
        self.send_round(eager, now);
        let more = self.spread.eager_left > 0 || !self.rumors.is_empty();
        // A random share keeps the rounds of processes that started together apart.
        let spread = self.rng.random_range(0.8..1.2);
        let interval = if more { EAGER_INTERVAL } else { ROUND_INTERVAL };
        self.spread.next_round = now + interval.mul_f64(spread);
    }

    /// Makes the next rounds follow at once: there is something new to pass on.
    pub(super) fn spread_soon(&mut self, now: Moment) {
        self.spread.eager_left = EAGER_ROUNDS;
        self.spread.next_round = self.spread.next_round.min(now + EAGER_INTERVAL / 10);
    }

    /// Makes the next round follow at once for an event.
    pub(super) fn round_soon(&mut self, now: Moment) {
        self.spread.next_round = self.spread.next_round.min(now + EAGER_INTERVAL / 10);
    }

    fn send_round(&mut self, eager: bool, now: Moment) {
        // Events wait while the budget is spent: a burst of accusations must not cost more than
        // a node may send, nor delay the next configuration.
        let events = if self.budget.is_exhausted(now) {
            SmallVec::new()
        } else {
            self.rumors.next_round()
        };
        let fanout = if eager { EAGER_FANOUT } else { REGULAR_FANOUT };
        let urgency = if eager {
            SendUrgency::Change
        } else {
            SendUrgency::Regular
        };
        let to_balancers = !events.is_empty() && self.list.rows().len() > EVERYBODY_LIMIT;
        let head = self.head(events, now);
        let mut peers = self.pick_peers(fanout, to_balancers);
        if to_balancers {
            peers.extend(self.pick_neighbours());
        }
        for to in peers {
            let message = MemberMessage::Head(head.clone());
            self.send(to, message, urgency, now);
        }
    }

    pub(super) fn send(
        &mut self,
        to: AgentAddress,
        message: MemberMessage,
        urgency: SendUrgency,
        now: Moment,
    ) {
        let length = encoded_length(&message) + FRAME_BYTES;
        if self.budget.try_spend(length, urgency, now) {
            self.actions.push(MemberAction::Send { to, message });
        }
    }

    pub(super) fn head(&self, events: SmallVec<[MemberEvent; 2]>, now: Moment) -> GossipHead {
        GossipHead {
            sender: self.settings.own,
            config: self.config.head(),
            list: self.list.head(),
            platform_age: self.reading.platform_age(now),
            events,
        }
    }

    /// Different random processes, from the list or the seeds.
    fn pick_peers(&mut self, count: usize, balancers: bool) -> SmallVec<[AgentAddress; 4]> {
        let mut picked: SmallVec<[AgentAddress; 4]> = SmallVec::new();
        for _ in 0..4 * count {
            let peer = self.pick_peer(balancers);
            if let Some(peer) = peer
                && peer != self.settings.own
                && !picked.contains(&peer)
            {
                picked.push(peer);
            }
            if picked.len() == count {
                break;
            }
        }
        picked
    }

    /// Two neighbours: a service's own agents hear of its events along the ring, since they
    /// hand flows and requests to each other.
    fn pick_neighbours(&mut self) -> SmallVec<[AgentAddress; 2]> {
        let neighbours = self.neighbours.neighbours();
        let picked = neighbours.choose_multiple(&mut self.rng, 2);
        SmallVec::from_vec(picked)
    }

    fn pick_peer(&mut self, balancers: bool) -> Option<AgentAddress> {
        let rows = self.list.rows();
        if balancers && !self.spread.balancers.is_empty() {
            let at = self.rng.random_range(0..self.spread.balancers.len());
            return Some(self.spread.balancers[at]);
        }
        if rows.is_empty() {
            let seeds = &self.spread.seeds;
            return (!seeds.is_empty()).then(|| seeds[self.rng.random_range(0..seeds.len())]);
        }
        Some(rows[self.rng.random_range(0..rows.len())].control)
    }

    fn accept_head(&mut self, head: GossipHead, now: Moment) {
        if head.sender == self.settings.own {
            return;
        }
        self.note_platform_age(&head, now);
        for &event in &head.events {
            self.accept_event(event, now);
        }
        if self.config.check_head(head.config).is_err() {
            self.note_conflict(head.config.revision, now);
        }
        self.note_lag(&head, now);
        let newer_config = head.config.revision > self.config.head().revision;
        let newer_list = head.list.revision > self.list.head().revision;
        let list_due = self
            .spread
            .last_list_pull
            .is_none_or(|last| now.since(last) >= self.list_pull_interval());
        if newer_config || (newer_list && list_due) || !self.ready {
            self.pull(head.sender, SendUrgency::Change, now);
        } else if head.config.revision < self.config.head().revision {
            // The other side lacks something: one head back lets it pull.
            let message = MemberMessage::Head(self.head(SmallVec::new(), now));
            self.send(head.sender, message, SendUrgency::Regular, now);
        }
    }

    /// A random process of another zone, if the list knows one.
    pub(super) fn pick_far_peer(&mut self, not: &[AgentAddress]) -> Option<AgentAddress> {
        let mut near = None;
        for _ in 0..16 {
            let peer = self.pick_peer(false)?;
            if peer == self.settings.own || not.contains(&peer) {
                continue;
            }
            let zone = self.list.at(peer).next().map(|row| row.zone);
            if zone != Some(self.zone) {
                return Some(peer);
            }
            near = Some(peer);
        }
        near
    }

    fn note_lag(&mut self, head: &GossipHead, now: Moment) {
        let held = self.config.head().revision;
        if head.config.revision >= held {
            self.lagging.remove(&head.sender);
            return;
        }
        let full = self.lagging.len() >= MAX_LAGGING;
        if let Some(entry) = self.lagging.get_mut(&head.sender) {
            entry.revision = head.config.revision;
        } else if !full {
            let entry = LagEntry {
                revision: head.config.revision,
                since: now,
            };
            self.lagging.insert(head.sender, entry);
        }
    }
}

pub(super) fn encoded_length<M: Serialize>(message: &M) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}
