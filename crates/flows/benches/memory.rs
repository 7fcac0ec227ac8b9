//! Memory that one flow takes at a balancer and at an agent.

use std::alloc::{GlobalAlloc, Layout, System};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicIsize, Ordering};
use std::time::{Duration, Instant};

use lovagelatch_catalog::{
    CatalogTables, PublishedConfig, PublishedRoute, PublishedTarget, RouteShare, StoreAnswer,
    StoreEvent, TargetName, TargetRow, TargetStart,
};
use lovagelatch_domain::{
    AgentAddress, ConfigRevision, Moment, ServiceId, ServiceName, StoreEra, ZoneName,
};
use lovagelatch_flows::{
    AgentSettings, FlowAgent, FlowBalancer, FlowEvent, FlowKey, FlowPacket, FlowUpdate, FlowView,
    FlowViewBuilder, LoadReport, PacketFlags, ViewSettings, WarmupSettings,
};
use smallvec::smallvec;

/// Counts allocated bytes.
struct CountingAllocator;

static HELD: AtomicIsize = AtomicIsize::new(0);

// SAFETY: all calls are forwarded to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size().cast_signed(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size().cast_signed(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn agent() -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7_720))
}

fn flow(number: u32) -> FlowKey {
    let client = Ipv4Addr::from(0x6440_0000 + number / 50_000);
    let port = u16::try_from(number % 50_000).unwrap_or(0);
    FlowKey {
        client: SocketAddrV4::new(client, port),
        service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080),
    }
}

/// A catalog of the target size: 160,000 targets of 7,000 services behind 28,000 addresses.
fn large_catalog() -> StoreAnswer {
    let zone: Vec<ZoneName> = (0..12)
        .map(|number| format!("zone-{number}").parse().expect("a zone"))
        .collect();
    let services: Vec<ServiceName> = (0..7_000)
        .map(|number| format!("service-{number}").parse().expect("a service"))
        .collect();
    let targets = (0..160_000_u32).map(|number| {
        let place = number as usize;
        StoreEvent::Target(PublishedTarget {
            name: TargetName(format!("i-{number:08x}").into()),
            service: services[place % services.len()].clone(),
            address: SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + number), 8_080),
            zone: zone[place % zone.len()].clone(),
            slots: 8,
            leaving: false,
            warming_ms: 0,
            start: TargetStart::default(),
        })
    });
    let routes = (0..28_000_u32).map(|number| PublishedRoute {
        address: SocketAddrV4::new(Ipv4Addr::from(0xc612_0000 + number / 8), 443),
        name: format!("r-{number}"),
        idempotent: true,
        policy: None,
        homes: Box::default(),
        shares: smallvec![RouteShare {
            service: services[number as usize % services.len()].clone(),
            weight: 1,
            warmup: None,
            max_flows: None,
        }],
    });
    let config = StoreEvent::Config(PublishedConfig {
        version: ConfigRevision(1),
        idle_timeout: Duration::from_secs(15),
        unrouted: Vec::new(),
        unusable: Vec::new(),
        routes: (0_u16..).zip(routes).map(with_port).collect(),
    });
    StoreAnswer {
        era: StoreEra::default(),
        events: targets.chain([config]).map(|event| (1, event)).collect(),
        revision: 1,
    }
}

/// Makes the routes' addresses unique.
fn with_port((number, mut route): (u16, PublishedRoute)) -> PublishedRoute {
    route.address.set_port(number % 8 + 1);
    route
}

fn measure_catalog() {
    let before = HELD.load(Ordering::Relaxed);
    let answer = large_catalog();
    let mut tables = CatalogTables::default();
    let start = Instant::now();
    let (_, errors) = tables.apply_list(answer);
    assert!(errors.is_empty(), "{errors:?}");
    let held = HELD.load(Ordering::Relaxed) - before;
    println!("catalog: {held} bytes, applied in {:?}", start.elapsed());
    let mut builder = FlowViewBuilder::new(ViewSettings {
        regions: Vec::new(),
        zone: "zone-0".parse().expect("a zone"),
        agent_port: 7_720,
        flow_lifetime: Duration::from_secs(60),
    });
    let start = Instant::now();
    builder.apply(tables.catalog(), Moment::ZERO);
    let view = builder.build(Moment::ZERO);
    let held = HELD.load(Ordering::Relaxed) - before;
    let counts = view.counts();
    println!(
        "with builder and view {counts:?}: {held} bytes, made in {:?}",
        start.elapsed()
    );
    measure_hellos(&view);
    drop(view);
    measure_target_changes(&mut tables, &mut builder);
}

/// Measures the time that one round of hellos takes at the target size.
fn measure_hellos(view: &FlowView) {
    let balancer = FlowBalancer::new(agent());
    let rounds = 1_000;
    let start = Instant::now();
    for round in 1..=rounds {
        let recipients = balancer.due_hellos(view, Moment::from_millis(u64::from(round) * 500));
        assert!(!recipients.is_empty());
    }
    println!("a round of hellos: {:?}", start.elapsed() / rounds);
}

/// Measures the time that changes of one target each take at the target size.
fn measure_changes(
    what: &str,
    events: Vec<StoreEvent>,
    tables: &mut CatalogTables,
    builder: &mut FlowViewBuilder,
) {
    let count = u32::try_from(events.len()).expect("few events");
    let (mut applied, mut built) = (Duration::ZERO, Duration::ZERO);
    // The packet path holds the newest view until the next one replaces it.
    let mut view = builder.build(Moment::ZERO);
    for event in events {
        let revision = tables.position().revision + 1;
        let start = Instant::now();
        tables.apply_events(StoreAnswer {
            era: StoreEra::default(),
            events: vec![(revision, event)],
            revision,
        });
        applied += start.elapsed();
        let start = Instant::now();
        let changes = tables.take_changes();
        builder.apply_changes(tables.catalog(), &changes, Moment::ZERO);
        view = builder.build(Moment::ZERO);
        built += start.elapsed();
    }
    println!(
        "{what}: catalog {:?}, view {:?} ({:?})",
        applied / count,
        built / count,
        view.counts()
    );
}

fn measure_target_changes(tables: &mut CatalogTables, builder: &mut FlowViewBuilder) {
    let rows = tables.catalog().targets.iter().take(200);
    let rows = rows.filter_map(TargetRow::target).cloned();
    let leaving = rows.map(|row| {
        StoreEvent::Target(PublishedTarget {
            leaving: true,
            ..row
        })
    });
    let leaving: Vec<_> = leaving.collect();
    // As many as vanish in one minute, for which a vanished target is remembered.
    let rows = tables.catalog().targets.iter().take(34);
    let gone: Vec<_> = rows
        .map(|row| StoreEvent::TargetRemoved(row.name().clone()))
        .collect();
    measure_changes("a target leaves", leaving, tables, builder);
    measure_changes("a target is gone", gone, tables, builder);
}

fn main() {
    measure_catalog();
    let load = LoadReport::idle(agent(), ServiceId(1));
    let before = HELD.load(Ordering::Relaxed);
    let balancer = FlowBalancer::new(agent());
    for count in [0, 10_000, 100_000, 200_000] {
        for number in 0..count {
            let update = FlowUpdate {
                flow: flow(number),
                event: FlowEvent::Opened,
                load,
            };
            balancer.handle_flow_update(&update, Moment::ZERO);
        }
        let bytes = HELD.load(Ordering::Relaxed) - before;
        println!("balancer: {count} flows, {bytes} bytes");
    }
    drop(balancer);
    let before = HELD.load(Ordering::Relaxed);
    let settings = AgentSettings {
        own_address: agent(),
        service: ServiceId(1),
        started_with_target: false,
        flow_lifetime: Duration::from_secs(60),
        warmup: WarmupSettings {
            overshoot: 1.0,
            slack: 0.0,
        },
    };
    let mut agent = FlowAgent::new(settings, Moment::ZERO);
    for count in [0, 2_000, 10_000] {
        for number in 0..count {
            let packet = FlowPacket {
                flow: flow(number),
                flags: PacketFlags {
                    ack: true,
                    ..PacketFlags::default()
                },
                sequence: 1,
                acknowledged: 1,
                data_bytes: 100,
                tag: 0,
            };
            agent.handle_target_packet(&packet, Moment::ZERO);
        }
        let bytes = HELD.load(Ordering::Relaxed) - before;
        println!("agent: {count} flows, {bytes} bytes");
    }
}
