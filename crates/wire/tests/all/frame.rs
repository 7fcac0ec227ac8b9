//! The frame around every message.

use lovagelatch_wire::{
    FRAME_OVERHEAD_BYTES, FrameError, FrameKind, open_frame, open_message, seal_frame, seal_message,
};
use quickcheck::quickcheck;

use crate::support::ring;

fn sample() -> Vec<u8> {
    seal_message(FrameKind::Membership, &(7_u32, "text"), &ring(&[1]))
}

#[test]
fn invalid_frames_are_rejected_with_typed_errors() {
    struct FrameCase {
        name: &'static str,
        bytes: Vec<u8>,
        expected: FrameError,
    }
    let changed = |position: usize, value: u8| {
        let mut bytes = sample();
        bytes[position] = value;
        bytes
    };
    let last = sample().len() - 1;
    let case = |name, bytes, expected| FrameCase {
        name,
        bytes,
        expected,
    };
    let short = FRAME_OVERHEAD_BYTES - 1;
    let cases = [
        case("empty", Vec::new(), FrameError::Truncated { length: 0 }),
        case(
            "shorter than an empty frame",
            sample()[..short].to_vec(),
            FrameError::Truncated { length: short },
        ),
        case(
            "of a later wire version",
            changed(0, 2),
            FrameError::UnsupportedVersion { version: 2 },
        ),
        case(
            "of an unknown kind",
            changed(1, 99),
            FrameError::UnexpectedKind { kind: 99 },
        ),
        case(
            "of another kind than sealed",
            changed(1, 3),
            FrameError::InvalidTag,
        ),
        case(
            "of an unknown generation",
            changed(2, 9),
            FrameError::InvalidTag,
        ),
        case("payload changed", changed(3, 0xff), FrameError::InvalidTag),
        case(
            "one byte truncated",
            sample()[..last].to_vec(),
            FrameError::InvalidTag,
        ),
        case(
            "one trailing byte",
            [sample(), vec![0]].concat(),
            FrameError::InvalidTag,
        ),
    ];
    for case in cases {
        let opened = open_frame(&case.bytes, &ring(&[1]));
        assert_eq!(opened.err(), Some(case.expected), "{}", case.name);
    }
}

#[test]
fn a_message_must_be_complete_and_of_its_kind() {
    let keys = ring(&[1]);
    let read = open_message::<(u32, String)>(FrameKind::Membership, &sample(), &keys);
    assert_eq!(read, Ok((7, "text".to_owned())));
    let other = open_message::<(u32, String)>(FrameKind::Relay, &sample(), &keys);
    assert_eq!(other, Err(FrameError::UnexpectedKind { kind: 2 }));
    let part = open_message::<u32>(FrameKind::Membership, &sample(), &keys);
    assert_eq!(part, Err(FrameError::InvalidPayload));
    let more = open_message::<(u32, String, String)>(FrameKind::Membership, &sample(), &keys);
    assert_eq!(more, Err(FrameError::InvalidPayload));
}

/// Guards against a key rotation during which half the fleet rejects the other half: processes
/// switch to the new key at different times, and a process that accepts only its current key drops
/// their frames.
#[test]
fn processes_before_and_after_a_rotation_accept_each_other() {
    let rings = [ring(&[1, 2]), ring(&[2, 1])];
    for sender in &rings {
        for receiver in &rings {
            let frame = seal_message(FrameKind::Relay, &5_u8, sender);
            let read = open_message::<u8>(FrameKind::Relay, &frame, receiver);
            assert_eq!(read, Ok(5));
        }
    }
    let late = seal_message(FrameKind::Relay, &5_u8, &ring(&[1]));
    assert_eq!(
        open_frame(&late, &ring(&[3, 2])),
        Err(FrameError::InvalidTag)
    );
}

quickcheck! {
    fn sealed_frames_open(payload: Vec<u8>) -> bool {
        let keys = ring(&[1]);
        let mut frame = Vec::new();
        seal_frame(FrameKind::Ledger, &keys, &mut frame, |out| out.extend_from_slice(&payload));
        let opened = open_frame(&frame, &keys).expect("just sealed");
        opened.kind == FrameKind::Ledger
            && opened.payload == payload
            && frame.len() == payload.len() + FRAME_OVERHEAD_BYTES
    }

    fn any_bytes_are_refused(bytes: Vec<u8>) -> bool {
        open_frame(&bytes, &ring(&[1])).is_err()
    }

    fn any_body_of_a_known_kind_is_refused(kind: u8, body: Vec<u8>) -> bool {
        let bytes = [vec![1, 1 + kind % 4, 1], body].concat();
        open_frame(&bytes, &ring(&[1])).is_err()
    }

    fn a_changed_byte_is_refused(position: usize, change: u8) -> bool {
        let mut frame = sample();
        let position = position % frame.len();
        frame[position] ^= change;
        change == 0 || open_frame(&frame, &ring(&[1])).is_err()
    }
}
