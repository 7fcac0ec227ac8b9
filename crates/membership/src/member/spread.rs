//! Gossip rounds, and the handling of received heads.

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
use crate::budget::{PACKET_OVERHEAD_BYTES, SendPriority};
use crate::list::{InstanceRole, ListedInstance};
use crate::message::{GossipHead, MemberEvent, MemberMessage};

/// Interval of regular rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of rounds while there are changes or events to spread.
const EAGER_INTERVAL: Duration = Duration::from_millis(100);

/// Fan-out of a regular round.
const REGULAR_FANOUT: usize = 1;

/// Fan-out of an eager round.
const EAGER_FANOUT: usize = 3;

/// Eager rounds after a configuration change. One round with a fan-out of three misses e^-3 or 5 %
/// of the processes; these learn of the change from regular heads within a second or two.
const EAGER_ROUNDS: u8 = 1;

/// Up to this fleet size, events are sent to random processes of any role. In larger fleets they go
/// to balancers, the only processes that place flows by them, and to neighbours.
const BROADCAST_MAX_FLEET_SIZE: usize = 64;

/// Upper bound of tracked lagging peers.
const MAX_LAGGING_PEERS: usize = 64;

/// Bytes that framing, UDP and IP add to a message.
pub(super) const FRAME_OVERHEAD_BYTES: usize = 19 + PACKET_OVERHEAD_BYTES;

/// State of gossip rounds and pulls.
#[derive(Clone, Debug)]
pub(super) struct SpreadState {
    next_round: Moment,
    eager_rounds_left: u8,
    pub(super) pull: Option<PullState>,
    pub(super) last_list_pull: Option<Moment>,
    pub(super) last_conflict: Option<Moment>,
    /// Whether the next pull requests full tables, because a delta could not be applied.
    pub(super) pull_full: bool,
    /// Whether pulls request departures and arrivals.
    pub(super) want_departures: bool,
    /// Peers from the settings or from the caller, used while the list is empty.
    pub(super) seeds: SmallVec<[AgentAddress; 4]>,
    balancers: Vec<AgentAddress>,
}

impl SpreadState {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            next_round: now,
            eager_rounds_left: 0,
            pull: None,
            last_list_pull: None,
            last_conflict: None,
            pull_full: false,
            want_departures: true,
            seeds: SmallVec::new(),
            balancers: Vec::new(),
        }
    }

    pub(super) fn set_balancers(&mut self, rows: &[ListedInstance]) {
        let balancers = rows.iter().filter(|row| row.role == InstanceRole::Balancer);
        self.balancers = balancers.map(|row| row.control).collect();
    }
}

impl FleetMember {
    /// Adds peers to contact while the list is empty.
    pub fn add_seeds(&mut self, seeds: &[AgentAddress]) {
        for &seed in seeds {
            if seed != self.settings.control && !self.spread.seeds.contains(&seed) {
                self.spread.seeds.push(seed);
            }
        }
    }

    /// Handles a message received as a datagram.
    pub fn accept_message(&mut self, message: MemberMessage, now: Moment) {
        match message {
            MemberMessage::Head(head) => self.accept_head(head, now),
            MemberMessage::Heartbeat(heartbeat) => self.accept_heartbeat(heartbeat, now),
            MemberMessage::Probe(sender) => self.accept_probe(sender, now),
            MemberMessage::Alive(sender) => self.accept_alive(sender, now),
            MemberMessage::Ask(request) => self.accept_ask(&request, now),
            MemberMessage::Answer { sender, parts } => {
                self.accept_datagram_answer(sender, parts, now);
            }
        }
    }

    pub(super) fn advance_spread(&mut self, now: Moment) {
        if let Some(pull) = self.spread.pull
            && now.since(pull.since) >= pull.timeout()
        {
            if pull.by_datagram {
                self.pull_by_stream(pull.from, SendPriority::Change, now);
            } else {
                self.pull_failed(pull.from, now);
            }
        }
        if now < self.spread.next_round {
            return;
        }
        // Events wait while the budget is exhausted: a burst of accusations must neither exceed the
        // send rate of a node nor delay the next configuration. Eager rounds without events would
        // keep it exhausted.
        let relays = !self.rumors.is_empty() && !self.budget.is_exhausted(now);
        let eager = self.spread.eager_rounds_left > 0 || relays;
        self.spread.eager_rounds_left = self.spread.eager_rounds_left.saturating_sub(1);
        let events = if relays {
            self.rumors.next_round()
        } else {
            SmallVec::new()
        };
        self.send_round(events, eager, now);
        let pending = self.spread.eager_rounds_left > 0 || !self.rumors.is_empty();
        // Jitter desynchronizes processes that started together.
        let jitter = self.rng.random_range(0.8..1.2);
        let interval = if pending {
            EAGER_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        self.spread.next_round = now + interval.mul_f64(jitter);
    }

    /// Schedules eager rounds to spread a configuration change.
    pub(super) fn schedule_eager_rounds(&mut self, now: Moment) {
        self.spread.eager_rounds_left = EAGER_ROUNDS;
        self.spread.next_round = self.spread.next_round.min(now + EAGER_INTERVAL / 10);
    }

    /// Moves the next round forward to spread an event.
    pub(super) fn schedule_round(&mut self, now: Moment) {
        self.spread.next_round = self.spread.next_round.min(now + EAGER_INTERVAL / 10);
    }

    fn send_round(&mut self, events: SmallVec<[MemberEvent; 2]>, eager: bool, now: Moment) {
        let fanout = if eager { EAGER_FANOUT } else { REGULAR_FANOUT };
        let priority = if eager {
            SendPriority::Change
        } else {
            SendPriority::Regular
        };
        let to_balancers = !events.is_empty() && self.list.rows().len() > BROADCAST_MAX_FLEET_SIZE;
        let head = self.head(events, now);
        let mut peers = self.pick_peers(fanout, to_balancers);
        if to_balancers {
            peers.extend(self.pick_neighbours());
        }
        for to in peers {
            let message = MemberMessage::Head(head.clone());
            self.send(to, message, priority, now);
        }
    }

    pub(super) fn send(
        &mut self,
        to: AgentAddress,
        message: MemberMessage,
        priority: SendPriority,
        now: Moment,
    ) {
        let length = encoded_length(&message) + FRAME_OVERHEAD_BYTES;
        if self.budget.try_spend(length, priority, now) {
            self.actions.push(MemberAction::Send { to, message });
        }
    }

    pub(super) fn head(&self, events: SmallVec<[MemberEvent; 2]>, now: Moment) -> GossipHead {
        GossipHead {
            sender: self.settings.control,
            config: self.config.head(),
            list: self.list.head(),
            platform_age: self.reading.platform_age(now),
            events,
        }
    }

    /// Picks distinct random processes from the list, or from the seeds while it is empty.
    fn pick_peers(&mut self, count: usize, balancers_only: bool) -> SmallVec<[AgentAddress; 4]> {
        let mut picked: SmallVec<[AgentAddress; 4]> = SmallVec::new();
        for _ in 0..4 * count {
            let peer = self.pick_peer(balancers_only);
            if let Some(peer) = peer
                && peer != self.settings.control
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

    /// Picks two neighbours. Agents of one service hand flows and requests to each other, so they
    /// relay the events of their service along the ring.
    fn pick_neighbours(&mut self) -> SmallVec<[AgentAddress; 2]> {
        let neighbours = self.neighbours.neighbours();
        let picked = neighbours.choose_multiple(&mut self.rng, 2);
        SmallVec::from_vec(picked)
    }

    fn pick_peer(&mut self, balancers_only: bool) -> Option<AgentAddress> {
        let rows = self.list.rows();
        if balancers_only && !self.spread.balancers.is_empty() {
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
        if head.sender == self.settings.control {
            return;
        }
        self.record_platform_age(&head, now);
        for &event in &head.events {
            self.accept_event(event, now);
        }
        if self.config.check_head(head.config).is_err() {
            self.handle_conflict(head.config.revision, now);
        }
        self.record_lag(&head, now);
        let newer_config = head.config.revision > self.config.head().revision;
        let newer_list = head.list.revision > self.list.head().revision;
        let list_due = self
            .spread
            .last_list_pull
            .is_none_or(|last| now.since(last) >= self.list_pull_interval());
        if newer_config || (newer_list && list_due) || !self.ready {
            self.pull(head.sender, SendPriority::Change, now);
        } else if head.config.revision < self.config.head().revision {
            // The sender lags behind: replying with a head lets it pull.
            let message = MemberMessage::Head(self.head(SmallVec::new(), now));
            self.send(head.sender, message, SendPriority::Regular, now);
        }
    }

    /// Picks a random process of another zone, or of this zone if there is no other.
    pub(super) fn pick_peer_in_other_zone(
        &mut self,
        exclude: &[AgentAddress],
    ) -> Option<AgentAddress> {
        let mut same_zone = None;
        for _ in 0..16 {
            let peer = self.pick_peer(false)?;
            if peer == self.settings.control || exclude.contains(&peer) {
                continue;
            }
            let zone = self.list.at(peer).next().map(|row| row.zone);
            if zone != Some(self.zone) {
                return Some(peer);
            }
            same_zone = Some(peer);
        }
        same_zone
    }

    fn record_lag(&mut self, head: &GossipHead, now: Moment) {
        let held = self.config.head().revision;
        if head.config.revision >= held {
            self.lagging.remove(&head.sender);
            return;
        }
        let full = self.lagging.len() >= MAX_LAGGING_PEERS;
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
