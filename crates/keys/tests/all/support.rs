//! What the tests share.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::AgentAddress;
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret};

pub(crate) fn secret(generation: u8) -> KeySecret {
    KeySecret::from_bytes(KeyGeneration(generation), [generation; 32])
}

/// A ring of these generations, the first one current.
pub(crate) fn ring(generations: &[u8]) -> FleetKeys {
    let secrets: Vec<KeySecret> = generations.iter().copied().map(secret).collect();
    FleetKeys::new(&secrets).expect("the generations make a ring")
}

pub(crate) fn address(ip: u32, port: u16) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::from(ip), port))
}

/// One step of a rotation: what sealed, what opens, and whether it may.
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
        case("the sealer switched first", &[2, 1], &[1, 2], true),
        case("the opener switched first", &[1, 2], &[2, 1], true),
        case("the old key is dropped", &[1], &[2], false),
        case("two rotations later", &[1], &[3, 2], false),
    ]
}
