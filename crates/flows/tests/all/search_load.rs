//! Searches for many flows at once, while answers are late or lost.
//!
//! After a power loss, all clients of a balancer send on flows that no target holds. What a balancer
//! sends for them must not grow with what fails: with late answers, with lost ones, or with the
//! copies that clients send meanwhile.

use std::collections::{BTreeMap, BTreeSet};

use lovagelatch_catalog::{PublishedTarget, TargetName};
use lovagelatch_domain::AgentAddress;
use lovagelatch_flows::{
    BalancerStep, DueSearch, FlowBalancer, FlowEvent, FlowKey, FlowUpdate, FlowView, PeerFrame,
    SearchFrames, SearchResult,
};
use smallvec::smallvec;

use crate::empty_fleet::delegated_agents;
use crate::support::{
    agent, at, balancer, builder, catalog, claims_view, data, flow, flow_update, idle_load, target,
};

enum FleetAnswer {
    Update(FlowUpdate),
    Result(SearchResult),
}

/// Agents whose frames and answers take some time. Time advances in steps of one millisecond.
struct LateFleet<'a> {
    balancer: &'a FlowBalancer,
    view: &'a FlowView,
    /// How long frames and answers take, each way.
    delay_ms: u64,
    /// Until when a third of the answers are lost.
    lossy_until: u64,
    silent: BTreeSet<AgentAddress>,
    /// Flows that are held, each by the agent of a target.
    held: BTreeMap<FlowKey, AgentAddress>,
    answers: BTreeMap<u64, Vec<FleetAnswer>>,
    millis: u64,
    /// How often each agent was shown a packet of each flow.
    shown: BTreeMap<(FlowKey, AgentAddress), usize>,
    /// Frames that the balancer sent.
    frame_count: usize,
    /// When each lost flow was reset, and each held one was found.
    ended: BTreeMap<FlowKey, u64>,
    /// State of the generator that decides which answers are lost.
    random: u64,
}

impl<'a> LateFleet<'a> {
    fn new(balancer: &'a FlowBalancer, view: &'a FlowView, delay_ms: u64) -> Self {
        Self {
            balancer,
            view,
            delay_ms,
            lossy_until: 0,
            silent: BTreeSet::new(),
            held: BTreeMap::new(),
            answers: BTreeMap::new(),
            millis: 0,
            shown: BTreeMap::new(),
            frame_count: 0,
            ended: BTreeMap::new(),
            random: 1,
        }
    }

    fn shown_count(&self) -> usize {
        self.shown.values().sum()
    }

    fn is_lost(&mut self) -> bool {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = self.random.wrapping_add(1_442_695_040_888_963_407);
        self.millis < self.lossy_until && (self.random >> 33).is_multiple_of(3)
    }

    fn answer(&mut self, after_ms: u64, answer: FleetAnswer) {
        if !self.is_lost() {
            let due = self.millis + after_ms;
            self.answers.entry(due).or_default().push(answer);
        }
    }

    fn show(&mut self, flow: FlowKey, agent: AgentAddress) {
        *self.shown.entry((flow, agent)).or_default() += 1;
    }

    fn answer_own(&mut self, flow: FlowKey, agent: AgentAddress) {
        let event = if self.held.get(&flow) == Some(&agent) {
            FlowEvent::Opened
        } else {
            FlowEvent::Absent
        };
        let update = flow_update(flow, agent, event);
        self.answer(2 * self.delay_ms, FleetAnswer::Update(update));
    }

    fn send(&mut self, flow: FlowKey, frames: &SearchFrames) {
        self.frame_count += frames.len();
        for (to, frame) in frames {
            self.show(flow, *to);
            if self.silent.contains(to) {
                continue;
            }
            self.answer_own(flow, *to);
            if let PeerFrame::Errand(search) = frame {
                self.run_delegated_search(flow, *to, &delegated_agents(*to, search));
            }
        }
    }

    /// A delegate queries the others, which answer it at once.
    fn run_delegated_search(
        &mut self,
        flow: FlowKey,
        delegate: AgentAddress,
        others: &[AgentAddress],
    ) {
        let mut silent = smallvec![];
        for &other in others {
            self.show(flow, other);
            if self.held.get(&flow) == Some(&other) {
                self.answer_own(flow, other);
                silent.push(other);
            } else if self.silent.contains(&other) {
                silent.push(other);
            }
        }
        let wait_ms = if silent.is_empty() { 1 } else { 60 };
        let result = SearchResult {
            flow,
            delegate,
            silent,
        };
        self.answer(2 * self.delay_ms + wait_ms, FleetAnswer::Result(result));
    }

    fn send_packet(&mut self, flow: FlowKey) {
        let now = at(self.millis);
        let step = self
            .balancer
            .handle_packet(&data(flow), b"data", self.view, now);
        match step {
            BalancerStep::Search(frames) => self.send(flow, &frames),
            BalancerStep::Lost | BalancerStep::Send { .. } => self.end(flow),
            BalancerStep::Drop => {}
            other => panic!("{other:?}"),
        }
    }

    fn end(&mut self, flow: FlowKey) {
        self.ended.entry(flow).or_insert(self.millis);
    }

    /// Advances the time by one millisecond.
    fn step(&mut self) {
        self.millis += 1;
        let now = at(self.millis);
        for answer in self.answers.remove(&self.millis).unwrap_or_default() {
            let reset = match answer {
                FleetAnswer::Update(update) => {
                    let reset = self.balancer.handle_flow_update(&update, now).reset;
                    if update.event == FlowEvent::Opened {
                        self.end(update.flow);
                    }
                    reset
                }
                FleetAnswer::Result(result) => self.balancer.handle_search_result(&result, now),
            };
            if let Some(reset) = reset {
                self.end(reset.flow);
            }
        }
        for probed in self.balancer.due_probes(now) {
            if !self.silent.contains(&probed) && !self.is_lost() {
                self.balancer.record_load(&idle_load(probed), now);
            }
        }
        for due in self.balancer.due_searches(self.view, now) {
            match due {
                DueSearch::Query { flow, frames, .. } => self.send(flow, &frames),
                DueSearch::Lost(reset) => self.end(reset.flow),
                DueSearch::Abandoned { .. } => panic!("search abandoned"),
            }
        }
    }

    /// Lets the clients of these flows send copies at an interval until their flows have ended, at
    /// most until `until_ms`. The clients begin within the first interval.
    fn run(&mut self, ports: std::ops::Range<u16>, interval_ms: u64, until_ms: u64) {
        while self.millis < until_ms {
            for port in ports.clone() {
                let is_due = (self.millis + u64::from(port)).is_multiple_of(interval_ms);
                if is_due && !self.ended.contains_key(&flow(port)) {
                    self.send_packet(flow(port));
                }
            }
            self.step();
        }
    }
}

struct LateCase {
    name: &'static str,
    targets: u8,
    delay_ms: u64,
    /// Interval between the copies of a client's packet.
    interval_ms: u64,
    /// Whether a third of the answers are lost for the first three seconds.
    lossy: bool,
    /// Limit on queries, in multiples of flows times agents.
    most: usize,
}

// Guards against a balancer that searches for the same lost flows for ten seconds and longer after a
// power loss. It reads its answers late and loses some, so each search queries all agents again, and
// the additional answers make the others late.
#[test]
fn queries_for_lost_flows_are_bounded_whatever_is_late_or_lost() {
    const FLOWS: u16 = 150;
    const LOSSY_MS: u64 = 3_000;
    let late = LateCase {
        name: "two phases, answers late and lost",
        targets: 40,
        delay_ms: 100,
        interval_ms: 200,
        lossy: true,
        most: 4,
    };
    let cases = [
        LateCase { ..late },
        LateCase {
            name: "two phases, ten times the copies",
            interval_ms: 20,
            ..late
        },
        LateCase {
            name: "one phase",
            targets: 12,
            ..late
        },
        LateCase {
            name: "one phase, ten times the copies",
            targets: 12,
            interval_ms: 20,
            ..late
        },
        LateCase {
            name: "answers in time, some lost",
            delay_ms: 1,
            most: 3,
            ..late
        },
        LateCase {
            name: "answers in time",
            delay_ms: 1,
            lossy: false,
            most: 1,
            ..late
        },
    ];
    for case in cases {
        let view = claims_view(case.targets);
        let balancer = FlowBalancer::new(balancer());
        balancer.record_load(&idle_load(agent(3)), at(0));
        let mut fleet = LateFleet::new(&balancer, &view, case.delay_ms);
        fleet.lossy_until = if case.lossy { LOSSY_MS } else { 0 };
        fleet.run(1..FLOWS + 1, case.interval_ms, LOSSY_MS + 6_000);
        let most = case.most * usize::from(FLOWS) * usize::from(case.targets);
        let shown = fleet.shown_count();
        assert!(shown <= most, "{}: {shown} queries", case.name);
        let reset = fleet.ended.len();
        assert_eq!(reset, usize::from(FLOWS), "{}: flows reset", case.name);
    }
}

struct HeldCase {
    name: &'static str,
    delay_ms: u64,
    /// Whether half of the agents are silent.
    half_silent: bool,
    /// Limit on the time until the held flow is found.
    most_ms: u64,
}

// Guards against an open flow whose client gets no response until its deadline, because its search
// waits behind those of 150 lost flows. It waits for at most ten rounds of sixteen searches. Each
// leaves the window after two timeouts of 150 ms if answers are late, and earlier if the agents that
// answer do so at once.
#[test]
fn a_held_flow_is_found_while_the_window_is_full_of_lost_ones() {
    let cases = [
        HeldCase {
            name: "answers in time",
            delay_ms: 1,
            half_silent: false,
            most_ms: 60,
        },
        HeldCase {
            name: "answers late",
            delay_ms: 100,
            half_silent: false,
            most_ms: 3_300,
        },
        HeldCase {
            name: "half of the agents are silent",
            delay_ms: 1,
            half_silent: true,
            most_ms: 1_200,
        },
    ];
    for case in cases {
        let view = claims_view(40);
        let balancer = FlowBalancer::new(balancer());
        let mut fleet = LateFleet::new(&balancer, &view, case.delay_ms);
        if case.half_silent {
            fleet.silent = (21..=40).map(agent).collect();
        }
        for port in 1..=150 {
            fleet.send_packet(flow(port));
        }
        let held = flow(151);
        fleet.held.insert(held, agent(7));
        fleet.send_packet(held);
        let counts = balancer.search_counts();
        assert!(counts.in_flight <= 16, "{}: {counts:?}", case.name);
        fleet.run(1..152, 400, case.most_ms + 1);
        let found = fleet.ended.get(&held);
        assert!(
            found.is_some_and(|millis| *millis <= case.most_ms),
            "{}: {found:?}",
            case.name
        );
        assert_eq!(balancer.agent_of(&held), Some(agent(7)), "{}", case.name);
    }
}

// Guards against agents that are asked about the same flow again every 150 ms for as long as the
// view is incomplete, although an absence that was reported once stays true.
#[test]
fn an_inconclusive_search_queries_no_agent_twice() {
    for targets in [3, 40] {
        let mut builder = builder();
        builder.record_store_failure(at(0));
        let targets = (1..=targets).map(|number| target(number, "claims"));
        builder.apply(&catalog(targets.collect()), at(0));
        let view = builder.build(at(0));
        assert!(!view.is_complete());
        let balancer = FlowBalancer::new(balancer());
        let mut fleet = LateFleet::new(&balancer, &view, 1);
        fleet.run(1..4, 200, 5_000);
        assert_eq!(fleet.ended.len(), 0, "absence at all proves nothing");
        let most = fleet.shown.values().max();
        assert_eq!(most, Some(&1), "{} targets", view_size(&view));
    }
}

fn view_size(view: &FlowView) -> usize {
    view.service(crate::support::claims())
        .map_or(0, |ring| ring.targets().len())
}

/// A later start of the target beside an agent, under another name.
fn later_target(number: u8) -> PublishedTarget {
    PublishedTarget {
        name: TargetName(format!("i-{number}-later").into()),
        ..target(number, "claims")
    }
}

struct NewTargetCase {
    name: &'static str,
    /// Whether the view is complete once it lists the new target.
    complete: bool,
    /// How many targets the first view lists; above 16 a search has two phases.
    targets: u8,
}

// Guards against the reset of a flow, or its loss until the deadline, while a target holds it. All
// agents have reported the flow as absent in an incomplete view; then another target is listed at
// the address of one of them. Its agent has to be queried, although the address is known.
#[test]
fn a_lost_flow_is_found_at_a_new_target_of_a_known_agent() {
    let case = |name, complete, targets| NewTargetCase {
        name,
        complete,
        targets,
    };
    let cases = [
        case("one phase, incomplete view", false, 3),
        case("one phase, complete view", true, 3),
        case("two phases, incomplete view", false, 40),
        case("two phases, complete view", true, 40),
    ];
    for case in cases {
        let mut builder = builder();
        let targets = (1..=case.targets).map(|number| target(number, "claims"));
        let mut targets: Vec<_> = targets.collect();
        builder.set_informed(false);
        builder.apply(&catalog(targets.clone()), at(0));
        let view = builder.build(at(0));
        let balancer = FlowBalancer::new(balancer());
        let mut fleet = LateFleet::new(&balancer, &view, 1);
        fleet.send_packet(flow(1));
        fleet.run(1..2, 300, 100);
        let shown = fleet.shown_count();
        assert_eq!(shown, usize::from(case.targets), "{}", case.name);
        targets[1] = later_target(2);
        builder.apply(&catalog(targets), at(100));
        builder.set_informed(case.complete);
        let view = builder.build(at(100));
        fleet.view = &view;
        fleet.held.insert(flow(1), agent(2));
        fleet.run(1..2, 300, 400);
        assert_eq!(balancer.agent_of(&flow(1)), Some(agent(2)), "{}", case.name);
        let shown = fleet.shown_count();
        assert_eq!(shown, usize::from(case.targets) + 1, "{}", case.name);
    }
}

// Guards against queries that multiply with a client's copies of a packet while the first answers
// are on their way. Other data still has to reach its target at once.
#[test]
fn a_copy_queries_no_agent_whose_answer_is_not_overdue() {
    for targets in [3, 12, 40] {
        let view = claims_view(targets);
        let balancer = FlowBalancer::new(balancer());
        let send = |packet, millis| balancer.handle_packet(&packet, b"data", &view, at(millis));
        let first = send(data(flow(1)), 0);
        let first_count = match &first {
            BalancerStep::Search(frames) => frames.len(),
            other => panic!("not searched: {other:?}"),
        };
        for millis in [1, 20, 40, 60] {
            let step = send(data(flow(1)), millis);
            assert_eq!(step, BalancerStep::Drop, "{targets} targets, {millis} ms");
        }
        let mut next = data(flow(1));
        next.sequence += u32::from(next.data_bytes);
        let step = send(next, 61);
        assert!(matches!(step, BalancerStep::Search(frames) if frames.len() == first_count));
        let overdue = send(data(flow(1)), 140);
        assert!(matches!(overdue, BalancerStep::Search(frames) if frames.len() == first_count));
    }
}

// Guards against a small balancer that is busy with datagrams for seconds after a power loss: it
// sends sixteen and receives sixteen for each lost flow, where a delegate can send and receive them.
#[test]
fn candidates_are_queried_through_a_delegate_while_many_searches_are_in_flight() {
    let view = claims_view(40);
    let balancer = FlowBalancer::new(balancer());
    for number in 1..=40 {
        balancer.record_load(&idle_load(agent(number)), at(0));
    }
    let counts: Vec<_> = (1..=20)
        .map(|port| {
            let step = balancer.handle_packet(&data(flow(port)), b"data", &view, at(1));
            let BalancerStep::Search(frames) = step else {
                panic!("not searched: {step:?}");
            };
            frames.len()
        })
        .collect();
    assert_eq!(counts[..4], [16; 4], "a few are queried directly");
    assert_eq!(counts[4..16], [1; 12], "the others through a delegate");
    assert_eq!(counts[16..], [0; 4], "above the limit they wait");
    let counts = balancer.search_counts();
    assert_eq!((counts.in_flight, counts.waiting), (16, 4));
    // The client of a waiting search opens a new flow: no search is left for it.
    let absent = |port, frames: &[AgentAddress]| {
        for &agent in frames {
            balancer.handle_flow_update(&flow_update(flow(port), agent, FlowEvent::Absent), at(2));
        }
    };
    let all: Vec<_> = (1..=40).map(agent).collect();
    absent(1, &all);
    let started = balancer.due_searches(&view, at(2));
    assert!(!started.is_empty(), "a waiting search starts");
    assert!(balancer.search_counts().in_flight <= 16);
}
