//! Targets, clients and agents for the comparison of admission orders, in steps of a quarter of a
//! millisecond and without a network.

use std::collections::{HashMap, VecDeque};

use lovagelatch_domain::Moment;
use lovagelatch_flows::{AdmissionOrder, AgentStep, FlowAgent, FlowKey, RequestClass};

use crate::admission_rig::{AdmissionRig, class, other_route};
use crate::agent::{answer, informed_agent};
use crate::support::{at, flow};

const STEPS_PER_MS: u64 = 4;

/// Requests that the target processes at once.
const SLOTS: u16 = 3;

/// Requests that wait at the target.
const TARGET_QUEUE: usize = 8;

/// The speeds of the targets of a service differ.
const SPEEDS: [f64; 6] = [0.6, 1.0, 1.6, 0.6, 1.0, 1.6];

/// A tenth of the requests come over a new flow.
const NEW_FLOW_PART: f64 = 0.1;

const RETRY_DELAY_MS: u64 = 5;
const MAX_RETRIES: u32 = 2;
/// The time in which the measured requests are sent. The run continues until all have ended.
const MEASURED_MS: std::ops::Range<u64> = 1_500..7_500;
const RUN_MS: u64 = 9_500;

/// What callers want of a route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteModel {
    priority: u8,
    work_ms: f64,
    aim_ms: u32,
    timeout_ms: u64,
    value: f64,
    late_value: f64,
    share: f64,
}

pub(crate) const ROUTES: [RouteModel; 2] = [
    RouteModel {
        priority: 1,
        work_ms: 44.0,
        aim_ms: 400,
        timeout_ms: 2_000,
        value: 2.0,
        late_value: 0.6,
        share: 2.0 / 9.0,
    },
    RouteModel {
        priority: 2,
        work_ms: 34.0,
        aim_ms: 300,
        timeout_ms: 1_500,
        value: 1.0,
        late_value: 0.3,
        share: 7.0 / 9.0,
    },
];

/// Part of the requests that take [`TAIL_FACTOR`] times as long.
const TAIL_PART: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

/// A target: slots, a queue, and immediate rejection beyond.
struct TargetModel {
    speed: f64,
    /// Flows of the requests in the slots, each with the step at which it is done.
    running: Vec<(u64, FlowKey)>,
    queue: VecDeque<(FlowKey, f64)>,
}

impl TargetModel {
    /// Returns whether the request was accepted.
    fn submit(&mut self, flow: FlowKey, work_ms: f64, step: u64) -> bool {
        if self.running.len() < usize::from(SLOTS) {
            self.start(flow, work_ms, step);
            return true;
        }
        let accepted = self.queue.len() < TARGET_QUEUE;
        if accepted {
            self.queue.push_back((flow, work_ms));
        }
        accepted
    }

    fn start(&mut self, flow: FlowKey, work_ms: f64, step: u64) {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let steps = (work_ms / self.speed * STEPS_PER_MS as f64) as u64;
        self.running.push((step + steps.max(1), flow));
    }

    /// Takes a request that is done, and starts the next one.
    fn finish(&mut self, step: u64) -> Option<FlowKey> {
        let position = self.running.iter().position(|(end, _)| *end <= step)?;
        let (_, flow) = self.running.swap_remove(position);
        if let Some((next, work_ms)) = self.queue.pop_front() {
            self.start(next, work_ms, step);
        }
        Some(flow)
    }
}

/// A caller's request with its attempts.
#[derive(Clone, Copy, Debug)]
struct RequestModel {
    route: usize,
    sent_ms: u64,
    work_ms: f64,
    retries: u32,
}

/// The outcome of the requests of one route.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteOutcome {
    sent: u32,
    in_time: u32,
    late: u32,
}

impl RouteOutcome {
    /// Returns the part of the route's value that its callers received.
    pub(crate) fn value(&self, route: &RouteModel) -> f64 {
        let received =
            f64::from(self.in_time) * route.value + f64::from(self.late) * route.late_value;
        received / (f64::from(self.sent) * route.value)
    }
}

/// The outcome of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunOutcome {
    pub(crate) routes: [RouteOutcome; 2],
    /// Rejections by targets.
    pub(crate) rejected: u32,
    /// The longest wait at an agent, as a part of its route's latency objective.
    pub(crate) longest_hold: f64,
}

impl RunOutcome {
    /// Returns the part of the value of all routes that callers received.
    pub(crate) fn total_value(&self) -> f64 {
        let weighted = |weight: fn(&RouteOutcome, &RouteModel) -> f64| -> f64 {
            self.routes
                .iter()
                .zip(&ROUTES)
                .map(|(one, route)| weight(one, route))
                .sum()
        };
        let due = weighted(|one, route| f64::from(one.sent) * route.value);
        weighted(|one, route| one.value(route) * f64::from(one.sent) * route.value) / due
    }
}

/// The targets of a service with their agents, and their clients.
struct ServiceModel {
    rigs: Vec<AdmissionRig>,
    targets: Vec<TargetModel>,
    classes: [Option<RequestClass>; 2],
    idle_flows: Vec<[Vec<FlowKey>; 2]>,
    /// The requests in progress, with the number of their target.
    requests: HashMap<FlowKey, (usize, RequestModel)>,
    /// Attempts that follow, by the time of their start.
    retries: VecDeque<(u64, RequestModel)>,
    next_port: u16,
    random: u64,
    outcome: RunOutcome,
}

/// Runs both routes at `load` times the capacity of the targets. `order` is `None` where the agents
/// know no class.
pub(crate) fn run_orders(order: Option<AdmissionOrder>, load: f64) -> RunOutcome {
    let mut model = ServiceModel::new(order);
    for step in 0..RUN_MS * STEPS_PER_MS {
        model.run_step(step, load);
    }
    model.outcome
}

impl ServiceModel {
    fn new(order: Option<AdmissionOrder>) -> Self {
        let new_rig = |_| {
            let agent: FlowAgent = informed_agent();
            AdmissionRig::with_agent(agent.with_admission_order(order.unwrap_or_default()), None)
        };
        let new_target = |&speed| TargetModel {
            speed,
            running: Vec::new(),
            queue: VecDeque::new(),
        };
        Self {
            rigs: SPEEDS.iter().map(new_rig).collect(),
            targets: SPEEDS.iter().map(new_target).collect(),
            classes: ROUTES.map(|route| order.map(|_| class(route.priority, route.aim_ms))),
            idle_flows: vec![Default::default(); SPEEDS.len()],
            requests: HashMap::new(),
            retries: VecDeque::new(),
            next_port: 1,
            random: 0x9e37_79b9_7f4a_7c15,
            outcome: RunOutcome::default(),
        }
    }

    fn run_step(&mut self, step: u64, load: f64) {
        let now = moment(step);
        for number in 0..self.targets.len() {
            while let Some(flow) = self.targets[number].finish(step) {
                self.end_request(flow, true, step);
                self.rigs[number].respond(flow, now);
                self.submit_released(number, step);
            }
            self.rigs[number].advance(now);
            self.submit_released(number, step);
            if step.is_multiple_of(STEPS_PER_MS * 1_000) {
                self.rigs[number]
                    .agent
                    .expire_idle(crate::admission_rig::IDLE, now);
            }
        }
        while self.retries.front().is_some_and(|(due, _)| *due <= step) {
            let request = self.retries.pop_front().map(|(_, request)| request);
            self.attempt(request.expect("a retry"), step);
        }
        if self.chance(arrivals_per_step(load)) {
            let route = usize::from(!self.chance(ROUTES[0].share));
            let tail = if self.chance(TAIL_PART) {
                TAIL_FACTOR
            } else {
                1.0
            };
            let request = RequestModel {
                route,
                sent_ms: step / STEPS_PER_MS,
                work_ms: ROUTES[route].work_ms * tail,
                retries: 0,
            };
            self.outcome.routes[route].sent += u32::from(MEASURED_MS.contains(&request.sent_ms));
            self.attempt(request, step);
        }
    }

    /// Sends a request: mostly over an open flow, to the target that holds it.
    fn attempt(&mut self, request: RequestModel, step: u64) {
        let number = self.random_target();
        let reuses = request.retries == 0 && !self.chance(NEW_FLOW_PART);
        let opened = if reuses {
            let flow = self.idle_flows[number][request.route].pop();
            let flow = flow.or_else(|| self.open_last(number, request.route, step));
            flow.map(|flow| (number, flow))
        } else {
            self.open_at_any(number, request.route, step)
        };
        let Some((number, flow)) = opened else {
            return self.retry(request, step);
        };
        self.requests.insert(flow, (number, request));
        let held = self.rigs[number].request(flow, moment(step)) == AgentStep::Hold;
        self.submit_released(number, step);
        if !held {
            self.submit(number, flow, step);
        }
    }

    /// Offers a flow to each target in turn. Returns the one that accepted it.
    fn open_at_any(&mut self, first: usize, route: usize, step: u64) -> Option<(usize, FlowKey)> {
        let flow = self.new_flow(route);
        for tried in 0..SPEEDS.len() {
            let number = (first + tried) % SPEEDS.len();
            let rest = &[2, 3, 4, 5, 6][tried..];
            if self.offer(number, flow, route, rest, step) {
                return Some((number, flow));
            }
        }
        None
    }

    fn open_last(&mut self, number: usize, route: usize, step: u64) -> Option<FlowKey> {
        let flow = self.new_flow(route);
        self.offer(number, flow, route, &[], step).then_some(flow)
    }

    fn offer(
        &mut self,
        number: usize,
        flow: FlowKey,
        route: usize,
        rest: &[u8],
        step: u64,
    ) -> bool {
        let rig = &mut self.rigs[number];
        rig.class = self.classes[route];
        let accepted = matches!(
            rig.offer(flow, rest, moment(step)),
            AgentStep::Deliver { .. }
        );
        if accepted {
            rig.target_packet(&answer(flow), moment(step));
        }
        accepted
    }

    fn new_flow(&mut self, route: usize) -> FlowKey {
        self.next_port += 1;
        [other_route(self.next_port), flow(self.next_port)][route]
    }

    /// Hands a request to its target, which may reject it.
    fn submit(&mut self, number: usize, flow: FlowKey, step: u64) {
        let work_ms = self.requests[&flow].1.work_ms;
        if !self.targets[number].submit(flow, work_ms, step) {
            self.outcome.rejected += 1;
            self.end_request(flow, false, step);
            self.rigs[number].respond(flow, moment(step));
            self.submit_released(number, step);
        }
    }

    fn submit_released(&mut self, number: usize, step: u64) {
        for released in self.rigs[number].released() {
            let (_, request) = self.requests[&released.flow];
            let part =
                released.waited.as_secs_f64() * 1_000.0 / f64::from(ROUTES[request.route].aim_ms);
            self.outcome.longest_hold = self.outcome.longest_hold.max(part);
            self.submit(number, released.flow, step);
        }
    }

    /// Records an answer: of a request that ran, or that the target rejected.
    fn end_request(&mut self, flow: FlowKey, served: bool, step: u64) {
        let (number, request) = self.requests.remove(&flow).expect("a request");
        self.idle_flows[number][request.route].push(flow);
        if !served {
            return self.retry(request, step);
        }
        let took_ms = step / STEPS_PER_MS - request.sent_ms;
        let (route, outcome) = (
            &ROUTES[request.route],
            &mut self.outcome.routes[request.route],
        );
        if MEASURED_MS.contains(&request.sent_ms) {
            outcome.in_time += u32::from(took_ms <= route.aim_ms.into());
            outcome.late += u32::from(took_ms > route.aim_ms.into() && took_ms <= route.timeout_ms);
        }
    }

    fn retry(&mut self, mut request: RequestModel, step: u64) {
        request.retries += 1;
        if request.retries <= MAX_RETRIES {
            self.retries
                .push_back((step + RETRY_DELAY_MS * STEPS_PER_MS, request));
        }
    }

    /// A number from 0 to 1, the same in each run.
    fn random(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn chance(&mut self, part: f64) -> bool {
        self.random() < part
    }

    /// A target, in proportion to its speed.
    fn random_target(&mut self) -> usize {
        let mut left = self.random() * SPEEDS.iter().sum::<f64>();
        let chosen = SPEEDS.iter().position(|speed| {
            left -= speed;
            left < 0.0
        });
        chosen.unwrap_or(0)
    }
}

fn moment(step: u64) -> Moment {
    at(step / STEPS_PER_MS)
        + std::time::Duration::from_micros(step % STEPS_PER_MS * 1_000 / STEPS_PER_MS)
}

/// Returns how many requests arrive in a step at `load` times the capacity.
fn arrivals_per_step(load: f64) -> f64 {
    let work = ROUTES
        .iter()
        .map(|route| route.share * route.work_ms)
        .sum::<f64>();
    let work = work * (1.0 + TAIL_PART * (TAIL_FACTOR - 1.0));
    let capacity = SPEEDS.iter().sum::<f64>() * f64::from(SLOTS) / work;
    load * capacity / STEPS_PER_MS as f64
}
