//! Relay messages.

use std::time::Duration;

use lovagelatch_domain::{AttemptId, GateCondition, GateReport, RefusalReason};
use lovagelatch_wire::{
    FrameError, FrameKind, RelayHead, RelayMessage, WireHeader, open_message, seal_frame,
    seal_message,
};
use quickcheck::quickcheck;
use smallvec::smallvec;

use crate::support::ring;

#[test]
fn relay_messages_round_trip() {
    let attempt = AttemptId(u128::MAX - 3);
    let load = GateReport {
        slots: 3,
        in_use: 2,
        queued: 70_000,
        expected_wait: Duration::from_micros(1_234_567),
        service_time: Duration::from_millis(100),
        condition: GateCondition::Warming {
            remaining: Duration::from_secs(5),
        },
    };
    let messages = [
        RelayMessage::Body(vec![1, 2, 3]),
        RelayMessage::BodyEnd,
        RelayMessage::Cancel(attempt),
        RelayMessage::Refused {
            attempt,
            reason: RefusalReason::OverShare,
            retry_after: Duration::from_millis(1_500),
            attempts_left: Some(0),
            load: Some(load),
        },
        RelayMessage::Head(RelayHead {
            attempt,
            status: 503,
            headers: smallvec![WireHeader {
                name: "retry-after".to_owned(),
                value: b"2".to_vec(),
            }],
        }),
        RelayMessage::End {
            attempt,
            load: Some(load),
        },
        RelayMessage::End {
            attempt,
            load: None,
        },
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
            Err(error) => error == FrameError::InvalidPayload,
        }
    }
}
