//! Time of a balancer's decision about one packet.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use lovagelatch_catalog::{
    Catalog, PublishedRoute, PublishedTarget, RouteShare, TargetName, TargetRow, TargetStart,
};
use lovagelatch_domain::{AgentAddress, ConfigRevision, Moment, ServiceName};
use lovagelatch_flows::{
    FlowBalancer, FlowEvent, FlowKey, FlowPacket, FlowUpdate, FlowView, FlowViewBuilder,
    LoadReport, PacketFlags, ViewSettings,
};
use smallvec::smallvec;

const FLOWS: u16 = 1_024;

fn service() -> ServiceName {
    "claims".parse().expect("a service")
}

fn agent(number: u16) -> AgentAddress {
    let [high, low] = number.to_be_bytes();
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7_720))
}

fn route_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080)
}

fn view(targets: u16) -> FlowView {
    let zone = "hall-a".parse().expect("a zone");
    let mut builder = FlowViewBuilder::new(ViewSettings {
        regions: Vec::new(),
        zone,
        agent_port: 7_720,
        flow_lifetime: Duration::from_secs(60),
    });
    let targets = (0..targets).map(|number| PublishedTarget {
        name: TargetName(format!("i-{number:05}").into()),
        service: service(),
        address: agent(number).0,
        zone: "hall-a".parse().expect("a zone"),
        slots: 3,
        leaving: false,
        warming_ms: 0,
        start: TargetStart::default(),
    });
    let catalog = Catalog {
        version: ConfigRevision(1),
        idle_timeout: Duration::from_secs(15),
        routes: vec![PublishedRoute {
            address: route_address(),
            name: "r".to_owned(),
            idempotent: true,
            policy: None,
            homes: Box::default(),
            shares: smallvec![RouteShare {
                service: service(),
                weight: 1,
                warmup: None,
                max_flows: None,
            }],
        }]
        .into(),
        targets: targets.map(TargetRow::Published).collect::<Vec<_>>().into(),
        unrouted: Arc::default(),
        zones_revision: 1.into(),
        evacuated: Arc::default(),
    };
    builder.apply(&catalog, Moment::ZERO);
    builder.build(Moment::ZERO)
}

fn packet(port: u16, opens: bool) -> FlowPacket {
    FlowPacket {
        flow: FlowKey {
            client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
            service_address: route_address(),
        },
        flags: PacketFlags {
            syn: opens,
            ack: !opens,
            ..PacketFlags::default()
        },
        sequence: 1,
        acknowledged: 2,
        data_bytes: 0,
        tag: 0,
    }
}

fn balancer() -> FlowBalancer {
    FlowBalancer::new(agent(60_000))
}

fn known_flow(criterion: &mut Criterion) {
    let (balancer, view) = (balancer(), view(7));
    for port in 0..FLOWS {
        let update = FlowUpdate {
            flow: packet(port, false).flow,
            event: FlowEvent::Opened,
            load: LoadReport::idle(agent(port % 7), service().id()),
        };
        balancer.handle_flow_update(&update, Moment::ZERO);
    }
    let mut port = 0;
    criterion.bench_function("known flow", |bencher| {
        bencher.iter(|| {
            port = (port + 1) % FLOWS;
            let packet = packet(port, false);
            black_box(balancer.handle_packet(&packet, b"packet", &view, Moment::ZERO))
        });
    });
}

fn new_flow(criterion: &mut Criterion) {
    for targets in [7, 42, 1_000] {
        let name = format!("new flow, {targets} targets");
        new_flow_with(criterion, &name, targets, |_, _| {});
    }
    new_flow_with(criterion, "new flow, 1000 reporting targets", 1_000, report);
}

/// Reports the load of every target, with a learned service time.
fn report(balancer: &FlowBalancer, now: Moment) {
    for number in 0..1_000 {
        let load = LoadReport {
            in_progress: number % 5,
            flows: 20 + u32::from(number % 7),
            average_milli: 1_000,
            service_time_us: NonZeroU32::new(20_000 + u32::from(number)),
            ..LoadReport::idle(agent(number), service().id())
        };
        balancer.record_load(&load, now);
    }
}

/// Measures new flows, with a call of `refresh` after each thousand.
fn new_flow_with(
    criterion: &mut Criterion,
    name: &str,
    targets: u16,
    refresh: fn(&FlowBalancer, Moment),
) {
    let (balancer, view) = (balancer(), view(targets));
    let mut count = 0_u64;
    refresh(&balancer, Moment::ZERO);
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            count += 1;
            let packet = packet(u16::try_from(count % 50_000).unwrap_or(0), true);
            let now = Moment::from_millis(count * 2);
            if count.is_multiple_of(1_000) {
                black_box(balancer.due_offers(&view, now + Duration::from_secs(9)));
                balancer.expire_idle(Duration::from_secs(1), now);
                refresh(&balancer, now);
            }
            black_box(balancer.handle_packet(&packet, b"packet", &view, now))
        });
    });
}

fn unknown_flow(criterion: &mut Criterion) {
    for targets in [7, 42, 1_000] {
        let (balancer, view) = (balancer(), view(targets));
        let mut port = 0;
        let name = format!("unknown flow, {targets} targets");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                port = (port + 1) % 50_000;
                let packet = packet(port, false);
                black_box(balancer.handle_packet(&packet, b"packet", &view, Moment::ZERO))
            });
        });
    }
}

/// The first packet of an unknown flow while few searches are in flight. Time advances so that each
/// search has left the window before the next one begins.
fn first_query(criterion: &mut Criterion) {
    for targets in [7, 42, 1_000] {
        let (balancer, view) = (balancer(), view(targets));
        let mut count = 0_u64;
        let name = format!("first query, {targets} targets");
        criterion.bench_function(&name, |bencher| {
            bencher.iter(|| {
                count += 1;
                let packet = packet(u16::try_from(count % 50_000).unwrap_or(0), false);
                let now = Moment::from_millis(count * 200);
                black_box(balancer.handle_packet(&packet, b"packet", &view, now))
            });
        });
    }
}

criterion_group!(decisions, known_flow, new_flow, unknown_flow, first_query);
criterion_main!(decisions);
