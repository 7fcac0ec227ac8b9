//! Benchmarks of the routing decision: from a datagram's bytes to the agent it is forwarded to.
//!
//! `cargo bench -p lovagelatch-routing`

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use lovagelatch_domain::{
    AgentAddress, ConfigRevision, InstanceList, InstanceState, Moment, ServiceId, TargetId,
    TargetRecord,
};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, KeySecret};
use lovagelatch_membership::{FleetView, TargetStanding};
use lovagelatch_routing::{
    AbsenceTracker, FlowRouter, PacketView, RingTarget, RoutingTable, ServiceRing, TableBuilder,
    ViewChange,
};
use lovagelatch_settings::ServiceText;

const SERVICE: ServiceId = ServiceId(7);
const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 1), 4433);
/// The number of different packets used in turn, to vary branches and cache lines.
const PACKETS: usize = 1_024;
const TARGETS_PER_SERVICE: u32 = 6;

fn agent(number: u32) -> AgentAddress {
    let address = Ipv4Addr::from(0x0a00_0000 + number);
    AgentAddress(SocketAddrV4::new(address, 7_000))
}

fn targets(count: u32, equal: bool) -> Vec<RingTarget> {
    (0..count)
        .map(|number| RingTarget {
            agent: agent(number),
            slots: if equal { 3 } else { 1 + (number % 7) as u16 },
            standing: TargetStanding::Live,
        })
        .collect()
}

fn table(targets: &[RingTarget]) -> RoutingTable {
    TableBuilder::new(ConfigRevision(1), &RoutingTable::default())
        .with_service(SERVICE, [ADDRESS], targets)
        .build()
        .with_gone([agent(u32::from(u16::MAX))])
}

fn keys() -> FleetKeys {
    let secret = |number| KeySecret::from_bytes(KeyGeneration(number), [number; 32]);
    FleetKeys::new(&[secret(2), secret(1)]).expect("two keys")
}

fn token_packets(keys: &FleetKeys) -> Vec<Vec<u8>> {
    let packet = |serial| {
        let token = FlowToken {
            agent: agent(serial as u32 % 7),
            service: SERVICE,
            serial,
        };
        let mut packet = vec![0x40];
        packet.extend_from_slice(&token.seal(keys));
        packet.resize(1_200, 1);
        packet
    };
    (0..PACKETS as u64).map(packet).collect()
}

fn initial_packets() -> Vec<Vec<u8>> {
    let packet = |number: u64| {
        let mut packet = vec![0xc0, 0, 0, 0, 1, 8];
        packet.extend_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
        packet.resize(1_200, 1);
        packet
    };
    (0..PACKETS as u64).map(packet).collect()
}

fn bench_packets(bench: &mut Criterion) {
    let keys = keys();
    let router = FlowRouter::new();
    let mut group = bench.benchmark_group("decision");
    group.throughput(Throughput::Elements(1));
    let mut measure = |name: &str, packets: &[Vec<u8>], table: &RoutingTable| {
        let mut next = 0;
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                next = (next + 1) % PACKETS;
                let packet = PacketView::read(black_box(&packets[next]), ADDRESS, &keys);
                packet.map(|packet| router.route(&packet, table))
            });
        });
    };
    let seven = table(&targets(7, true));
    measure("open flow, 7 targets", &token_packets(&keys), &seven);
    measure("new flow, 7 targets", &initial_packets(), &seven);
    let unequal = table(&targets(7, false));
    measure(
        "new flow, 7 targets, unequal slots",
        &initial_packets(),
        &unequal,
    );
    for equal in [true, false] {
        let slots = if equal { "" } else { ", unequal slots" };
        let name = |what: &str| format!("new flow, {what}{slots}");
        let typical = table(&targets(23, equal));
        let many = table(&targets(400, equal));
        measure(&name("23 targets, no row"), &initial_packets(), &typical);
        let ring = |table: &RoutingTable| table.ring_of(SERVICE).and_then(|ring| ring.pick(1));
        assert!(ring(&typical).is_some() && ring(&many).is_some());
        if let Some(typical) = typical.refresh_buckets(usize::MAX) {
            measure(&name("23 targets"), &initial_packets(), &typical);
        }
        measure(&name("400 targets, no row"), &initial_packets(), &many);
        let many = many.refresh_buckets(usize::MAX).expect("a bucket table");
        measure(&name("400 targets"), &initial_packets(), &many);
    }
    group.finish();
}

fn bench_rings(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("ring");
    for count in [7, 12, 16, 24, 32, 64, 400] {
        for equal in [true, false] {
            let slots = if equal { "equal" } else { "unequal" };
            let targets = targets(count, equal);
            let scanned = ServiceRing::new(SERVICE, &targets);
            let mut key = 1_u64;
            group.bench_function(
                BenchmarkId::new(format!("scan, {slots} slots"), count),
                |b| {
                    b.iter(|| {
                        key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(1);
                        scanned.pick(key)
                    });
                },
            );
        }
    }
    group.finish();
    let mut group = bench.benchmark_group("table");
    group.sample_size(10);
    for count in [7, 25, 64, 400, 1_000] {
        for equal in [true, false] {
            let slots = if equal { "equal" } else { "unequal" };
            let targets = targets(count, equal);
            group.bench_function(
                BenchmarkId::new(format!("build, {slots} slots"), count),
                |b| {
                    b.iter(|| ServiceRing::new(SERVICE, &targets).with_buckets());
                },
            );
        }
    }
    group.finish();
}

/// Builds a view of this many services with six targets each.
fn fleet_view(services: u32) -> FleetView {
    let mut text = String::new();
    let mut list = InstanceList::default();
    for service in 0..services {
        let address = Ipv4Addr::from(0x7f14_0000 + service);
        text += &format!("[service s{service}]\naddress = {address}:4433\n");
        for number in 0..TARGETS_PER_SERVICE {
            let id = service * TARGETS_PER_SERVICE + number;
            list.targets.push(TargetRecord {
                id: TargetId(id),
                service: format!("s{service}").parse().expect("a name"),
                zone: "zone".parse().expect("a name"),
                agent: agent(id),
                operations: agent(id).0,
                slots: 3,
                state: InstanceState::Live,
            });
        }
    }
    let text = ServiceText::parse(&text).expect("a text without faults");
    FleetView::new(ConfigRevision(1), Arc::new(text), &list)
}

/// Measures the cost of a view change in which one target of one service changed.
fn bench_changes(bench: &mut Criterion) {
    let mut group = bench.benchmark_group("view change");
    group.sample_size(10);
    for services in [1_000, 4_000, 16_000] {
        let first = fleet_view(services);
        let second = first
            .clone()
            .with_standing(agent(0), TargetStanding::Leaving);
        let table = RoutingTable::from_view(&first, &RoutingTable::default());
        group.bench_function(BenchmarkId::new("text and all targets", services), |b| {
            b.iter(|| RoutingTable::from_view(&second, &table));
        });
        group.bench_function(BenchmarkId::new("look for rows to make", services), |b| {
            b.iter(|| table.refresh_buckets(usize::MAX));
        });
        let mut tracker = AbsenceTracker::new(Duration::from_secs(60));
        group.bench_function(BenchmarkId::new("one target", services), |b| {
            b.iter(|| {
                let change = ViewChange::between(&first, &second);
                tracker.record(&first, &second, &change, Moment::ZERO);
                table.with_change(&second, &change)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = bench_packets, bench_rings, bench_changes
}
criterion_main!(benches);
