//! Tests of names, service ids and moments.

use std::collections::HashSet;
use std::time::Duration;

use lovagelatch_domain::{MAX_NAME_BYTES, Moment, NameError, ServiceName};
use quickcheck::quickcheck;

struct NameCase {
    text: &'static str,
    error: Option<NameError>,
}

#[test]
fn invalid_names_are_rejected() {
    let cases = [
        NameCase {
            text: "claims",
            error: None,
        },
        NameCase {
            text: "council-tax_2.rebate",
            error: None,
        },
        NameCase {
            text: "",
            error: Some(NameError::Empty),
        },
        NameCase {
            text: "Claims",
            error: Some(NameError::BadCharacter { character: 'C' }),
        },
        NameCase {
            text: "a b",
            error: Some(NameError::BadCharacter { character: ' ' }),
        },
        NameCase {
            text: "a<b",
            error: Some(NameError::BadCharacter { character: '<' }),
        },
    ];
    for case in cases {
        let error = case.text.parse::<ServiceName>().err();
        assert_eq!(error, case.error, "{:?}", case.text);
    }
    let length = MAX_NAME_BYTES + 1;
    let error = "a".repeat(length).parse::<ServiceName>().err();
    assert_eq!(error, Some(NameError::TooLong { length }));
}

// Guards against misrouted flows between two builds: the service id is part of the wire protocol,
// so a release that changes its hash misroutes flows while old and new processes run side by side.
// The values of the hash are written down nowhere else, so this test pins them.
#[test]
fn service_ids_are_stable() {
    let names = ["claims", "certificates", "reports", "maps"];
    let ids = names.map(|name| name.parse::<ServiceName>().unwrap().id().0);
    assert_eq!(ids, SERVICE_IDS);
    let distinct: HashSet<u32> = ids.into_iter().collect();
    assert_eq!(distinct.len(), names.len());
}

const SERVICE_IDS: [u32; 4] = [163_821_759, 4_268_277_311, 3_712_493_487, 2_393_167_281];

#[test]
fn moment_arithmetic_saturates() {
    let late = Moment::from_micros(u64::MAX);
    assert_eq!(late + Duration::MAX, late);
    assert_eq!(Moment::ZERO - Duration::from_secs(1), Moment::ZERO);
    assert_eq!(Moment::ZERO.since(late), Duration::ZERO);
    assert_eq!(
        Moment::from_millis(5).since(Moment::from_millis(3)),
        Duration::from_millis(2)
    );
}

quickcheck! {
    fn names_round_trip_or_are_rejected(text: String) -> bool {
        let bytes = postcard::to_stdvec(&text).unwrap();
        match (text.parse::<ServiceName>(), postcard::from_bytes::<ServiceName>(&bytes)) {
            (Ok(parsed), Ok(received)) => parsed == received,
            (Err(_), Err(_)) => true,
            _ => false,
        }
    }
}
