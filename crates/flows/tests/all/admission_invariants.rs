//! Random packets of clients and targets, with the agent's steps executed as the packet thread does.

use std::collections::HashMap;

use lovagelatch_domain::Moment;
use lovagelatch_flows::{
    AdmissionEvent, AgentStep, FlowAgent, FlowKey, FlowPacket, FramePurpose, PacketFlags,
    PacketFrame,
};

use crate::admission_rig::{IDLE, class, ending, other_route};
use crate::agent::{answer, frame, informed_agent, returned};
use crate::support::{at, data, flow, opening};

const SEEDS: u64 = 300;
const STEPS: u64 = 600;
const FLOWS: u16 = 40;

/// The longest that a request may wait.
const BOUND_MS: u64 = 100;

/// A generator of the same numbers in each run.
struct NumberSource(u64);

impl NumberSource {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }
}

/// An agent, with what clients sent and what its target received.
struct PacketWorld {
    agent: FlowAgent,
    now_ms: u64,
    /// Packets of open flows that clients sent, numbered in their order.
    sent: HashMap<FlowKey, u32>,
    received: HashMap<FlowKey, u32>,
    held: HashMap<FlowKey, Vec<(u32, u64)>>,
    answered: HashMap<FlowKey, u32>,
    held_total: u32,
}

impl PacketWorld {
    fn new() -> Self {
        Self {
            agent: informed_agent(),
            now_ms: 0,
            sent: HashMap::new(),
            received: HashMap::new(),
            held: HashMap::new(),
            answered: HashMap::new(),
            held_total: 0,
        }
    }

    fn now(&self) -> Moment {
        at(self.now_ms)
    }

    fn offer(&mut self, flow: FlowKey) {
        let priority = u8::from(flow.service_address == other_route(0).service_address);
        let offer = PacketFrame {
            class: Some(Box::new(class(priority, 400))),
            ..frame(FramePurpose::Offer, &[2])
        };
        let (step, _) = self.agent.handle_frame(offer, &opening(flow), self.now());
        self.execute_events();
        if matches!(step, AgentStep::Deliver { .. }) {
            self.agent.handle_target_packet(&answer(flow), self.now());
            self.execute_events();
        }
    }

    /// A client's packet of an open flow: the request, more of it, a copy or an acknowledgement.
    fn client_packet(&mut self, flow: FlowKey, choice: u64) {
        let sent = self.sent.get(&flow).copied().unwrap_or_default();
        let mut packet = FlowPacket {
            sequence: 1_001 + sent * 100,
            ..data(flow)
        };
        match choice {
            0 => packet.sequence = 1_001,
            1 => packet.data_bytes = 0,
            2 => packet.flags.fin = true,
            3 => packet.flags.rst = true,
            _ => {}
        }
        let known = frame(FramePurpose::Known, &[]);
        let (step, _) = self.agent.handle_frame(known, &packet, self.now());
        self.execute_events();
        match step {
            AgentStep::Hold => {
                self.sent.insert(flow, sent + 1);
                let held = self.held.entry(flow).or_default();
                held.push((sent, self.now_ms));
                self.held_total += 1;
            }
            AgentStep::Deliver { tag: 0 } => {
                self.sent.insert(flow, sent + 1);
                self.receive(flow, sent);
            }
            // The flow is not open here.
            _ => {}
        }
    }

    fn target_packet(&mut self, flow: FlowKey, choice: u64) {
        let answered = self.answered.entry(flow).or_default();
        let mut packet = FlowPacket {
            sequence: 5_001 + *answered * 100,
            ..data(flow)
        };
        *answered += 1;
        match choice {
            0 => packet.flags.fin = true,
            1 => {
                let flags = PacketFlags {
                    rst: true,
                    ..PacketFlags::default()
                };
                packet = ending(flow, flags);
            }
            2 => packet = returned(&data(flow), 0),
            _ => {}
        }
        self.agent.handle_target_packet(&packet, self.now());
        self.execute_events();
    }

    fn pass_time(&mut self, millis: u64) {
        // In steps of the time at which the packet thread wakes up.
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.now_ms += 1;
            self.agent.advance_admission(self.now());
            self.execute_events();
        }
        self.agent.expire_idle(IDLE, self.now());
    }

    fn execute_events(&mut self) {
        let mut events = Vec::new();
        self.agent.take_admission_events(&mut events);
        for event in events {
            let AdmissionEvent::Released(delivery) = event else {
                continue;
            };
            let held = self.held.remove(&delivery.flow);
            for (number, since) in held.expect("the packets of a released request") {
                assert!(self.now_ms - since <= BOUND_MS, "held since {since}");
                self.receive(delivery.flow, number);
            }
        }
    }

    /// The target receives a packet of a flow, which must be the next one.
    fn receive(&mut self, flow: FlowKey, number: u32) {
        let next = self.received.entry(flow).or_default();
        assert_eq!(number, *next, "the packets of {flow:?} are out of order");
        *next += 1;
    }

    fn check(&mut self) {
        let status = self.agent.status(self.now());
        assert_eq!(usize::from(status.load.waiting), self.held.len());
    }
}

// Guards against packets of an open flow that holding loses, reorders, duplicates or keeps for too
// long, and against counters that drift, whatever clients and the target do meanwhile.
#[test]
fn held_packets_arrive_once_in_order_and_in_time() {
    let mut held_total = 0;
    for seed in 1..=SEEDS {
        let mut numbers = NumberSource(seed * 0x9e37_79b9);
        let mut world = PacketWorld::new();
        for _ in 0..STEPS {
            let port = u16::try_from(numbers.below(FLOWS.into())).expect("small");
            let flow = if port % 2 == 0 {
                flow(port)
            } else {
                other_route(port)
            };
            match numbers.below(20) {
                0..4 => world.offer(flow),
                4..13 => world.client_packet(flow, numbers.below(40)),
                13..18 => world.target_packet(flow, numbers.below(60)),
                _ => world.pass_time(numbers.below(12)),
            }
            world.check();
        }
        if seed % 2 == 0 {
            world.agent.set_leaving();
            world.pass_time(1);
        } else {
            world.pass_time(BOUND_MS);
        }
        assert_eq!(world.sent, world.received, "seed {seed}");
        world.pass_time(5_000);
        let status = world.agent.status(world.now());
        assert_eq!(
            (status.in_service, status.load.in_progress),
            (0, 0),
            "seed {seed}"
        );
        held_total += world.held_total;
    }
    assert!(held_total > 10_000, "only {held_total} packets were held");
}
