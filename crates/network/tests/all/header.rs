//! Tests of PROXY protocol headers.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_network::{HEADER_BYTES, HeaderError, PacketEnds, parse_header, write_header};
use quickcheck::quickcheck;

fn ends(source: (u32, u16), destination: (u32, u16)) -> PacketEnds {
    let address = |(ip, port)| SocketAddrV4::new(Ipv4Addr::from(ip), port);
    PacketEnds {
        source: address(source),
        destination: address(destination),
    }
}

fn sample() -> Vec<u8> {
    write_header(&ends((0x7f00_0001, 5), (0x7f00_0002, 6))).to_vec()
}

fn sample_with(position: usize, value: u8) -> Vec<u8> {
    let mut header = sample();
    header[position] = value;
    header
}

#[test]
fn invalid_headers_are_rejected() {
    struct HeaderCase {
        name: &'static str,
        datagram: Vec<u8>,
        not_ipv4: bool,
    }
    let case = |name, datagram, not_ipv4| HeaderCase {
        name,
        datagram,
        not_ipv4,
    };
    let mut ipv6 = sample_with(13, 0x22);
    ipv6[15] = 36;
    ipv6.extend_from_slice(&[0; 24]);
    let mut local = sample_with(13, 0);
    local[15] = 0;
    let cases = [
        case("empty", Vec::new(), false),
        case("a QUIC packet without a header", vec![0xc0; 1_200], false),
        case("truncated", sample()[..HEADER_BYTES - 1].to_vec(), false),
        case(
            "truncated after the signature",
            sample()[..16].to_vec(),
            false,
        ),
        case("another signature", sample_with(3, 0), false),
        case("another version", sample_with(12, 0x31), false),
        case("an unknown family", sample_with(13, 0x72), false),
        case("a length beyond the datagram", sample_with(15, 200), false),
        case("IPv6", ipv6, true),
        case("no addresses", local, true),
    ];
    for case in cases {
        let error = parse_header(&case.datagram).expect_err(case.name);
        let not_ipv4 = error == HeaderError::NotIpv4;
        assert_eq!(not_ipv4, case.not_ipv4, "{}: {error}", case.name);
    }
}

quickcheck! {
    fn written_headers_parse_back(source: (u32, u16), destination: (u32, u16), rest: Vec<u8>) -> bool {
        let ends = ends(source, destination);
        let datagram = [&write_header(&ends)[..], &rest].concat();
        parse_header(&datagram) == Ok((ends, &rest[..]))
    }

    fn arbitrary_bytes_are_rejected(bytes: Vec<u8>) -> bool {
        parse_header(&bytes).is_err()
    }

    fn arbitrary_bytes_after_the_signature_do_not_panic(bytes: Vec<u8>) -> bool {
        let datagram = [&sample()[..12], &bytes].concat();
        match parse_header(&datagram) {
            Ok((_, rest)) => bytes.ends_with(rest),
            Err(_) => true,
        }
    }
}
