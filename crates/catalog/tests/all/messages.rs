//! Encoding of the messages between balancers.

use lovagelatch_catalog::{CatalogHead, CatalogMessage, MessageError};

use crate::support::address;

fn ask() -> CatalogMessage {
    CatalogMessage::Ask {
        sender: address(1),
        head: CatalogHead::default(),
        verification: None,
    }
}

#[test]
fn a_message_is_decoded_as_it_was_encoded() {
    assert_eq!(CatalogMessage::decode(&ask().encode()), Ok(ask()));
}

struct ForeignCase {
    name: &'static str,
    bytes: Vec<u8>,
    malformed: bool,
}

// Guards against two releases that compare revisions of different meaning: the later one would
// ignore every change that the earlier one reports.
#[test]
fn a_message_of_another_release_is_refused() {
    let encoded = ask().encode();
    let cases = [
        ForeignCase {
            name: "the release without a version",
            bytes: encoded[1..].to_vec(),
            malformed: false,
        },
        ForeignCase {
            name: "empty",
            bytes: Vec::new(),
            malformed: false,
        },
        ForeignCase {
            name: "cut short",
            bytes: encoded[..3].to_vec(),
            malformed: true,
        },
    ];
    for case in cases {
        let error = CatalogMessage::decode(&case.bytes).expect_err(case.name);
        let malformed = matches!(error, MessageError::Malformed(_));
        assert_eq!(malformed, case.malformed, "{}: {error}", case.name);
    }
}
