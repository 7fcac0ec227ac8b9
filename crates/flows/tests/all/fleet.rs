//! A fleet without network: real balancers and agents, and targets of different speeds that run
//! requests of long flows.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_catalog::{PublishedTarget, RequestPolicy};
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_flows::{
    AdmissionEvent, AgentStep, BalancerStep, FlowAgent, FlowBalancer, FlowKey, FlowPacket,
    FlowView, LoadReport, PacketFlags,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::support::{AGENT_PORT, agent, at, catalog, claims_address, opening, target, view_of};

/// Initial sequence number of every target.
const TARGET_SEQUENCE: u32 = 5_000;

/// Sequence number of the first data of a client.
const FIRST_SEQUENCE: u32 = 1_001;

/// Mean time between an answer and the next request of a flow, in seconds.
const MEAN_PAUSE: f64 = 1.0;

/// Mean work of a request at speed 1, in seconds.
pub(crate) const MEAN_WORK: f64 = 0.034;

/// Interval of the agents' load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Requests that a target queues beyond its slots.
const QUEUE_LENGTH: usize = 8;

/// What a fleet consists of.
pub(crate) struct FleetSettings {
    /// The speed and the zone of each target.
    pub(crate) targets: Vec<(f64, &'static str)>,
    /// Clients, each with one flow at a time and about one request per second.
    pub(crate) clients: usize,
    /// Share of the clients that open a flow for each request.
    pub(crate) short_share: f64,
    pub(crate) balancers: u8,
    /// How long a report is on its way to a balancer.
    pub(crate) report_delay: Duration,
    /// Share of the reports that are lost.
    pub(crate) report_loss: f64,
    /// Changes each report on its way.
    pub(crate) forge: fn(usize, &mut LoadReport),
    /// Whether the route has a request policy, without which no service time is learned.
    pub(crate) with_policy: bool,
    pub(crate) max_flows: Option<NonZeroU32>,
    pub(crate) seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            clients: 0,
            short_share: 0.0,
            balancers: 4,
            report_delay: Duration::from_millis(2),
            report_loss: 0.0,
            forge: |_, _| {},
            with_policy: true,
            max_flows: None,
            seed: 1,
        }
    }
}

/// A target as the clients experience it.
pub(crate) struct FleetTarget {
    pub(crate) speed: f64,
    slots: usize,
    running: usize,
    queue: VecDeque<usize>,
    /// Requests started since the counts were reset.
    pub(crate) started: u32,
    /// Requests rejected since the counts were reset.
    pub(crate) rejected: u32,
    /// Open flows.
    pub(crate) flows: u32,
    /// Whether the target and its agent have ended.
    stopped: bool,
}

struct FleetClient {
    flow: FlowKey,
    balancer: usize,
    target: usize,
    sequence: u32,
    /// Bytes that the target has sent on the flow.
    answered: u32,
    closes_at: Moment,
}

/// Where a client's packet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// At this target.
    Arrived(usize),
    /// At the agent of this target, which holds it.
    Held(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Open(usize),
    Request(usize),
    /// The target ends the request of a client.
    Answer(usize, usize),
    /// Requests that wait at the agent of a target may not wait any longer.
    Release(usize),
    Report(usize),
    Expire,
}

type Scheduled = Reverse<(Moment, u64, FleetEvent)>;

pub(crate) struct Fleet {
    settings: FleetSettings,
    pub(crate) view: FlowView,
    pub(crate) balancers: Vec<FlowBalancer>,
    pub(crate) agents: Vec<FlowAgent>,
    pub(crate) targets: Vec<FleetTarget>,
    clients: Vec<FleetClient>,
    events: BinaryHeap<Scheduled>,
    reports: VecDeque<(Moment, usize, LoadReport)>,
    scheduled: u64,
    /// Flows opened so far.
    flows: u32,
    /// First packets without an answer since the counts were reset.
    pub(crate) failed_opens: u32,
    random: SmallRng,
    pub(crate) now: Moment,
}

fn fleet_view(settings: &FleetSettings) -> FlowView {
    let targets = settings.targets.iter().zip(1_u8..);
    let targets = targets.map(|(&(_, zone), number)| PublishedTarget {
        zone: zone.parse().expect("a zone"),
        slots: 2,
        ..target(number, "claims")
    });
    let mut catalog = catalog(targets.collect());
    let mut routes = catalog.routes.to_vec();
    if settings.with_policy {
        routes[0].policy = Some(RequestPolicy {
            priority: 1,
            aim_ms: 300,
            timeout_ms: 1_500,
        });
    }
    routes[0].shares[0].max_flows = settings.max_flows;
    catalog.routes = routes.into();
    view_of(catalog)
}

impl Fleet {
    pub(crate) fn new(settings: FleetSettings) -> Self {
        let view = fleet_view(&settings);
        let numbers = (1_u8..).take(settings.targets.len());
        let agents = numbers.map(|number| {
            let mut settings = crate::agent::settings(true);
            settings.own_address = agent(number);
            FlowAgent::new(settings, at(0))
        });
        let balancers = (1..=settings.balancers).map(|number| {
            let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), AGENT_PORT);
            FlowBalancer::new(AgentAddress(address))
        });
        let targets = settings.targets.iter().map(|&(speed, _)| FleetTarget {
            speed,
            slots: 2,
            running: 0,
            queue: VecDeque::new(),
            started: 0,
            rejected: 0,
            flows: 0,
            stopped: false,
        });
        let mut fleet = Self {
            view,
            balancers: balancers.collect(),
            agents: agents.collect(),
            targets: targets.collect(),
            clients: Vec::new(),
            events: BinaryHeap::new(),
            reports: VecDeque::new(),
            scheduled: 0,
            flows: 0,
            failed_opens: 0,
            random: SmallRng::seed_from_u64(settings.seed),
            now: at(0),
            settings,
        };
        for number in 0..fleet.agents.len() {
            let offset = fleet.random.random_range(0..250_000);
            fleet.schedule(Duration::from_micros(offset), FleetEvent::Report(number));
        }
        fleet.schedule(Duration::from_millis(100), FleetEvent::Expire);
        let clients = fleet.settings.clients;
        fleet.add_clients(clients);
        fleet
    }

    /// Adds clients that open their flows within the next 5 s.
    fn add_clients(&mut self, count: usize) {
        for _ in 0..count {
            let client = self.clients.len();
            self.clients.push(FleetClient {
                flow: FlowKey {
                    client: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
                    service_address: claims_address(),
                },
                balancer: 0,
                target: 0,
                sequence: 0,
                answered: 0,
                closes_at: self.now,
            });
            let delay = self.random.random_range(0.0..5.0);
            self.schedule(Duration::from_secs_f64(delay), FleetEvent::Open(client));
        }
    }

    /// Changes the number of clients. Those that leave close their flows at their next request.
    pub(crate) fn set_clients(&mut self, count: usize) {
        self.settings.clients = count;
        if let Some(missing) = count.checked_sub(self.clients.len()) {
            self.add_clients(missing);
        }
    }

    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((due, _, event))) = self.events.peek().copied() {
            if due > end {
                break;
            }
            self.events.pop();
            self.now = due;
            self.deliver_reports();
            match event {
                FleetEvent::Open(client) => self.open(client),
                FleetEvent::Request(client) => self.request(client),
                FleetEvent::Answer(target, client) => self.answer(target, client),
                FleetEvent::Release(target) => {
                    self.agents[target].advance_admission(self.now);
                    self.release(target);
                }
                FleetEvent::Report(agent) => self.report(agent),
                FleetEvent::Expire => self.expire(),
            }
        }
        self.now = end;
    }

    /// Ends a target and its agent. Their clients notice it with their next packet.
    pub(crate) fn stop_target(&mut self, target: usize) {
        let target = &mut self.targets[target];
        target.stopped = true;
        target.running = 0;
        target.flows = 0;
        target.queue.clear();
    }

    /// Returns the ratio of the busiest target to the mean, by work over speed since the counts
    /// were reset.
    pub(crate) fn imbalance(&self) -> f64 {
        self.work_ratios().into_iter().fold(0.0, f64::max)
    }

    /// Returns the ratio of the idlest target to the mean, like [`imbalance`](Self::imbalance).
    pub(crate) fn least_share(&self) -> f64 {
        self.work_ratios().into_iter().fold(1.0, f64::min)
    }

    fn work_ratios(&self) -> Vec<f64> {
        let targets = self.targets.iter();
        let work: Vec<f64> = targets
            .map(|target| f64::from(target.started) / target.speed)
            .collect();
        let count = u32::try_from(work.len()).expect("a small fleet");
        let mean = work.iter().sum::<f64>() / f64::from(count);
        work.iter().map(|work| work / mean).collect()
    }

    /// Returns the service time that the agent of a target has learned, in seconds.
    pub(crate) fn service_time(&mut self, target: usize) -> Option<f64> {
        let load = self.agents[target].status(self.now).load;
        load.service_time_us
            .map(|micros| f64::from(micros.get()) / 1e6)
    }

    /// Starts to count requests anew.
    pub(crate) fn reset_counts(&mut self) {
        for target in &mut self.targets {
            target.started = 0;
            target.rejected = 0;
        }
        self.failed_opens = 0;
    }

    fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.scheduled += 1;
        let due = self.now + delay;
        self.events.push(Reverse((due, self.scheduled, event)));
    }

    fn deliver_reports(&mut self) {
        while self
            .reports
            .front()
            .is_some_and(|(due, ..)| *due <= self.now)
        {
            if let Some((due, balancer, report)) = self.reports.pop_front() {
                self.balancers[balancer].record_load(&report, due);
            }
        }
    }

    fn report(&mut self, agent: usize) {
        if self.targets[agent].stopped {
            return;
        }
        let (balancers, mut report) = self.agents[agent].load_report(self.now);
        (self.settings.forge)(agent, &mut report);
        for address in balancers {
            if self.random.random_bool(1.0 - self.settings.report_loss) {
                let balancer = usize::from(address.0.ip().octets()[3]) - 1;
                let due = self.now + self.settings.report_delay;
                self.reports.push_back((due, balancer, report));
            }
        }
        self.schedule(REPORT_INTERVAL, FleetEvent::Report(agent));
    }

    fn expire(&mut self) {
        for balancer in &self.balancers {
            balancer.due_offers(&self.view, self.now);
            balancer.expire_idle(Duration::from_secs(15), self.now);
        }
        for agent in &mut self.agents {
            agent.expire_idle(Duration::from_secs(15), self.now);
        }
        self.schedule(Duration::from_millis(100), FleetEvent::Expire);
    }

    fn open(&mut self, client: usize) {
        if client >= self.settings.clients {
            return;
        }
        self.flows += 1;
        let [high, mid, low, port] = self.flows.to_be_bytes();
        let flow = FlowKey {
            client: SocketAddrV4::new(
                Ipv4Addr::new(100, 64 + high, mid, low),
                1_024 + u16::from(port),
            ),
            service_address: claims_address(),
        };
        let balancer = self.random.random_range(0..self.balancers.len());
        let short = self.random.random_bool(self.settings.short_share);
        let lifetime = if short {
            0.0
        } else {
            self.random.random_range(5.0..60.0)
        };
        self.clients[client] = FleetClient {
            flow,
            balancer,
            target: 0,
            sequence: FIRST_SEQUENCE,
            answered: 0,
            closes_at: self.now + Duration::from_secs_f64(lifetime),
        };
        if let Some(Delivery::Arrived(target)) = self.send(client, &opening(flow)) {
            self.clients[client].target = target;
            self.targets[target].flows += 1;
            let answer = packet(flow, true, 0);
            let answer = FlowPacket {
                sequence: TARGET_SEQUENCE,
                ..answer
            };
            self.target_sends(target, &answer);
            self.request(client);
        } else {
            self.failed_opens += 1;
            self.schedule(Duration::from_millis(100), FleetEvent::Open(client));
        }
    }

    /// Sends a packet of a client; returns the target that it is delivered to.
    fn send(&mut self, client: usize, packet: &FlowPacket) -> Option<Delivery> {
        let balancer = &self.balancers[self.clients[client].balancer];
        let step = balancer.handle_packet(packet, b"packet", &self.view, self.now);
        let BalancerStep::Send { to, frame, .. } = step else {
            return None;
        };
        let (mut to, mut frame) = (to, frame);
        loop {
            let number = usize::from(to.0.ip().octets()[3]) - 1;
            if self.targets[number].stopped {
                return None;
            }
            let (step, update) = self.agents[number].handle_frame(frame, packet, self.now);
            if let Some((balancer, mut update)) = update {
                (self.settings.forge)(number, &mut update.load);
                let balancer = usize::from(balancer.0.ip().octets()[3]) - 1;
                self.balancers[balancer].handle_flow_update(&update, self.now);
            }
            match step {
                AgentStep::Deliver { .. } => return Some(Delivery::Arrived(number)),
                AgentStep::Hold => return Some(Delivery::Held(number)),
                AgentStep::Forward {
                    to: next,
                    frame: rest,
                } => (to, frame) = (next, rest),
                _ => return None,
            }
        }
    }

    fn target_sends(&mut self, target: usize, packet: &FlowPacket) {
        let (_, update) = self.agents[target].handle_target_packet(packet, self.now);
        if let Some((balancer, mut update)) = update {
            (self.settings.forge)(target, &mut update.load);
            let balancer = usize::from(balancer.0.ip().octets()[3]) - 1;
            self.balancers[balancer].handle_flow_update(&update, self.now);
        }
    }

    fn request(&mut self, client: usize) {
        let state = &mut self.clients[client];
        let (flow, target) = (state.flow, state.target);
        if self.targets[target].stopped {
            self.schedule(Duration::from_millis(20), FleetEvent::Open(client));
            return;
        }
        let is_first = state.sequence == FIRST_SEQUENCE;
        let ends = self.now >= state.closes_at || client >= self.settings.clients;
        if ends && !is_first {
            let last = packet(flow, false, 0);
            let last = FlowPacket {
                flags: PacketFlags {
                    fin: true,
                    ..last.flags
                },
                ..last
            };
            self.target_sends(target, &last);
            self.targets[target].flows -= 1;
            self.schedule(Duration::from_millis(20), FleetEvent::Open(client));
            return;
        }
        let data = FlowPacket {
            sequence: state.sequence,
            acknowledged: TARGET_SEQUENCE + 1,
            ..packet(flow, false, 100)
        };
        state.sequence += 100;
        let delivery = self.send(client, &data);
        match delivery {
            Some(Delivery::Arrived(number)) => {
                assert_eq!(number, target, "an open flow stays at its target");
                self.arrive(target, client);
            }
            Some(Delivery::Held(number)) => {
                assert_eq!(number, target, "an open flow stays at its target");
                if let Some(deadline) = self.agents[target].next_admission_deadline() {
                    self.schedule(deadline.since(self.now), FleetEvent::Release(target));
                }
            }
            None => panic!("an open flow stays at its target"),
        }
        self.release(target);
    }

    /// Delivers the requests that the agent of a target has released.
    fn release(&mut self, target: usize) {
        let mut events = Vec::new();
        self.agents[target].take_admission_events(&mut events);
        for event in events {
            if let AdmissionEvent::Released(released) = event {
                let mut clients = self.clients.iter();
                if let Some(client) = clients.position(|client| client.flow == released.flow) {
                    self.arrive(target, client);
                }
            }
        }
    }

    /// A request arrives at a target.
    fn arrive(&mut self, target: usize, client: usize) {
        let state = &mut self.targets[target];
        if state.running < state.slots {
            self.start(target, client);
        } else if state.queue.len() < QUEUE_LENGTH {
            state.queue.push_back(client);
        } else {
            state.rejected += 1;
            self.reply(target, client, 50);
            self.schedule_request(client);
        }
    }

    /// The target sends an answer, or rejects a request.
    fn reply(&mut self, target: usize, client: usize, bytes: u16) {
        let state = &mut self.clients[client];
        let reply = FlowPacket {
            sequence: TARGET_SEQUENCE + 1 + state.answered,
            ..packet(state.flow, false, bytes)
        };
        state.answered += u32::from(bytes);
        self.target_sends(target, &reply);
        self.release(target);
    }

    fn start(&mut self, target: usize, client: usize) {
        // 3 % of the requests take seven times as long as the others.
        let base = MEAN_WORK / 1.18;
        let tail = self.random.random_bool(0.03);
        let work = if tail { 7.0 * base } else { base };
        let work = work * self.random.random_range(0.8..1.2);
        let state = &mut self.targets[target];
        state.running += 1;
        state.started += 1;
        let duration = Duration::from_secs_f64(work / state.speed);
        self.schedule(duration, FleetEvent::Answer(target, client));
    }

    fn answer(&mut self, target: usize, client: usize) {
        if self.targets[target].stopped {
            self.schedule_request(client);
            return;
        }
        self.targets[target].running -= 1;
        // The next request starts before the answer makes the agent release another one.
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start(target, next);
        }
        self.reply(target, client, 200);
        self.schedule_request(client);
    }

    fn schedule_request(&mut self, client: usize) {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let pause = -uniform.ln() * MEAN_PAUSE;
        self.schedule(Duration::from_secs_f64(pause), FleetEvent::Request(client));
    }
}

fn packet(flow: FlowKey, syn: bool, data_bytes: u16) -> FlowPacket {
    FlowPacket {
        flow,
        flags: PacketFlags {
            syn,
            ack: true,
            ..PacketFlags::default()
        },
        sequence: 1_001,
        acknowledged: TARGET_SEQUENCE + 1,
        data_bytes,
        tag: 0,
    }
}
