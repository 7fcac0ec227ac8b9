//! Sealing, opening and ages of request tickets.

use std::time::Duration;

use lovagelatch_domain::{Incarnation, ServiceId};
use lovagelatch_keys::{RequestTicket, TICKET_TEXT_BYTES, TicketError};
use quickcheck::quickcheck;

use crate::support::{address, ring, rotation_cases};

const FIELD_BOUND: u64 = 1 << 48;

fn sample() -> RequestTicket {
    RequestTicket {
        home: address(0x7f00_0001, 7_101),
        incarnation: Incarnation(0x0123_4567_89ab_cdef),
        service: ServiceId(9),
        serial: 5,
        issued_seconds: 1_000,
    }
}

#[test]
fn bad_tickets_are_typed_errors() {
    struct TicketCase {
        name: &'static str,
        text: String,
        expected: TicketError,
    }
    let keys = ring(&[1]);
    let text = sample().seal(&keys);
    assert_eq!(text.len(), TICKET_TEXT_BYTES);
    let changed = |position: usize| {
        let mut text = text.clone().into_bytes();
        text[position] = if text[position] == b'0' { b'1' } else { b'0' };
        String::from_utf8(text).expect("hexadecimal digits")
    };
    let case = |name, text, expected| TicketCase {
        name,
        text,
        expected,
    };
    let cases = [
        case("empty", String::new(), TicketError::Malformed),
        case(
            "idempotency key chosen by a caller",
            "order-7781".to_owned(),
            TicketError::Malformed,
        ),
        case(
            "truncated",
            text[..TICKET_TEXT_BYTES - 2].to_owned(),
            TicketError::Malformed,
        ),
        case("too long", format!("{text}00"), TicketError::Malformed),
        case(
            "not hexadecimal",
            "z".repeat(TICKET_TEXT_BYTES),
            TicketError::Malformed,
        ),
        case("not ASCII", "é".repeat(49), TicketError::Malformed),
        case(
            "unknown generation",
            changed(0),
            TicketError::UnknownGeneration { generation: 0x11 },
        ),
        case("changed home", changed(4), TicketError::InvalidTag),
        case("changed serial", changed(50), TicketError::InvalidTag),
        case(
            "changed tag",
            changed(TICKET_TEXT_BYTES - 1),
            TicketError::InvalidTag,
        ),
    ];
    for case in cases {
        let opened = RequestTicket::open(&case.text, &keys);
        assert_eq!(opened, Err(case.expected), "{}", case.name);
    }
}

#[test]
fn two_generations_open_tickets() {
    for case in rotation_cases() {
        let text = sample().seal(&case.sealed_by);
        let opened = RequestTicket::open(&text, &case.opened_by).ok();
        assert_eq!(opened, case.opens.then(sample), "{}", case.name);
    }
}

#[test]
fn a_clock_that_went_back_makes_no_negative_age() {
    assert_eq!(sample().age(1_090), Duration::from_secs(90));
    assert_eq!(sample().age(10), Duration::ZERO);
}

quickcheck! {
    fn a_sealed_ticket_opens(ip: u32, incarnation: u64, service: u32, serial: u64, issued: u64)
        -> bool
    {
        let keys = ring(&[2, 1]);
        let ticket = RequestTicket {
            home: address(ip, 7_101),
            incarnation: Incarnation(incarnation),
            service: ServiceId(service),
            serial: serial % FIELD_BOUND,
            issued_seconds: issued % FIELD_BOUND,
        };
        RequestTicket::open(&ticket.seal(&keys), &keys) == Ok(ticket)
    }

    fn any_text_is_refused(text: String) -> bool {
        RequestTicket::open(&text, &ring(&[1])).is_err()
    }

    fn a_changed_digit_is_refused(position: usize, digit: u8) -> bool {
        let keys = ring(&[1]);
        let text = sample().seal(&keys);
        let mut changed = text.clone().into_bytes();
        changed[position % TICKET_TEXT_BYTES] = b"0123456789abcdef"[usize::from(digit % 16)];
        let changed = String::from_utf8(changed).expect("hexadecimal digits");
        changed == text || RequestTicket::open(&changed, &keys).is_err()
    }
}
