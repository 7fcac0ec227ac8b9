//! Shared helpers: key rings, addresses and the steps of a rotation.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::AgentAddress;
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret};

pub(crate) fn secret(generation: u8) -> KeySecret {
    KeySecret::from_bytes(KeyGeneration(generation), [generation; 32])
}

/// Builds a key ring of these generations; the first one is current.
pub(crate) fn ring(generations: &[u8]) -> FleetKeys {
    let secrets: Vec<KeySecret> = generations.iter().copied().map(secret).collect();
    FleetKeys::new(&secrets).expect("the generations form a valid ring")
}

pub(crate) fn address(ip: u32, port: u16) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::from(ip), port))
}

/// One step of a rotation: the sealing ring, the opening ring and whether opening succeeds.
pub(crate) struct RotationCase {
    pub(crate) name: &'static str,
    pub(crate) sealed_by: FleetKeys,
    pub(crate) opened_by: FleetKeys,
    pub(crate) opens: bool,
}

pub(crate) fn rotation_cases() -> Vec<RotationCase> {
    let case = |name, sealed_by: &[u8], opened_by: &[u8], opens| RotationCase {
        name,
        sealed_by: ring(sealed_by),
        opened_by: ring(opened_by),
        opens,
    };
    vec![
        case("one key", &[1], &[1], true),
        case("the new key is announced", &[1], &[1, 2], true),
        case("the sealing process switched first", &[2, 1], &[1, 2], true),
        case("the opening process switched first", &[1, 2], &[2, 1], true),
        case("the old key is dropped", &[1], &[2], false),
        case("two rotations later", &[1], &[3, 2], false),
    ]
}
