//! The state of the fleet: the actual one, and the copy that each process has.

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

/// Returns a key ring with generations 1 and 2; `current` is used for sealing.
pub(crate) fn key_ring(current: u8) -> FleetKeys {
    let other = 3 - current;
    let secrets = [current, other].map(|number| {
        let generation = KeyGeneration(number);
        KeySecret::from_bytes(generation, [number; 32])
    });
    FleetKeys::new(&secrets).expect("two distinct secrets form a key ring")
}

/// Targets, addresses and configuration revision, as they are or as one process knows them.
#[derive(Clone, Debug)]
pub(crate) struct FleetState {
    pub(crate) revision: u64,
    /// The service that owns the address used by callers.
    pub(crate) address_service: ServiceId,
    pub(crate) targets: Vec<(ServiceId, RingTarget)>,
    pub(crate) gone: Vec<AgentAddress>,
}

impl FleetState {
    /// Creates a fleet of four agents of [`CLAIMS`] and two of [`MAPS`].
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
        for (owner, target) in &mut self.targets {
            if target.agent == agent {
                *owner = service;
                target.standing = TargetStanding::Live;
            }
        }
    }

    /// Returns whether an agent is listed as a target of the service and is not suspected.
    pub(crate) fn is_unsuspected_target(&self, agent: AgentAddress, service: ServiceId) -> bool {
        self.targets.iter().any(|(owner, target)| {
            *owner == service
                && target.agent == agent
                && target.standing != TargetStanding::Suspected
        })
    }

    pub(crate) fn table(&self) -> RoutingTable {
        let targets_of = |service: ServiceId| -> Vec<RingTarget> {
            let owned = self.targets.iter().filter(|(owner, _)| *owner == service);
            owned.map(|(_, target)| *target).collect()
        };
        let (mut claims, mut maps) = (Vec::new(), vec![MAPS_ADDRESS]);
        match self.address_service {
            MAPS => maps.push(CLAIMS_ADDRESS),
            _ => claims.push(CLAIMS_ADDRESS),
        }
        let previous = RoutingTable::default();
        TableBuilder::new(ConfigRevision(self.revision), &previous)
            .with_service(CLAIMS, claims, &targets_of(CLAIMS))
            .with_service(MAPS, maps, &targets_of(MAPS))
            .build()
            .with_gone(self.gone.iter().copied())
    }
}
