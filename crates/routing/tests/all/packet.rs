//! Parsing of datagrams into packet views.

use lovagelatch_keys::{FleetKeys, FlowToken, TokenError};
use lovagelatch_routing::{HeaderError, MIN_INITIAL_BYTES, PacketError, PacketView};
use quickcheck::quickcheck;

use crate::support::{CLAIMS, CLAIMS_ADDRESS, keys, long_header, secret, short_header, token};

struct PacketCase {
    name: &'static str,
    datagram: Vec<u8>,
    expected: Result<Option<FlowToken>, PacketError>,
}

fn cases() -> Vec<PacketCase> {
    let held = token(4, CLAIMS);
    let sealed = held.seal(&keys(1));
    let mut forged = sealed;
    forged[9] ^= 1;
    let mut expired = sealed;
    expired[0] = 9;
    let case = |name, datagram, expected| PacketCase {
        name,
        datagram,
        expected,
    };
    let unknown = PacketError::Token(TokenError::UnknownGeneration { generation: 9 });
    vec![
        case(
            "Initial with a chosen ID",
            long_header(0, 1, &[7; 8], MIN_INITIAL_BYTES),
            Ok(None),
        ),
        case(
            "Initial with a chosen ID as long as a token",
            long_header(0, 1, &forged, MIN_INITIAL_BYTES),
            Ok(None),
        ),
        case(
            "later Initial, which carries the agent's token",
            long_header(0, 1, &sealed, 40),
            Ok(Some(held)),
        ),
        case(
            "small Initial",
            long_header(0, 1, &[7; 8], MIN_INITIAL_BYTES - 1),
            Err(PacketError::SmallInitial {
                length: MIN_INITIAL_BYTES - 1,
            }),
        ),
        case(
            "Initial with a short ID",
            long_header(0, 1, &[7; 7], MIN_INITIAL_BYTES),
            Err(PacketError::ShortId { length: 7 }),
        ),
        case("0-RTT", long_header(1, 1, &[7; 8], 90), Ok(None)),
        case(
            "another version",
            long_header(0, 9, &[7; 8], MIN_INITIAL_BYTES),
            Ok(None),
        ),
        case(
            "another version, small",
            long_header(0, 9, &[7; 8], 300),
            Err(PacketError::SmallInitial { length: 300 }),
        ),
        case(
            "Handshake with a token",
            long_header(2, 1, &sealed, 90),
            Ok(Some(held)),
        ),
        case(
            "Handshake with a chosen ID",
            long_header(2, 1, &[7; 8], 90),
            Err(PacketError::Token(TokenError::WrongLength { length: 8 })),
        ),
        case("short header", short_header(&sealed), Ok(Some(held))),
        case(
            "short header, forged token",
            short_header(&forged),
            Err(PacketError::Token(TokenError::InvalidTag)),
        ),
        case(
            "short header, expired generation",
            short_header(&expired),
            Err(unknown),
        ),
        case(
            "short header, truncated",
            short_header(&sealed)[..15].to_vec(),
            Err(PacketError::Header(HeaderError::Truncated)),
        ),
    ]
}

#[test]
fn datagrams_become_packets_or_typed_errors() {
    for case in cases() {
        let read = PacketView::read(&case.datagram, CLAIMS_ADDRESS, &keys(1));
        assert_eq!(
            read.map(|packet| packet.token),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against all feeds that are older than a key breaking at once. A flow opens under key 1,
/// the operator rotates to key 2, and packets of the flow reach balancers before and after their
/// rotation. A balancer must accept all its valid keys and not only the current one.
#[test]
fn a_rotation_breaks_no_flow() {
    struct RotationCase {
        name: &'static str,
        sealed_by: FleetKeys,
        read_by: FleetKeys,
        readable: bool,
    }
    let ring = |first, second| FleetKeys::new(&[secret(first), secret(second)]).expect("two keys");
    let case = |name, sealed_by, read_by, readable| RotationCase {
        name,
        sealed_by,
        read_by,
        readable,
    };
    let cases = [
        case("before the rotation", keys(1), keys(1), true),
        case("new key announced", ring(1, 2), ring(1, 2), true),
        case("agent first", ring(2, 1), ring(1, 2), true),
        case("balancer first", ring(1, 2), ring(2, 1), true),
        case("old flow after the rotation", keys(1), ring(2, 1), true),
        case("two rotations later", keys(1), ring(3, 2), false),
    ];
    for case in cases {
        let sealed = token(4, CLAIMS).seal(&case.sealed_by);
        let datagram = short_header(&sealed);
        let read = PacketView::read(&datagram, CLAIMS_ADDRESS, &case.read_by);
        let held = read.ok().and_then(|packet| packet.token);
        assert_eq!(
            held,
            case.readable.then(|| token(4, CLAIMS)),
            "{}",
            case.name
        );
    }
}

quickcheck! {
    fn a_damaged_token_never_names_a_target(position: usize, change: u8) -> bool {
        let mut sealed = token(4, CLAIMS).seal(&keys(1));
        let position = position % sealed.len();
        sealed[position] ^= change;
        let datagram = short_header(&sealed);
        let read = PacketView::read(&datagram, CLAIMS_ADDRESS, &keys(1));
        change == 0 || read.is_err()
    }

    fn random_datagrams_never_carry_a_token(datagram: Vec<u8>) -> bool {
        let read = PacketView::read(&datagram, CLAIMS_ADDRESS, &keys(1));
        read.map_or(true, |packet| packet.token.is_none())
    }
}
