//! Sealing and opening of flow tokens.

use lovagelatch_domain::ServiceId;
use lovagelatch_keys::{FlowToken, TOKEN_BYTES, TokenError};
use quickcheck::quickcheck;

use crate::support::{address, ring, rotation_cases};

const SERIAL_BOUND: u64 = 1 << 48;

fn token(ip: u32, port: u16, service: u32, serial: u64) -> FlowToken {
    FlowToken {
        agent: address(ip, port),
        service: ServiceId(service),
        serial: serial % SERIAL_BOUND,
    }
}

fn sample() -> FlowToken {
    token(0x7f00_0001, 7_101, 0xdead_beef, 42)
}

#[test]
fn bad_tokens_are_typed_errors() {
    struct TokenCase {
        name: &'static str,
        sealed: Vec<u8>,
        expected: TokenError,
    }
    let keys = ring(&[1]);
    let sealed = sample().seal(&keys);
    let changed = |position: usize| {
        let mut sealed = sealed.to_vec();
        sealed[position] ^= 0x10;
        sealed
    };
    let case = |name, sealed, expected| TokenCase {
        name,
        sealed,
        expected,
    };
    let length = |length| TokenError::WrongLength { length };
    let cases = [
        case("empty", Vec::new(), length(0)),
        case("truncated", sealed[..19].to_vec(), length(19)),
        case("too long", [&sealed[..], &[0]].concat(), length(21)),
        case(
            "unknown generation",
            changed(0),
            TokenError::UnknownGeneration { generation: 0x11 },
        ),
        case("changed address", changed(2), TokenError::InvalidTag),
        case(
            "changed tag",
            changed(TOKEN_BYTES - 1),
            TokenError::InvalidTag,
        ),
    ];
    for case in cases {
        let opened = FlowToken::open(&case.sealed, &keys);
        assert_eq!(opened, Err(case.expected), "{}", case.name);
    }
}

/// Guards against flows that break when the fleet key is rotated. A flow opens under one key and
/// processes switch at different times, so each process must accept both generations.
#[test]
fn two_generations_open_tokens() {
    for case in rotation_cases() {
        let sealed = sample().seal(&case.sealed_by);
        let opened = FlowToken::open(&sealed, &case.opened_by).ok();
        assert_eq!(opened, case.opens.then(sample), "{}", case.name);
    }
}

#[test]
fn another_fleet_cannot_open_it() {
    let keys = |byte| {
        let generation = lovagelatch_keys::KeyGeneration(1);
        let secret = lovagelatch_keys::KeySecret::from_bytes(generation, [byte; 32]);
        lovagelatch_keys::FleetKeys::new(&[secret]).expect("one key")
    };
    let sealed = sample().seal(&keys(1));
    let opened = FlowToken::open(&sealed, &keys(2));
    assert_eq!(opened, Err(TokenError::InvalidTag));
}

quickcheck! {
    fn a_sealed_token_opens(ip: u32, port: u16, service: u32, serial: u64) -> bool {
        let keys = ring(&[2, 1]);
        let token = token(ip, port, service, serial);
        FlowToken::open(&token.seal(&keys), &keys) == Ok(token)
    }

    fn a_changed_byte_is_refused(position: usize, change: u8) -> bool {
        let keys = ring(&[1]);
        let mut sealed = sample().seal(&keys);
        sealed[position % TOKEN_BYTES] ^= change;
        change == 0 || FlowToken::open(&sealed, &keys).is_err()
    }

    fn any_bytes_are_refused(bytes: Vec<u8>) -> bool {
        FlowToken::open(&bytes, &ring(&[1, 2])).is_err()
    }

    fn any_bytes_of_a_tokens_length_are_refused(high: u128, low: u32) -> bool {
        let mut bytes = [1; TOKEN_BYTES];
        bytes[1..17].copy_from_slice(&high.to_be_bytes());
        bytes[17..].copy_from_slice(&low.to_be_bytes()[..3]);
        FlowToken::open(&bytes, &ring(&[1])).is_err()
    }
}
