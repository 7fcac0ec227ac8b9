//! Rounds of gossip heads, and pulls where a head shows something newer.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde::Serialize;
use smallvec::SmallVec;

use super::FleetMember;
use super::status::LagEntry;
use crate::action::{MemberAction, MemberNotice};
use crate::budget::{PACKET_OVERHEAD_BYTES, SendUrgency};
use crate::config::{ConfigDelta, ConfigError, ConfigVerdict};
use crate::list::{InstanceDuty, ListDelta, ListedInstance};
use crate::message::{
    GossipHead, MemberEvent, MemberMessage, PullPart, PullRequest, join_delta, split_delta,
};
use crate::table::TableError;

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

/// An ask that was not answered for this long goes on as a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest answer that is sent as a datagram, in bytes.
const MAX_ANSWER_BYTES: usize = 1_100;

/// A pull that was not answered for this long is given up.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Least time between two pulls for the list alone; grows by [`LIST_ROWS_A_SECOND`], because at
/// full size the list changes every second and lags by much more anyway.
const LIST_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Rows that add a second between two pulls for the list.
const LIST_ROWS_A_SECOND: usize = 50_000;

/// In fleets up to this size, agents too hear of other services' departures at once; beyond,
/// events go to balancers, who alone place by them.
const EVERYBODY_LIMIT: usize = 64;

/// Least time between two reads of the platform because of a conflict.
const CONFLICT_INTERVAL: Duration = Duration::from_secs(10);

/// Lagging peers that are remembered.
const MAX_LAGGING: usize = 64;

/// What a frame adds to a message.
const FRAME_BYTES: usize = 19 + PACKET_OVERHEAD_BYTES;

/// What opening and closing a TCP stream costs its opener: SYN, two ACKs and FIN, with 40 bytes
/// of headers each, and the request's own segment.
const STREAM_BYTES: usize = 5 * 40 + 4 + 19;

/// The state of spreading.
#[derive(Clone, Debug)]
pub(super) struct SpreadState {
    next_round: Moment,
    eager_left: u8,
    pull: Option<PullState>,
    last_list_pull: Option<Moment>,
    last_conflict: Option<Moment>,
    /// The next pull asks for whole tables: a delta did not fit.
    pub(super) whole: bool,
    /// Ask for departures with the next pulls.
    pub(super) want_departures: bool,
    /// Peers that were given by the settings or by the adapter, for a process without a list.
    pub(super) seeds: SmallVec<[AgentAddress; 4]>,
    balancers: Vec<AgentAddress>,
}

#[derive(Clone, Copy, Debug)]
struct PullState {
    from: AgentAddress,
    since: Moment,
    /// Whether it was asked by a datagram.
    asked: bool,
}

impl PullState {
    fn limit(&self) -> Duration {
        if self.asked {
            ASK_TIMEOUT
        } else {
            PULL_TIMEOUT
        }
    }
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

    /// The parts of the answer to a pull.
    pub fn answer_pull(&mut self, request: &PullRequest, now: Moment) -> Vec<PullPart> {
        let mut parts = vec![PullPart::Head(self.head(SmallVec::new(), now))];
        if request.config < self.config.head().revision {
            let delta = self.config.delta_since(request.config);
            parts.extend(split_delta(delta).into_iter().map(PullPart::Config));
        }
        if request.list < self.list.head().revision {
            let ListDelta { table, zones } = self.list.delta_since(request.list);
            let split = split_delta(table).into_iter().map(|table| {
                PullPart::List(ListDelta {
                    table,
                    zones: zones.clone(),
                })
            });
            parts.extend(split);
        }
        if request.departures {
            parts.push(PullPart::Departures(self.departures.events()));
        }
        parts.push(PullPart::End);
        // A whole table for a fresh process is paid by no budget: it is owed once in the
        // lifetime of an instance, and refusing it would keep that instance from serving.
        if request.config > 0 && request.list > 0 {
            let bytes = parts.iter().map(|part| encoded_length(part) + FRAME_BYTES);
            self.budget.spend(bytes.sum(), now);
        }
        parts
    }

    /// Takes the parts of an answer; one that broke off is a failed pull.
    pub fn accept_answer(&mut self, from: AgentAddress, parts: Vec<PullPart>, now: Moment) {
        if parts.last() != Some(&PullPart::End) {
            self.pull_failed(from, now);
            return;
        }
        self.end_pull(from);
        self.note_peer_answer(from);
        let mut config: Option<ConfigDelta> = None;
        let mut list: Option<ListDelta> = None;
        let mut head = None;
        for part in parts {
            match part {
                PullPart::Head(answered) => head = Some(answered),
                PullPart::Config(part) => join_delta(&mut config, part),
                PullPart::List(part) => join_list(&mut list, part),
                PullPart::Departures(events) => {
                    self.spread.want_departures = false;
                    for event in events {
                        self.accept_event(MemberEvent::Departure(event), now);
                    }
                }
                PullPart::End => {}
            }
        }
        if let Some(head) = &head {
            self.note_platform_age(head, now);
        }
        if let Some(delta) = config {
            self.accept_config_delta(delta, now);
        }
        if let Some(delta) = list {
            self.accept_list_delta(delta, now);
        }
        self.check_ready(now);
    }

    /// Notes that a pull brought nothing.
    pub fn pull_failed(&mut self, from: AgentAddress, _now: Moment) {
        self.end_pull(from);
        self.note_peer_failure(from);
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

    fn head(&self, events: SmallVec<[MemberEvent; 2]>, now: Moment) -> GossipHead {
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

    fn list_pull_interval(&self) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let rows = self.list.rows().len() as f64 / LIST_ROWS_A_SECOND as f64;
        LIST_PULL_INTERVAL + Duration::from_secs_f64(rows)
    }

    /// Asks a peer for what is newer, unless a pull is under way.
    pub(super) fn pull(&mut self, from: AgentAddress, urgency: SendUrgency, now: Moment) {
        if self.spread.pull.is_some() || from == self.settings.own {
            return;
        }
        let known = self.config.head().revision > 0 && self.list.head().revision > 0;
        if self.ready && known && !self.spread.whole {
            self.ask(from, urgency, now);
        } else {
            self.pull_by_stream(from, urgency, now);
        }
    }

    fn request(&mut self) -> PullRequest {
        let whole = std::mem::take(&mut self.spread.whole);
        let held = |revision| if whole { 0 } else { revision };
        PullRequest {
            sender: self.settings.own,
            config: held(self.config.head().revision),
            list: held(self.list.head().revision),
            departures: self.spread.want_departures,
        }
    }

    fn start_pull(&mut self, from: AgentAddress, asked: bool, now: Moment) {
        let since = now;
        self.spread.pull = Some(PullState { from, since, asked });
        self.spread.last_list_pull = Some(now);
    }

    fn ask(&mut self, from: AgentAddress, urgency: SendUrgency, now: Moment) {
        let request = self.request();
        self.start_pull(from, true, now);
        self.send(from, MemberMessage::Ask(request), urgency, now);
    }

    fn pull_by_stream(&mut self, from: AgentAddress, urgency: SendUrgency, now: Moment) {
        let bytes = STREAM_BYTES + FRAME_BYTES;
        if !self.budget.try_spend(bytes, urgency, now) {
            self.spread.pull = None;
            return;
        }
        let request = self.request();
        self.start_pull(from, false, now);
        self.actions.push(MemberAction::Pull { from, request });
    }

    fn accept_ask(&mut self, request: &PullRequest, now: Moment) {
        let mut parts = self.answer_pull(request, now);
        let bytes: usize = parts.iter().map(encoded_length).sum();
        if bytes > MAX_ANSWER_BYTES {
            parts.clear();
        }
        // Its bytes were taken from the budget with the answer.
        self.actions.push(MemberAction::Send {
            to: request.sender,
            message: MemberMessage::Answer {
                sender: self.settings.own,
                parts,
            },
        });
    }

    fn accept_small_answer(&mut self, from: AgentAddress, parts: Vec<PullPart>, now: Moment) {
        let expected = |pull: &PullState| pull.asked && pull.from == from;
        if !self.spread.pull.as_ref().is_some_and(expected) {
            return;
        }
        if parts.is_empty() {
            self.pull_by_stream(from, SendUrgency::Change, now);
        } else {
            self.accept_answer(from, parts, now);
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

    pub(super) fn is_pulling(&self) -> bool {
        self.spread.pull.is_some()
    }

    fn end_pull(&mut self, from: AgentAddress) {
        if self.spread.pull.is_some_and(|pull| pull.from == from) {
            self.spread.pull = None;
        }
    }

    fn accept_config_delta(&mut self, delta: ConfigDelta, now: Moment) {
        let revision = delta.to.revision;
        match self.config.offer_delta(delta) {
            Ok(ConfigVerdict::Taken(changes)) => self.apply_config(&changes, now),
            Ok(ConfigVerdict::Known) | Err(ConfigError::Lower { .. }) => {}
            Err(ConfigError::Conflict { .. }) => self.note_conflict(revision, now),
            Err(error) => {
                self.spread.whole = true;
                self.notice(MemberNotice::ConfigRefused(error));
            }
        }
    }

    fn accept_list_delta(&mut self, delta: ListDelta, now: Moment) {
        match self.list.offer_delta(delta) {
            Ok(changes) => self.apply_list(&changes, now),
            Err(TableError::NotNewer { .. }) => {}
            Err(error) => {
                self.spread.whole = true;
                self.notice(MemberNotice::ListRefused(error));
            }
        }
    }

    /// Two contents under one revision: the first is kept, and the platform is asked.
    fn note_conflict(&mut self, revision: u64, now: Moment) {
        let recent = self
            .spread
            .last_conflict
            .is_some_and(|last| now.since(last) < CONFLICT_INTERVAL);
        if recent {
            return;
        }
        self.spread.last_conflict = Some(now);
        let error = ConfigError::Conflict { revision };
        self.notice(MemberNotice::ConfigRefused(error));
        self.read_config_once(now);
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

fn encoded_length<M: Serialize>(message: &M) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

fn join_list(whole: &mut Option<ListDelta>, part: ListDelta) {
    let Some(held) = whole else {
        *whole = Some(part);
        return;
    };
    let mut table = Some(std::mem::replace(&mut held.table, part.table.clone()));
    join_delta(&mut table, part.table);
    if let Some(table) = table {
        held.table = table;
    }
    for zone in part.zones {
        if !held.zones.contains(&zone) {
            held.zones.push(zone);
        }
    }
}
