//! Time of an agent's decisions about the packets of open flows.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use lovagelatch_domain::{AgentAddress, ConfigRevision, Moment, ServiceId, ServiceName};
use lovagelatch_flows::{
    AgentSettings, FlowAgent, FlowKey, FlowPacket, FramePurpose, PacketFlags, PacketFrame,
    RequestClass, WarmupSettings,
};

const FLOWS: u16 = 1_024;
const TARGET_SEQUENCE: u32 = 5_000;

fn service() -> ServiceId {
    let name: ServiceName = "claims".parse().expect("a service");
    name.id()
}

fn address(last: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, last), 7_720))
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080),
    }
}

fn packet(port: u16, sequence: u32, data_bytes: u16) -> FlowPacket {
    FlowPacket {
        flow: flow(port),
        flags: PacketFlags {
            ack: true,
            ..PacketFlags::default()
        },
        sequence,
        acknowledged: TARGET_SEQUENCE + 1,
        data_bytes,
        tag: 0,
    }
}

fn frame(purpose: FramePurpose, class: Option<RequestClass>) -> PacketFrame {
    PacketFrame {
        slots: 2,
        zones_revision: 1.into(),
        class: class.map(Box::new),
        ..PacketFrame::new(purpose, service(), address(200))
    }
}

/// An agent with open flows, whose offers named `class`.
fn agent_with_flows(class: Option<RequestClass>) -> FlowAgent {
    let settings = AgentSettings {
        own_address: address(1),
        service: service(),
        started_with_target: true,
        flow_lifetime: Duration::from_secs(60),
        warmup: WarmupSettings {
            overshoot: 1.5,
            slack: 5.0,
        },
    };
    let mut agent = FlowAgent::new(settings, Moment::ZERO);
    for port in 0..FLOWS {
        let now = Moment::from_millis(u64::from(port) * 200);
        let flags = |ack| PacketFlags {
            syn: true,
            ack,
            ..PacketFlags::default()
        };
        let opening = FlowPacket {
            flags: flags(false),
            ..packet(port, 1_000, 0)
        };
        agent.handle_frame(frame(FramePurpose::Offer, class), &opening, now);
        let answer = FlowPacket {
            flags: flags(true),
            ..packet(port, TARGET_SEQUENCE, 0)
        };
        agent.handle_target_packet(&answer, now);
        let known = frame(FramePurpose::Known, None);
        agent.handle_frame(known, &packet(port, 1_001, 0), now);
    }
    agent
}

fn open_flows(criterion: &mut Criterion) {
    let class = RequestClass {
        version: ConfigRevision(1),
        priority: 1,
        aim_ms: 400,
        timeout_ms: 2_000,
        idempotent: true,
        max_flows: None,
    };
    for (name, class) in [("no class", None), ("class", Some(class))] {
        let mut agent = agent_with_flows(class);
        let mut events = Vec::new();
        let (mut count, start) = (0_u32, Moment::from_millis(u64::from(FLOWS) * 200));
        criterion.bench_function(&format!("acknowledgement, {name}"), |bencher| {
            bencher.iter(|| {
                count = count.wrapping_add(1);
                let port = u16::try_from(count % u32::from(FLOWS)).unwrap_or_default();
                let known = frame(FramePurpose::Known, None);
                let step = agent.handle_frame(known, &packet(port, 1_001, 0), start);
                agent.take_admission_events(&mut events);
                black_box(step)
            });
        });
        let mut now = start;
        criterion.bench_function(&format!("request and answer, {name}"), |bencher| {
            bencher.iter(|| {
                count = count.wrapping_add(1);
                let port = u16::try_from(count % u32::from(FLOWS)).unwrap_or_default();
                let round = count / u32::from(FLOWS);
                let known = frame(FramePurpose::Known, None);
                let request = packet(port, 1_001u32.wrapping_add(round * 100), 100);
                let step = agent.handle_frame(known, &request, now);
                agent.take_admission_events(&mut events);
                black_box(step);
                now = now + Duration::from_millis(10);
                let response = packet(port, 5_001u32.wrapping_add(round * 100), 100);
                let step = agent.handle_target_packet(&response, now);
                agent.take_admission_events(&mut events);
                events.clear();
                agent.advance_admission(now);
                black_box(step)
            });
        });
    }
}

criterion_group!(decisions, open_flows);
criterion_main!(decisions);
