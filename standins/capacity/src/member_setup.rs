//! Sets up members that hold fleets of a given size.

use lovagelatch_capacity::{rig_address, rig_list, rig_text_range};
use lovagelatch_domain::{AgentAddress, Incarnation, InstanceList, Moment, ServiceName};
use lovagelatch_membership::{
    ConfigDelta, FleetMember, MemberSettings, PullPart, PullRequest, TableIndex,
};
use lovagelatch_settings::{ServiceEntry, ServiceText};

/// Addresses per service.
pub(crate) const ADDRESSES_PER_SERVICE: u32 = 4;

/// Targets per service: 161,000 behind 28,000 addresses of 7,000 services.
pub(crate) const TARGETS_PER_SERVICE: u32 = 23;

/// Zones that the instances are spread over.
pub(crate) const ZONES: u32 = 12;

/// Services that one text can hold within the size limit of texts.
const MAX_SERVICES_PER_TEXT: u32 = 3_500;

/// The time at which all members receive their state.
pub(crate) const NOW: Moment = Moment::from_millis(1_000_000);

/// Returns the address of the measured member, which is not in the list.
pub(crate) fn member_address() -> AgentAddress {
    rig_address(4_000_000)
}

/// Returns a balancer without list and configuration.
pub(crate) fn empty_member() -> FleetMember {
    let zone = "zone-0".parse().expect("a valid name");
    let settings = MemberSettings::new(member_address(), zone, Incarnation(7));
    FleetMember::new(settings, 7, NOW)
}

/// Returns the list for this many services, with balancers in proportion: 15 for 7 services.
pub(crate) fn list_for(services: u32) -> InstanceList {
    let balancers = services * 15 / 7;
    rig_list(balancers, services, TARGETS_PER_SERVICE, ZONES)
}

/// Returns the services of a configuration. `change` alters one of them.
pub(crate) fn service_entries(services: u32, change: u32) -> Vec<ServiceEntry> {
    let mut entries = Vec::new();
    let mut start = 0;
    while start < services {
        let end = services.min(start + MAX_SERVICES_PER_TEXT);
        let text = rig_text_range(start..end, ADDRESSES_PER_SERVICE, change % services, change);
        entries.extend(ServiceText::parse(&text).expect("a valid text").services);
        start = end;
    }
    for entry in &mut entries {
        entry.line = 0;
        for address in &mut entry.addresses {
            address.line = 0;
        }
    }
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    entries
}

/// Returns the complete configuration as a delta.
pub(crate) fn full_config_delta(services: u32) -> ConfigDelta {
    let index = TableIndex::<ServiceName>::default();
    index.delta_to(&[], service_entries(services, 0), 1)
}

/// Delivers a configuration to a member as a peer's response to a pull.
pub(crate) fn apply_config(member: &mut FleetMember, delta: ConfigDelta) {
    let parts = vec![PullPart::Config(delta), PullPart::End];
    member.accept_answer(rig_address(1), parts, NOW);
}

/// Returns the pull request of a process that holds these revisions.
pub(crate) fn request(config: u64, list: u64) -> PullRequest {
    PullRequest {
        sender: member_address(),
        config,
        list,
        departures: false,
    }
}

/// Returns the bytes of parts as frames on a stream, each with a 4-byte length.
pub(crate) fn part_bytes(parts: &[PullPart]) -> usize {
    parts.iter().map(|part| frame_bytes(part) + 4).sum()
}

/// Returns the bytes of a message as a frame.
pub(crate) fn frame_bytes<M: serde::Serialize>(message: &M) -> usize {
    let payload = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len());
    payload + lovagelatch_wire::FRAME_OVERHEAD_BYTES
}
