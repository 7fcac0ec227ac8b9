//! Generates instance lists and service texts of any size.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::{
    AgentAddress, BalancerRecord, InstanceList, InstanceState, TargetId, TargetRecord, ZoneName,
};

/// Returns the control address of the rig's member with this number.
#[must_use]
pub fn rig_address(number: u32) -> AgentAddress {
    let ip = Ipv4Addr::from(0x7f00_0000 + 256 + number);
    AgentAddress(SocketAddrV4::new(ip, 7_000))
}

/// Returns a list of `balancers` balancers and `services` x `targets` targets, spread over
/// `zones` zones in turn.
#[must_use]
pub fn rig_list(balancers: u32, services: u32, targets: u32, zones: u32) -> InstanceList {
    let mut list = InstanceList::default();
    list.revision.0 = 1;
    let zone = |number: u32| -> ZoneName {
        let name = format!("zone-{}", number % zones);
        name.parse().expect("a valid name")
    };
    for number in 0..balancers {
        list.balancers.push(BalancerRecord {
            control: rig_address(number),
            operations: rig_address(number).0,
            zone: zone(number),
            state: InstanceState::Live,
        });
    }
    for number in 0..services * targets {
        let address = rig_address(balancers + number);
        list.targets.push(TargetRecord {
            id: TargetId(number),
            service: service_name(number / targets),
            zone: zone(number),
            agent: address,
            operations: address.0,
            slots: 3,
            state: InstanceState::Live,
        });
    }
    list
}

fn service_name(number: u32) -> lovagelatch_domain::ServiceName {
    let name = format!("service-{number}");
    name.parse().expect("a valid name")
}

/// Returns a text of `services` services with `addresses` addresses each. `change` alters one
/// service.
#[must_use]
pub fn rig_text(services: u32, addresses: u32, change: u32) -> String {
    rig_text_range(0..services, addresses, change % services, change)
}

/// Returns a text of these services. `change` is written into the service `changed`.
#[must_use]
pub fn rig_text_range(
    services: std::ops::Range<u32>,
    addresses: u32,
    changed: u32,
    change: u32,
) -> String {
    use std::fmt::Write;
    let mut text = String::new();
    for service in services {
        let _ = writeln!(text, "[service service-{service}]");
        for address in 0..addresses {
            let ip = Ipv4Addr::from(0x7f40_0000 + service * addresses + address);
            let _ = writeln!(text, "address = {ip}:4433 agency-{}", address % 7);
        }
        if service == changed {
            let _ = writeln!(text, "once = POST /change-{change}");
        }
    }
    text
}
