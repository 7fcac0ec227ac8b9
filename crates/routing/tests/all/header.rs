//! Parsing of QUIC headers.

use lovagelatch_routing::{HeaderError, HeaderForm, QuicHeader};
use quickcheck::quickcheck;

use crate::support::{long_header, short_header};

struct HeaderCase {
    name: &'static str,
    datagram: Vec<u8>,
    expected: Result<(HeaderForm, Vec<u8>), HeaderError>,
}

fn cases() -> Vec<HeaderCase> {
    let id = vec![7; 8];
    let token = vec![3; 20];
    let case = |name, datagram, expected| HeaderCase {
        name,
        datagram,
        expected,
    };
    vec![
        case("empty datagram", vec![], Err(HeaderError::Truncated)),
        case(
            "Initial",
            long_header(0, 1, &id, 1_200),
            Ok((HeaderForm::Initial, id.clone())),
        ),
        case(
            "0-RTT",
            long_header(1, 1, &id, 60),
            Ok((HeaderForm::ZeroRtt, id.clone())),
        ),
        case(
            "Handshake",
            long_header(2, 1, &token, 60),
            Ok((HeaderForm::Handshake, token.clone())),
        ),
        case(
            "Retry",
            long_header(3, 1, &id, 60),
            Err(HeaderError::ServerOnly),
        ),
        case(
            "version negotiation",
            long_header(0, 0, &id, 60),
            Err(HeaderError::ServerOnly),
        ),
        case(
            "another version",
            long_header(0, 0x6b33_43cf, &id, 1_200),
            Ok((
                HeaderForm::OtherVersion {
                    version: 0x6b33_43cf,
                },
                id.clone(),
            )),
        ),
        case(
            "another version, long connection ID",
            long_header(0, 9, &[5; 200], 1_200),
            Ok((HeaderForm::OtherVersion { version: 9 }, vec![5; 200])),
        ),
        case(
            "version 1, long connection ID",
            long_header(0, 1, &[5; 21], 1_200),
            Err(HeaderError::LongId { length: 21 }),
        ),
        case(
            "long header truncated in its version",
            vec![0xc0, 0, 0],
            Err(HeaderError::Truncated),
        ),
        case(
            "long header truncated in its connection ID",
            vec![0xc0, 0, 0, 0, 1, 20, 1, 2, 3],
            Err(HeaderError::Truncated),
        ),
        case(
            "short header",
            short_header(&token),
            Ok((HeaderForm::Short, token)),
        ),
        case(
            "short header truncated in its connection ID",
            vec![0x40; 20],
            Err(HeaderError::Truncated),
        ),
    ]
}

#[test]
fn headers_are_parsed_according_to_their_version() {
    for case in cases() {
        let read = QuicHeader::parse(&case.datagram);
        let read = read.map(|header| (header.form, header.destination.to_vec()));
        assert_eq!(read, case.expected, "{}", case.name);
    }
}

quickcheck! {
    fn any_bytes_are_read_without_panic_and_within_bounds(datagram: Vec<u8>) -> bool {
        match QuicHeader::parse(&datagram) {
            Ok(header) => header.destination.len() < datagram.len(),
            Err(_) => true,
        }
    }

    fn any_long_header_is_read_without_panic(first: u8, version: u32, rest: Vec<u8>) -> bool {
        let mut datagram = vec![first | 0x80];
        datagram.extend_from_slice(&version.to_be_bytes());
        datagram.extend_from_slice(&rest);
        QuicHeader::parse(&datagram).is_ok_and(|header| rest[1..].starts_with(header.destination))
            || QuicHeader::parse(&datagram).is_err()
    }
}
