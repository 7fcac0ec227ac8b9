//! Shared helpers: keys, addresses, targets and packets.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, KeySecret};
use lovagelatch_membership::TargetStanding;
use lovagelatch_routing::{PacketView, RingTarget, RoutingTable, TableBuilder};

pub(crate) const CLAIMS: ServiceId = ServiceId(11);
pub(crate) const MAPS: ServiceId = ServiceId(22);
pub(crate) const CLAIMS_ADDRESS: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 1), 4433);
pub(crate) const MAPS_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 20, 1, 1), 4433);
pub(crate) const OTHER_ADDRESS: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(127, 20, 9, 9), 4433);

pub(crate) fn keys(generation: u8) -> FleetKeys {
    FleetKeys::new(&[secret(generation)]).expect("one key is a ring")
}

pub(crate) fn secret(generation: u8) -> KeySecret {
    KeySecret::from_bytes(KeyGeneration(generation), [generation; 32])
}

pub(crate) fn agent(number: u16) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + number))
}

pub(crate) fn target(number: u16, slots: u16, standing: TargetStanding) -> RingTarget {
    RingTarget {
        agent: agent(number),
        slots,
        standing,
    }
}

pub(crate) fn live(count: u16) -> Vec<RingTarget> {
    (0..count)
        .map(|number| target(number, 3, TargetStanding::Live))
        .collect()
}

/// Builds a table with claims, which has these targets, and maps, which has agents 100 to 102.
pub(crate) fn table(claims: &[RingTarget]) -> RoutingTable {
    let maps: Vec<RingTarget> = (100..103)
        .map(|number| target(number, 7, TargetStanding::Live))
        .collect();
    TableBuilder::new(ConfigRevision(5), &RoutingTable::default())
        .with_service(CLAIMS, [CLAIMS_ADDRESS], claims)
        .with_service(MAPS, [MAPS_ADDRESS], &maps)
        .build()
}

pub(crate) fn token(number: u16, service: ServiceId) -> FlowToken {
    FlowToken {
        agent: agent(number),
        service,
        serial: 77,
    }
}

pub(crate) fn packet(
    address: SocketAddrV4,
    flow_key: &[u8],
    token: Option<FlowToken>,
) -> PacketView<'_> {
    PacketView {
        service_address: address,
        flow_key,
        token,
    }
}

pub(crate) fn long_header(kind: u8, version: u32, id: &[u8], length: usize) -> Vec<u8> {
    let mut datagram = vec![0xc0 | kind << 4];
    datagram.extend_from_slice(&version.to_be_bytes());
    datagram.push(u8::try_from(id.len()).expect("a test's connection ID is short"));
    datagram.extend_from_slice(id);
    datagram.resize(length.max(datagram.len()), 0);
    datagram
}

pub(crate) fn short_header(id: &[u8]) -> Vec<u8> {
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(id);
    datagram.extend_from_slice(&[9; 30]);
    datagram
}
