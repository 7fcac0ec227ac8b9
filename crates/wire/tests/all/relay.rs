//! Relay messages.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, RefusalReason};
use lovagelatch_wire::{
    FrameError, FrameKind, RelayHead, RelayMessage, WireHeader, open_message, seal_frame,
    seal_message,
};
use quickcheck::quickcheck;
use smallvec::smallvec;

use crate::support::ring;

#[test]
fn relay_messages_survive_the_wire() {
    let attempt = AttemptId(u128::MAX - 3);
    let messages = [
        RelayMessage::Body(vec![1, 2, 3]),
        RelayMessage::BodyEnd,
        RelayMessage::Cancel(attempt),
        RelayMessage::Refused {
            attempt,
            reason: RefusalReason::OverShare,
            retry_after: Duration::from_millis(1_500),
        },
        RelayMessage::Head(RelayHead {
            attempt,
            status: 503,
            headers: smallvec![WireHeader {
                name: "retry-after".to_owned(),
                value: b"2".to_vec(),
            }],
        }),
        RelayMessage::End(attempt),
        RelayMessage::Lost(attempt),
    ];
    let keys = ring(&[1]);
    for message in messages {
        let frame = seal_message(FrameKind::Relay, &message, &keys);
        let read = open_message::<RelayMessage>(FrameKind::Relay, &frame, &keys);
        assert_eq!(read, Ok(message));
    }
}

quickcheck! {
    fn any_sealed_payload_is_read_without_panic(payload: Vec<u8>) -> bool {
        let keys = ring(&[1]);
        let mut frame = Vec::new();
        seal_frame(FrameKind::Relay, &keys, &mut frame, |out| out.extend_from_slice(&payload));
        match open_message::<RelayMessage>(FrameKind::Relay, &frame, &keys) {
            Ok(_) => true,
            Err(error) => error == FrameError::BadPayload,
        }
    }
}
