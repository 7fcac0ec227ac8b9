//! Forward frames.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::{ConfigRevision, ServiceId};
use lovagelatch_wire::{
    ForwardHeader, FrameError, FrameKind, MAX_DATAGRAM_BYTES, open_forward, seal_forward,
    seal_frame, seal_message,
};
use quickcheck::quickcheck;

use crate::support::ring;

/// Payload of a packet on an ordinary link without IPv4 and UDP headers, in bytes.
const LINK_PAYLOAD_BYTES: usize = 1_500 - 20 - 8;

fn header(caller: (u32, u16), service: u32, revision: u64, hops: u8) -> ForwardHeader {
    ForwardHeader {
        caller: SocketAddrV4::new(Ipv4Addr::from(caller.0), caller.1),
        service_address: SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 1), 4433),
        service: ServiceId(service),
        revision: ConfigRevision(revision),
        hops,
    }
}

/// Bytes that a gateway adds before a frame: a PROXY protocol version 2 header with IPv4 addresses.
const GATEWAY_HEADER_BYTES: usize = 28;

/// Guards against large packets of some callers that are lost or fragmented behind a gateway: with
/// a header whose length depends on its values, ports, service numbers and revisions grow until the
/// largest frame exceeds the MTU.
#[test]
fn the_largest_datagram_fits_a_link() {
    let [none, all] = [0, u32::MAX];
    for (number, port, revision, hops) in [(none, 0, 0, 0), (all, u16::MAX, u64::MAX, u8::MAX)] {
        let header = ForwardHeader {
            service_address: SocketAddrV4::new(Ipv4Addr::from(number), port),
            ..header((number, port), number, revision, hops)
        };
        let mut frame = Vec::new();
        seal_forward(&header, &[0; MAX_DATAGRAM_BYTES], &ring(&[1]), &mut frame);
        let payload = GATEWAY_HEADER_BYTES + frame.len();
        assert!(payload <= LINK_PAYLOAD_BYTES, "{payload} bytes");
        let opened = open_forward(&frame, &ring(&[1]));
        assert_eq!(opened.map(|(read, _)| read), Ok(header));
    }
}

#[test]
fn sealing_into_a_buffer_with_room_does_not_move_it() {
    let mut out = Vec::with_capacity(2_048);
    out.extend_from_slice(b"before");
    let pointer = out.as_ptr();
    let keys = ring(&[1]);
    seal_forward(&header((1, 2), 3, 4, 0), &[9; 1_200], &keys, &mut out);
    assert_eq!(out.as_ptr(), pointer);
    assert!(open_forward(&out[6..], &keys).is_ok());
}

#[test]
fn other_frames_are_rejected_as_forward_frames() {
    struct ForwardCase {
        name: &'static str,
        frame: Vec<u8>,
        expected: FrameError,
    }
    let keys = ring(&[1]);
    let mut short = Vec::new();
    seal_frame(FrameKind::Forward, &keys, &mut short, |out| {
        out.extend_from_slice(&[1, 2, 3]);
    });
    let mut one_byte_short = Vec::new();
    seal_frame(FrameKind::Forward, &keys, &mut one_byte_short, |out| {
        out.extend_from_slice(&[0xff; 24]);
    });
    let cases = [
        ForwardCase {
            name: "another kind",
            frame: seal_message(FrameKind::Relay, &1_u8, &keys),
            expected: FrameError::UnexpectedKind { kind: 3 },
        },
        ForwardCase {
            name: "a truncated header",
            frame: short,
            expected: FrameError::InvalidPayload,
        },
        ForwardCase {
            name: "a header without its last byte",
            frame: one_byte_short,
            expected: FrameError::InvalidPayload,
        },
    ];
    for case in cases {
        let opened = open_forward(&case.frame, &keys);
        assert_eq!(opened, Err(case.expected), "{}", case.name);
    }
}

quickcheck! {
    fn sealed_frames_open(caller: (u32, u16), ids: (u32, u64), hops: u8, datagram: Vec<u8>)
        -> bool
    {
        let keys = ring(&[1]);
        let header = header(caller, ids.0, ids.1, hops);
        let mut frame = Vec::new();
        seal_forward(&header, &datagram, &keys, &mut frame);
        open_forward(&frame, &keys) == Ok((header, &datagram[..]))
    }

    fn any_bytes_are_refused(bytes: Vec<u8>) -> bool {
        open_forward(&bytes, &ring(&[1])).is_err()
    }

    /// A process of the fleet can run another build, so its payloads must not cause a panic either.
    fn any_sealed_payload_is_read_without_panic(payload: Vec<u8>) -> bool {
        let keys = ring(&[1]);
        let mut frame = Vec::new();
        seal_frame(FrameKind::Forward, &keys, &mut frame, |out| out.extend_from_slice(&payload));
        match open_forward(&frame, &keys) {
            Ok((_, datagram)) => payload.ends_with(datagram),
            Err(error) => error == FrameError::InvalidPayload,
        }
    }
}
