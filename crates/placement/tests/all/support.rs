//! Shared builders.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::{
    AgencyName, AgentAddress, AttemptId, GateCondition, GateReport, Moment, PeerReport,
};
use lovagelatch_placement::{GateRequest, GateSettings, RequestGate};

pub(crate) const SERVICE: Duration = Duration::from_millis(100);

pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

pub(crate) fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn agency(name: &str) -> Option<AgencyName> {
    name.parse().ok()
}

pub(crate) fn request(number: u128, arrived: u64, deadline: u64) -> GateRequest {
    GateRequest {
        attempt: AttemptId(number),
        agency: None,
        arrived: at(arrived),
        deadline: at(deadline),
    }
}

pub(crate) fn request_of(name: &str, number: u128, arrived: u64, deadline: u64) -> GateRequest {
    GateRequest {
        agency: agency(name),
        ..request(number, arrived, deadline)
    }
}

pub(crate) fn new_gate(slots: u16) -> RequestGate {
    RequestGate::new(GateSettings::new(slots).with_initial_service_time(SERVICE))
}

pub(crate) fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, number), 7_000))
}

/// Builds the report of a gate with three slots.
pub(crate) fn report(in_use: u16, queued: u32) -> GateReport {
    let turns = (u32::from(in_use) + queued + 1).saturating_sub(3);
    GateReport {
        slots: 3,
        in_use,
        queued,
        expected_wait: SERVICE / 3 * turns,
        service_time: SERVICE,
        condition: GateCondition::Open,
    }
}

pub(crate) fn peer(number: u8, report: GateReport, received: Moment) -> PeerReport {
    PeerReport {
        agent: agent(number),
        zone: "lahore-a".parse().expect("a valid name"),
        report,
        received,
        suspected: false,
    }
}
