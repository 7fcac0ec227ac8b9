//! What is true of the fleet, and what one process holds of it.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret};
use lovagelatch_membership::TargetStanding;
use lovagelatch_routing::{RingTarget, RoutingTable, TableBuilder};

use super::{CLAIMS, MAPS};

pub(crate) const CLAIMS_ADDRESS: SocketAddrV4 =
    SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 1), 4_433);
const MAPS_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 20, 1, 1), 4_433);

const SLOTS: u16 = 3;

pub(crate) fn agent_address(number: u16) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + number))
}

/// A ring of both generations; `current` seals.
pub(crate) fn key_ring(current: u8) -> FleetKeys {
    let other = 3 - current;
    let secrets = [current, other].map(|number| {
        let generation = KeyGeneration(number);
        KeySecret::from_bytes(generation, [number; 32])
    });
    FleetKeys::new(&secrets).expect("two unlike secrets are a ring")
}

/// The fleet as one process holds it.
#[derive(Clone, Debug)]
pub(crate) struct FleetTruth {
    pub(crate) revision: u64,
    /// The service that the callers' address leads to.
    pub(crate) address_service: ServiceId,
    pub(crate) targets: Vec<(ServiceId, RingTarget)>,
    pub(crate) gone: Vec<AgentAddress>,
}

impl FleetTruth {
    /// Four agents of the wanted service, two of the other.
    pub(crate) fn new() -> Self {
        let target = |number: u16| {
            let service = if number < 4 { CLAIMS } else { MAPS };
            let target = RingTarget {
                agent: agent_address(number),
                slots: SLOTS,
                standing: TargetStanding::Live,
            };
            (service, target)
        };
        Self {
            revision: 1,
            address_service: CLAIMS,
            targets: (0..6).map(target).collect(),
            gone: Vec::new(),
        }
    }

    pub(crate) fn set_standing(&mut self, agent: AgentAddress, standing: TargetStanding) {
        for (_, target) in &mut self.targets {
            if target.agent == agent {
                target.standing = standing;
            }
        }
    }

    pub(crate) fn standing(&self, agent: AgentAddress) -> Option<TargetStanding> {
        let mut targets = self.targets.iter();
        let found = targets.find(|(_, target)| target.agent == agent);
        found.map(|(_, target)| target.standing)
    }

    pub(crate) fn move_target(&mut self, agent: AgentAddress, service: ServiceId) {
        for (held, target) in &mut self.targets {
            if target.agent == agent {
                *held = service;
                target.standing = TargetStanding::Live;
            }
        }
    }

    /// Whether an agent is listed as a target of the service and not suspected.
    pub(crate) fn lives(&self, agent: AgentAddress, service: ServiceId) -> bool {
        self.targets.iter().any(|(held, target)| {
            *held == service
                && target.agent == agent
                && target.standing != TargetStanding::Suspected
        })
    }

    pub(crate) fn table(&self) -> RoutingTable {
        let of = |service: ServiceId| -> Vec<RingTarget> {
            let held = self.targets.iter().filter(|(held, _)| *held == service);
            held.map(|(_, target)| *target).collect()
        };
        let (mut claims, mut maps) = (Vec::new(), vec![MAPS_ADDRESS]);
        match self.address_service {
            MAPS => maps.push(CLAIMS_ADDRESS),
            _ => claims.push(CLAIMS_ADDRESS),
        }
        let earlier = RoutingTable::default();
        TableBuilder::new(ConfigRevision(self.revision), &earlier)
            .with_service(CLAIMS, claims, &of(CLAIMS))
            .with_service(MAPS, maps, &of(MAPS))
            .build()
            .with_gone(self.gone.iter().copied())
    }
}
