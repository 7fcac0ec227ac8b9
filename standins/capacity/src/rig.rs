//! Runs the members of a fleet in one process, over the real message types.
//!
//! A queue delivers each member's messages to the others after a delay. A simulated platform
//! responds to calls and counts them. The rig contains none of the logic of the members.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Incarnation, InstanceList, Moment, ZoneName};
use lovagelatch_membership::{
    FleetMember, MemberAction, MemberMessage, MemberNotice, MemberSettings, PACKET_OVERHEAD_BYTES,
    PlatformCall, PullPart, PullRequest,
};
use lovagelatch_wire::FRAME_OVERHEAD_BYTES;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::network::{
    PendingDelivery, PlatformState, RigDelivery, RigNetwork, RigPlatform, RigTraffic,
};

/// Bytes that opening and closing a stream costs, in both directions together.
const STREAM_OVERHEAD_BYTES: usize = 8 * 40;

/// Payload bytes of a TCP segment, each of which has 40 bytes of TCP/IP headers.
const SEGMENT_BYTES: usize = 1_400;

/// Resolution of simulated time.
const RIG_STEP: Duration = Duration::from_millis(10);

/// Steps per tick of a member, so that each member ticks every 100 ms.
const STEPS_PER_TICK: usize = 10;

/// How long the platform holds a watch open without a newer revision.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// One member of the simulated fleet.
#[derive(Debug)]
pub struct RigNode {
    /// The member under test, driven through its public interface.
    pub member: FleetMember,
    /// The member's zone, which decides the partitions that apply to it.
    pub zone: ZoneName,
    /// Whether the member runs; a stopped member neither ticks nor receives messages.
    pub running: bool,
    /// Whether the member is paused; its messages stay queued, as in socket buffers.
    pub paused: bool,
    /// Traffic since the counters were reset.
    pub traffic: RigTraffic,
    /// Notices that the member emitted, with the time of each.
    pub notices: Vec<(Moment, MemberNotice)>,
}

/// A simulated fleet in one process.
#[derive(Debug)]
pub struct MemberRig {
    /// The members in the order of the list: balancers, then targets, then added ones.
    pub nodes: Vec<RigNode>,
    /// The simulated platform that the members call.
    pub platform: RigPlatform,
    /// Faults of the network between the members.
    pub network: RigNetwork,
    /// Zones that cannot reach the platform.
    pub platform_cuts: Vec<ZoneName>,
    /// Partitions: pairs of zones of which the first cannot reach the second.
    pub cuts: Vec<(ZoneName, ZoneName)>,
    /// The simulated time.
    pub now: Moment,
    /// When the counters of traffic and calls were last reset.
    pub counted_since: Moment,
    by_address: HashMap<AgentAddress, usize>,
    queue: BinaryHeap<PendingDelivery>,
    order: u64,
    steps: usize,
    rng: SmallRng,
}

impl MemberRig {
    /// Creates a fleet of every instance in `list`. No member has a list or configuration yet.
    #[must_use]
    pub fn new(list: InstanceList, text: String, seed: u64) -> Self {
        let mut rig = Self {
            nodes: Vec::new(),
            platform: RigPlatform {
                texts: vec![text],
                list,
                state: PlatformState::Up,
                calls: 0,
                watches: Vec::new(),
            },
            network: RigNetwork::default(),
            platform_cuts: Vec::new(),
            cuts: Vec::new(),
            now: Moment::from_millis(1_000),
            counted_since: Moment::from_millis(1_000),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            steps: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for balancer in rig.platform.list.balancers.clone() {
            rig.add_member(balancer.control, balancer.zone, None);
        }
        for target in rig.platform.list.targets.clone() {
            rig.add_member(target.agent, target.zone, Some(target.service.id()));
        }
        rig
    }

    /// Starts a new member, or a successor of the one at `address`, and returns its index.
    pub fn add_member(
        &mut self,
        address: AgentAddress,
        zone: ZoneName,
        service: Option<lovagelatch_domain::ServiceId>,
    ) -> usize {
        let incarnation = Incarnation(self.rng.random());
        let mut settings = MemberSettings::new(address, zone.clone(), incarnation);
        if let Some(service) = service {
            settings = settings.with_service(service);
        }
        let seed = self.rng.random();
        let node = RigNode {
            member: FleetMember::new(settings, seed, self.now),
            zone,
            running: true,
            paused: false,
            traffic: RigTraffic::default(),
            notices: Vec::new(),
        };
        if let Some(&number) = self.by_address.get(&address) {
            self.nodes[number] = node;
            return number;
        }
        self.nodes.push(node);
        self.by_address.insert(address, self.nodes.len() - 1);
        self.nodes.len() - 1
    }

    /// Returns the index of the member at an address.
    #[must_use]
    pub fn index_of(&self, address: AgentAddress) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    /// Publishes a new text and returns its revision.
    pub fn publish(&mut self, text: String) -> u64 {
        self.platform.texts.push(text);
        self.complete_watches();
        self.platform.texts.len() as u64
    }

    /// Completes the watches that the published revision satisfies.
    pub fn complete_watches(&mut self) {
        let Some((revision, text)) = self.platform.published() else {
            return;
        };
        let watches = std::mem::take(&mut self.platform.watches);
        for (node, after, until) in watches {
            if self.platform_cuts.contains(&self.nodes[node].zone) {
                let call = PlatformCall::WatchConfig(after);
                self.deliver(node, RigDelivery::PlatformFailed(call), 2);
            } else if revision > after {
                self.deliver(node, RigDelivery::Config(revision, text.clone()), 2);
            } else {
                self.platform.watches.push((node, after, until));
            }
        }
    }

    /// Sets how the platform responds. A platform that goes down fails its open watches.
    pub fn set_platform(&mut self, state: PlatformState) {
        self.platform.state = state;
        if state == PlatformState::Down {
            for (node, after, _) in std::mem::take(&mut self.platform.watches) {
                let call = PlatformCall::WatchConfig(after);
                self.deliver(node, RigDelivery::PlatformFailed(call), 2);
            }
        }
        self.complete_watches();
    }

    /// Advances simulated time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + RIG_STEP;
            self.deliver_due();
            self.expire_watches();
            // Members tick at different times, as processes do.
            self.steps = (self.steps + 1) % STEPS_PER_TICK;
            for number in (self.steps..self.nodes.len()).step_by(STEPS_PER_TICK) {
                self.tick(number);
            }
        }
    }

    /// Advances simulated time until `condition` holds. Returns the time taken, or `None` after
    /// `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run(RIG_STEP);
        }
        condition(self).then(|| self.now.since(start))
    }

    /// Resets the counters of traffic and platform calls.
    pub fn reset_counts(&mut self) {
        self.platform.calls = 0;
        self.counted_since = self.now;
        for node in &mut self.nodes {
            node.traffic = RigTraffic::default();
        }
    }

    /// Returns the number of running members that have this revision in force.
    #[must_use]
    pub fn members_at(&self, revision: u64) -> usize {
        let running = self.nodes.iter().filter(|node| node.running);
        let at_revision = running.filter(|node| node.member.view().revision().0 == revision);
        at_revision.count()
    }

    /// Returns the number of running members.
    #[must_use]
    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.running).count()
    }

    /// Returns the number of members that read the platform in the current epoch.
    #[must_use]
    pub fn readers(&self) -> usize {
        let status = |node: &&RigNode| node.member.status(self.now).reader;
        self.nodes.iter().filter(status).count()
    }

    fn tick(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if !node.running || node.paused {
            return;
        }
        node.member.advance(self.now);
        self.execute(number);
    }

    fn execute(&mut self, number: usize) {
        let actions = self.nodes[number].member.take_actions();
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(number, to, message),
                MemberAction::Pull { from, request } => self.pull(number, from, request),
                MemberAction::Platform(call) => self.call(number, call),
                MemberAction::Publish(_) => {}
                MemberAction::Notice(notice) => {
                    let entry = (self.now, notice);
                    self.nodes[number].notices.push(entry);
                }
            }
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from].zone, &self.nodes[to].zone);
        self.cuts.iter().any(|(a, b)| a == from && b == to)
    }

    fn send(&mut self, from: usize, to: AgentAddress, message: MemberMessage) {
        let bytes = frame_bytes(&message) + PACKET_OVERHEAD_BYTES;
        self.nodes[from].traffic.sent += bytes as u64;
        self.nodes[from].traffic.messages += 1;
        let Some(to) = self.index_of(to) else {
            return;
        };
        if self.is_cut(from, to) || self.rng.random_bool(self.network.drop) {
            return;
        }
        self.nodes[to].traffic.received += bytes as u64;
        if self.rng.random_bool(self.network.duplicate) {
            let copy = RigDelivery::Message(Box::new(message.clone()));
            self.deliver(to, copy, 40);
        }
        let late = self.rng.random_bool(self.network.late);
        let delay = if late {
            self.rng.random_range(100..1_000)
        } else {
            2
        };
        self.deliver(to, RigDelivery::Message(Box::new(message)), delay);
    }

    fn pull(&mut self, from: usize, to: AgentAddress, request: PullRequest) {
        let number = self.index_of(to);
        let target = number.filter(|&number| {
            let node = &self.nodes[number];
            node.running && !node.paused && !self.is_cut(from, number) && !self.is_cut(number, from)
        });
        match target {
            Some(target) => {
                let bytes = (frame_bytes(&request) + STREAM_OVERHEAD_BYTES / 2) as u64;
                self.nodes[from].traffic.sent += bytes;
                self.nodes[from].traffic.messages += 1;
                self.nodes[target].traffic.received += bytes;
                self.deliver(target, RigDelivery::Request(request), 3);
            }
            None => self.deliver(from, RigDelivery::Failed(to), 500),
        }
    }

    fn call(&mut self, number: usize, call: PlatformCall) {
        let zone = &self.nodes[number].zone;
        if self.platform_cuts.contains(zone) {
            self.deliver(number, RigDelivery::PlatformFailed(call), 500);
            return;
        }
        self.platform.calls += 1;
        let Some((revision, text)) = self.platform.published() else {
            self.deliver(number, RigDelivery::PlatformFailed(call), 5);
            return;
        };
        match call {
            PlatformCall::ReadInstances => {
                let list = Box::new(self.platform.list.clone());
                self.deliver(number, RigDelivery::List(list), 5);
            }
            PlatformCall::WatchConfig(after) if revision <= after => {
                let watch = (number, after, self.now + WATCH_TIMEOUT);
                self.platform.watches.push(watch);
            }
            _ => self.deliver(number, RigDelivery::Config(revision, text), 5),
        }
    }

    fn expire_watches(&mut self) {
        let watches = std::mem::take(&mut self.platform.watches);
        for (node, after, until) in watches {
            if until <= self.now {
                self.deliver(node, RigDelivery::Unchanged, 2);
            } else {
                self.platform.watches.push((node, after, until));
            }
        }
    }

    fn deliver(&mut self, to: usize, delivery: RigDelivery, delay_ms: u64) {
        self.order += 1;
        self.queue.push(PendingDelivery {
            at: self.now + Duration::from_millis(delay_ms),
            order: self.order,
            to,
            delivery,
        });
    }

    fn deliver_due(&mut self) {
        let mut waiting = Vec::new();
        while self.queue.peek().is_some_and(|next| next.at <= self.now) {
            let Some(pending) = self.queue.pop() else {
                break;
            };
            if self.nodes[pending.to].paused {
                waiting.push(pending);
                continue;
            }
            if self.nodes[pending.to].running {
                self.dispatch(pending);
            }
        }
        self.queue.extend(waiting);
    }

    fn dispatch(&mut self, pending: PendingDelivery) {
        let now = self.now;
        let number = pending.to;
        let member = &mut self.nodes[number].member;
        match pending.delivery {
            RigDelivery::Message(message) => member.accept_message(*message, now),
            RigDelivery::Request(request) => {
                let parts = member.answer_pull(&request, now);
                self.answer(number, request.sender, parts);
            }
            RigDelivery::Answer(from, parts) => member.accept_answer(from, parts, now),
            RigDelivery::Failed(from) => member.pull_failed(from, now),
            RigDelivery::Config(revision, text) => member.accept_config(revision, &text, now),
            RigDelivery::Unchanged => member.config_unchanged(now),
            RigDelivery::List(list) => member.accept_instances(&list, now),
            RigDelivery::PlatformFailed(call) => member.platform_failed(call, now),
        }
        self.execute(number);
    }

    fn answer(&mut self, from: usize, to: AgentAddress, parts: Vec<PullPart>) {
        let payload: usize = parts.iter().map(|part| frame_bytes(part) + 4).sum();
        let bytes = payload + payload / SEGMENT_BYTES * 40 + STREAM_OVERHEAD_BYTES / 2;
        self.nodes[from].traffic.sent += bytes as u64;
        self.nodes[from].traffic.messages += 1;
        let Some(to) = self.index_of(to) else {
            return;
        };
        self.nodes[to].traffic.received += bytes as u64;
        let address = self.nodes[from].member.settings().control;
        self.deliver(to, RigDelivery::Answer(address, parts), 3);
    }

    /// Returns the bytes per second that each running member sent, received and both, sorted.
    #[must_use]
    pub fn rates(&self) -> BTreeMap<&'static str, Vec<f64>> {
        let time = self.now.since(self.counted_since);
        let rate = |bytes: u64| bytes as f64 / time.as_secs_f64();
        let traffic = |pick: fn(&RigTraffic) -> u64| {
            let running = self.nodes.iter().filter(|node| node.running);
            let mut rates: Vec<f64> = running.map(|node| rate(pick(&node.traffic))).collect();
            rates.sort_by(f64::total_cmp);
            rates
        };
        BTreeMap::from([
            ("sent", traffic(|traffic| traffic.sent)),
            ("received", traffic(|traffic| traffic.received)),
            ("both", traffic(|traffic| traffic.sent + traffic.received)),
        ])
    }
}

fn frame_bytes<M: serde::Serialize>(message: &M) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) + FRAME_OVERHEAD_BYTES
}
