//! Members of a fleet in one process, over the real message types.
//!
//! A queue delivers each member's messages to the others after a delay; a fake platform answers
//! and counts its calls. It knows nothing of what the members decide.

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

use crate::network::{Delivery, Pending, PlatformState, RigNetwork, RigPlatform, RigTraffic};

/// Bytes of opening and closing a stream, in both directions together.
const STREAM_OVERHEAD_BYTES: usize = 8 * 40;

/// Bytes of TCP/IP headers for each segment of this many bytes.
const SEGMENT_BYTES: usize = 1_400;

/// The rig's resolution of time.
const RIG_STEP: Duration = Duration::from_millis(10);

/// Steps between two ticks of a member.
const STEPS_A_TICK: usize = 10;

/// How long a watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// One member and what it is cut off from.
#[derive(Debug)]
pub struct RigNode {
    /// The member.
    pub member: FleetMember,
    /// Its zone's name.
    pub zone: ZoneName,
    /// Whether it runs; a stopped one neither ticks nor takes messages.
    pub running: bool,
    /// Messages that wait while it is paused, as socket buffers do.
    pub paused: bool,
    /// What it sent and received.
    pub traffic: RigTraffic,
    /// Its notices with their times.
    pub notices: Vec<(Moment, MemberNotice)>,
}

/// A fleet in one process.
#[derive(Debug)]
pub struct MemberRig {
    /// The members, in the order of the list.
    pub nodes: Vec<RigNode>,
    /// The platform.
    pub platform: RigPlatform,
    /// The network.
    pub network: RigNetwork,
    /// Zones that cannot reach the platform.
    pub platform_cuts: Vec<ZoneName>,
    /// Pairs of zones that cannot reach each other, one way each.
    pub cuts: Vec<(ZoneName, ZoneName)>,
    /// The time.
    pub now: Moment,
    /// Since when traffic and calls are counted.
    pub counted_since: Moment,
    by_address: HashMap<AgentAddress, usize>,
    queue: BinaryHeap<Pending>,
    order: u64,
    steps: usize,
    rng: SmallRng,
}

impl MemberRig {
    /// A fleet of everything in `list`, none of which knows anything yet.
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

    /// Starts one more member, or a successor at an address; its number.
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

    /// The number of the member at an address.
    #[must_use]
    pub fn number_of(&self, address: AgentAddress) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    /// Publishes another text; its revision.
    pub fn publish(&mut self, text: String) -> u64 {
        self.platform.texts.push(text);
        self.answer_watches();
        self.platform.texts.len() as u64
    }

    /// Ends the watches that what is published now satisfies.
    pub fn answer_watches(&mut self) {
        let Some((revision, text)) = self.platform.published() else {
            return;
        };
        let watches = std::mem::take(&mut self.platform.watches);
        for (node, after, until) in watches {
            if self.platform_cuts.contains(&self.nodes[node].zone) {
                let call = PlatformCall::WatchConfig(after);
                self.deliver(node, Delivery::PlatformFailed(call), 2);
            } else if revision > after {
                self.deliver(node, Delivery::Config(revision, text.clone()), 2);
            } else {
                self.platform.watches.push((node, after, until));
            }
        }
    }

    /// Sets what the platform does; a platform that goes down breaks its watches off.
    pub fn set_platform(&mut self, state: PlatformState) {
        self.platform.state = state;
        if state == PlatformState::Down {
            for (node, after, _) in std::mem::take(&mut self.platform.watches) {
                let call = PlatformCall::WatchConfig(after);
                self.deliver(node, Delivery::PlatformFailed(call), 2);
            }
        }
        self.answer_watches();
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + RIG_STEP;
            self.deliver_due();
            self.end_watches();
            // Members tick at different times, as processes do.
            self.steps = (self.steps + 1) % STEPS_A_TICK;
            for number in (self.steps..self.nodes.len()).step_by(STEPS_A_TICK) {
                self.tick(number);
            }
        }
    }

    /// Lets time pass until `condition` holds; the time taken, or `None` after `limit`.
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

    /// Forgets all traffic counted so far.
    pub fn reset_counts(&mut self) {
        self.platform.calls = 0;
        self.counted_since = self.now;
        for node in &mut self.nodes {
            node.traffic = RigTraffic::default();
        }
    }

    /// Members that run and have this revision in force.
    #[must_use]
    pub fn holding(&self, revision: u64) -> usize {
        let running = self.nodes.iter().filter(|node| node.running);
        let holding = running.filter(|node| node.member.view().revision().0 == revision);
        holding.count()
    }

    /// Members that run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.running).count()
    }

    /// Members that read the platform in this epoch.
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
        self.carry_out(number);
    }

    fn carry_out(&mut self, number: usize) {
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
        let bytes = encoded(&message) + PACKET_OVERHEAD_BYTES;
        self.nodes[from].traffic.sent += bytes as u64;
        self.nodes[from].traffic.messages += 1;
        let Some(to) = self.number_of(to) else {
            return;
        };
        if self.is_cut(from, to) || self.rng.random_bool(self.network.drop) {
            return;
        }
        self.nodes[to].traffic.received += bytes as u64;
        if self.rng.random_bool(self.network.duplicate) {
            let copy = Delivery::Message(Box::new(message.clone()));
            self.deliver(to, copy, 40);
        }
        let late = self.rng.random_bool(self.network.late);
        let delay = if late {
            self.rng.random_range(100..1_000)
        } else {
            2
        };
        self.deliver(to, Delivery::Message(Box::new(message)), delay);
    }

    fn pull(&mut self, from: usize, to: AgentAddress, request: PullRequest) {
        let number = self.number_of(to);
        let target = number.filter(|&number| {
            let node = &self.nodes[number];
            node.running && !node.paused && !self.is_cut(from, number) && !self.is_cut(number, from)
        });
        match target {
            Some(target) => {
                let bytes = (encoded(&request) + STREAM_OVERHEAD_BYTES / 2) as u64;
                self.nodes[from].traffic.sent += bytes;
                self.nodes[from].traffic.messages += 1;
                self.nodes[target].traffic.received += bytes;
                self.deliver(target, Delivery::Request(request), 3);
            }
            None => self.deliver(from, Delivery::Failed(to), 500),
        }
    }

    fn call(&mut self, number: usize, call: PlatformCall) {
        let zone = &self.nodes[number].zone;
        if self.platform_cuts.contains(zone) {
            self.deliver(number, Delivery::PlatformFailed(call), 500);
            return;
        }
        self.platform.calls += 1;
        let Some((revision, text)) = self.platform.published() else {
            self.deliver(number, Delivery::PlatformFailed(call), 5);
            return;
        };
        match call {
            PlatformCall::ReadInstances => {
                let list = Box::new(self.platform.list.clone());
                self.deliver(number, Delivery::List(list), 5);
            }
            PlatformCall::WatchConfig(after) if revision <= after => {
                let watch = (number, after, self.now + WATCH_WAIT);
                self.platform.watches.push(watch);
            }
            _ => self.deliver(number, Delivery::Config(revision, text), 5),
        }
    }

    fn end_watches(&mut self) {
        let watches = std::mem::take(&mut self.platform.watches);
        for (node, after, until) in watches {
            if until <= self.now {
                self.deliver(node, Delivery::Unchanged, 2);
            } else {
                self.platform.watches.push((node, after, until));
            }
        }
    }

    fn deliver(&mut self, to: usize, delivery: Delivery, delay_ms: u64) {
        self.order += 1;
        self.queue.push(Pending {
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
                self.hand_over(pending);
            }
        }
        self.queue.extend(waiting);
    }

    fn hand_over(&mut self, pending: Pending) {
        let now = self.now;
        let number = pending.to;
        let member = &mut self.nodes[number].member;
        match pending.delivery {
            Delivery::Message(message) => member.accept_message(*message, now),
            Delivery::Request(request) => {
                let parts = member.answer_pull(&request, now);
                self.answer(number, request.sender, parts);
            }
            Delivery::Answer(from, parts) => member.accept_answer(from, parts, now),
            Delivery::Failed(from) => member.pull_failed(from, now),
            Delivery::Config(revision, text) => member.accept_config(revision, &text, now),
            Delivery::Unchanged => member.config_unchanged(now),
            Delivery::List(list) => member.accept_instances(&list, now),
            Delivery::PlatformFailed(call) => member.platform_failed(call, now),
        }
        self.carry_out(number);
    }

    fn answer(&mut self, from: usize, to: AgentAddress, parts: Vec<PullPart>) {
        let payload: usize = parts.iter().map(|part| encoded(part) + 4).sum();
        let bytes = payload + payload / SEGMENT_BYTES * 40 + STREAM_OVERHEAD_BYTES / 2;
        self.nodes[from].traffic.sent += bytes as u64;
        self.nodes[from].traffic.messages += 1;
        let Some(to) = self.number_of(to) else {
            return;
        };
        self.nodes[to].traffic.received += bytes as u64;
        let address = self.nodes[from].member.settings().control;
        self.deliver(to, Delivery::Answer(address, parts), 3);
    }

    /// The bytes each running member sent and received a second, sorted.
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

fn encoded<M: serde::Serialize>(message: &M) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len()) + FRAME_OVERHEAD_BYTES
}
