//! Builders of views, packets and frames for the tests.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_catalog::{
    Catalog, PublishedRoute, PublishedTarget, RouteShare, TargetName, TargetRow, TargetStart,
};
use lovagelatch_domain::{AgentAddress, ConfigRevision, Moment, ServiceId, ServiceName};
use lovagelatch_flows::{
    FlowEvent, FlowKey, FlowPacket, FlowUpdate, FlowView, FlowViewBuilder, LoadReport, PacketFlags,
    ViewSettings,
};
use smallvec::smallvec;

pub(crate) const AGENT_PORT: u16 = 7_720;

pub(crate) fn at(millis: u64) -> Moment {
    // Not near zero, which some fields use for "never".
    Moment::from_millis(100_000 + millis)
}

pub(crate) fn service(name: &str) -> ServiceName {
    name.parse().expect("a service name")
}

pub(crate) fn claims() -> ServiceId {
    service("claims").id()
}

pub(crate) fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(
        Ipv4Addr::new(10, 1, 0, number),
        AGENT_PORT,
    ))
}

pub(crate) fn balancer() -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), AGENT_PORT))
}

pub(crate) fn claims_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080)
}

pub(crate) fn flow(number: u16) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), number),
        service_address: claims_address(),
    }
}

pub(crate) fn target(number: u8, name: &str) -> PublishedTarget {
    PublishedTarget {
        name: TargetName(format!("i-{number}-{name}").into()),
        service: service(name),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 8_000),
        zone: "hall-a".parse().expect("a zone"),
        slots: 3,
        leaving: false,
        warming_ms: 0,
        start: TargetStart::default(),
    }
}

pub(crate) fn route(address: SocketAddrV4, shares: &[(&str, u32)]) -> PublishedRoute {
    PublishedRoute {
        address,
        name: "r-1".to_owned(),
        idempotent: true,
        policy: None,
        homes: Box::default(),
        shares: shares
            .iter()
            .map(|&(name, weight)| RouteShare {
                service: service(name),
                weight,
                warmup: None,
                max_flows: None,
            })
            .collect(),
    }
}

/// A catalog with one route to `claims` and these targets; its configuration lists all their
/// services.
pub(crate) fn catalog(targets: Vec<PublishedTarget>) -> Catalog {
    let services = targets.iter().map(|target| target.service.clone());
    let mut unrouted: Vec<_> = services.collect();
    unrouted.dedup();
    let rows: Vec<_> = targets.into_iter().map(TargetRow::Published).collect();
    Catalog {
        unrouted: unrouted.into(),
        version: ConfigRevision(1),
        idle_timeout: Duration::from_secs(15),
        routes: vec![PublishedRoute {
            shares: smallvec![RouteShare {
                service: service("claims"),
                weight: 1,
                warmup: None,
                max_flows: None,
            }],
            ..route(claims_address(), &[])
        }]
        .into(),
        targets: rows.into(),
        zones_revision: 1.into(),
        evacuated: Vec::new().into(),
    }
}

pub(crate) fn builder() -> FlowViewBuilder {
    builder_with_regions(&[])
}

/// A builder whose zones are in the given regions, as pairs of zone and region.
pub(crate) fn builder_with_regions(regions: &[(&str, &str)]) -> FlowViewBuilder {
    let regions = regions.iter().map(|(zone, region)| {
        let zone = zone.parse().expect("a zone");
        (zone, region.parse().expect("a region"))
    });
    FlowViewBuilder::new(ViewSettings {
        zone: "hall-a".parse().expect("a zone"),
        regions: regions.collect(),
        agent_port: AGENT_PORT,
        flow_lifetime: Duration::from_secs(60),
    })
}

pub(crate) fn view_of(catalog: Catalog) -> FlowView {
    let mut builder = builder();
    builder.apply(&catalog, at(0));
    builder.build(at(0))
}

/// A view with one route to `claims` and `count` targets, whose agents are 1, 2, ...
pub(crate) fn claims_view(count: u8) -> FlowView {
    view_of(catalog((1..=count).map(|n| target(n, "claims")).collect()))
}

pub(crate) fn opening(flow: FlowKey) -> FlowPacket {
    FlowPacket {
        flow,
        flags: PacketFlags {
            syn: true,
            ..PacketFlags::default()
        },
        sequence: 1_000,
        acknowledged: 0,
        data_bytes: 0,
        tag: 0,
    }
}

/// A packet with data in the middle of a flow.
pub(crate) fn data(flow: FlowKey) -> FlowPacket {
    FlowPacket {
        flow,
        flags: PacketFlags {
            ack: true,
            ..PacketFlags::default()
        },
        sequence: 1_001,
        acknowledged: 5_001,
        data_bytes: 100,
        tag: 0,
    }
}

pub(crate) fn idle_load(agent: AgentAddress) -> LoadReport {
    LoadReport::idle(agent, claims())
}

pub(crate) fn flow_update(flow: FlowKey, agent: AgentAddress, event: FlowEvent) -> FlowUpdate {
    FlowUpdate {
        flow,
        event,
        load: idle_load(agent),
    }
}
