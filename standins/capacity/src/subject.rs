//! Members filled with fleets of a given size.

use lovagelatch_capacity::{rig_address, rig_list, rig_text_range};
use lovagelatch_domain::{AgentAddress, Incarnation, InstanceList, Moment, ServiceName};
use lovagelatch_membership::{
    ConfigDelta, FleetMember, MemberSettings, PullPart, PullRequest, TableIndex,
};
use lovagelatch_settings::{ServiceEntry, ServiceText};

/// Addresses of each service.
pub(crate) const ADDRESSES_A_SERVICE: u32 = 4;

/// Targets of each service: 161,000 behind 28,000 addresses of 7,000 services.
pub(crate) const TARGETS_A_SERVICE: u32 = 23;

/// Zones.
pub(crate) const ZONES: u32 = 12;

/// Services that one text may hold without growing too large.
const SERVICES_A_TEXT: u32 = 3_500;

/// The time at which everything happens.
pub(crate) const NOW: Moment = Moment::from_millis(1_000_000);

/// An address outside the list.
pub(crate) fn own_address() -> AgentAddress {
    rig_address(4_000_000)
}

/// A balancer that knows nothing.
pub(crate) fn empty_member() -> FleetMember {
    let zone = "zone-0".parse().expect("a good name");
    let settings = MemberSettings::new(own_address(), zone, Incarnation(7));
    FleetMember::new(settings, 7, NOW)
}

/// The list for this many services, with balancers in the target's proportion.
pub(crate) fn list_for(services: u32) -> InstanceList {
    let balancers = services * 15 / 7;
    rig_list(balancers, services, TARGETS_A_SERVICE, ZONES)
}

/// The services of a configuration, `change` altering one of them.
pub(crate) fn rows_for(services: u32, change: u32) -> Vec<ServiceEntry> {
    let mut rows = Vec::new();
    let mut start = 0;
    while start < services {
        let end = services.min(start + SERVICES_A_TEXT);
        let text = rig_text_range(start..end, ADDRESSES_A_SERVICE, change % services, change);
        rows.extend(ServiceText::parse(&text).expect("a good text").services);
        start = end;
    }
    for row in &mut rows {
        row.line = 0;
        for address in &mut row.addresses {
            address.line = 0;
        }
    }
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    rows
}

/// The whole configuration as a delta.
pub(crate) fn whole_config(services: u32) -> ConfigDelta {
    let index = TableIndex::<ServiceName>::default();
    index.delta_to(&[], rows_for(services, 0), 1)
}

/// Hands a configuration to a member as a peer's answer.
pub(crate) fn give_config(member: &mut FleetMember, delta: ConfigDelta) {
    let parts = vec![PullPart::Config(delta), PullPart::End];
    member.accept_answer(rig_address(1), parts, NOW);
}

/// The request of a process that holds these revisions.
pub(crate) fn request(config: u64, list: u64) -> PullRequest {
    PullRequest {
        sender: own_address(),
        config,
        list,
        departures: false,
    }
}

/// Bytes of parts as frames on a stream.
pub(crate) fn part_bytes(parts: &[PullPart]) -> usize {
    parts.iter().map(|part| encoded(part) + 4).sum()
}

/// Bytes of a message as a frame.
pub(crate) fn encoded<M: serde::Serialize>(message: &M) -> usize {
    let payload = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    payload + lovagelatch_wire::FRAME_OVERHEAD_BYTES
}
