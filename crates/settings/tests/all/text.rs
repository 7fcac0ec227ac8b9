//! The service text: accepted texts, and the message of each fault.

use lovagelatch_settings::{MAX_TEXT_BYTES, ServiceText};
use quickcheck::quickcheck;

use crate::assert_faults;

struct FaultCase {
    name: &'static str,
    text: &'static str,
    /// The start of each expected message, in order.
    faults: &'static [&'static str],
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        name: "field before any section",
        text: "address = 127.0.0.1:1\n",
        faults: &["line 1: field outside a section"],
    },
    FaultCase {
        name: "unknown section",
        text: "[server a]\n",
        faults: &["line 1: unknown section [server a]; write '[service NAME]'"],
    },
    FaultCase {
        name: "unknown field",
        text: "[service a]\naddress = 127.0.0.1:1\nport = 3\n",
        faults: &["line 3: unknown field 'port'"],
    },
    FaultCase {
        name: "invalid name",
        text: "[service A]\naddress = 127.0.0.1:1\n",
        faults: &["line 1: invalid name \"A\""],
    },
    FaultCase {
        name: "invalid addresses",
        text: "[service a]\naddress = localhost:1\naddress = 127.0.0.1\naddress = 1.2.3.4:5 x y\n",
        faults: &[
            "line 2: invalid address",
            "line 3: invalid address",
            "line 4: invalid address",
        ],
    },
    FaultCase {
        name: "address of two services",
        text: "[service a]\naddress = 127.0.0.1:1\n[service b]\naddress = 127.0.0.1:1\n",
        faults: &["line 4: address 127.0.0.1:1 is already listed on line 2"],
    },
    FaultCase {
        name: "duplicate service",
        text: "[service a]\naddress = 127.0.0.1:1\n[service a]\naddress = 127.0.0.1:2\n",
        faults: &["line 3: service a is already defined on line 1"],
    },
    FaultCase {
        name: "no address",
        text: "[service a]\n",
        faults: &["line 1: service a has no address"],
    },
    FaultCase {
        name: "unknown and repeated dependency",
        text: "[service a]\naddress = 127.0.0.1:1\ndepends = b, b\n",
        faults: &[
            "line 3: b is listed twice",
            "line 3: a depends on b, which is not in this text",
        ],
    },
    FaultCase {
        name: "cycle of three",
        text: "[service a]\naddress = 127.0.0.1:1\ndepends = b\n\
               [service b]\naddress = 127.0.0.1:2\ndepends = c\n\
               [service c]\naddress = 127.0.0.1:3\ndepends = a\n",
        faults: &["line 9: dependencies form a cycle: a -> b -> c -> a"],
    },
    FaultCase {
        name: "cycle of one",
        text: "[service a]\naddress = 127.0.0.1:1\ndepends = a\n",
        faults: &["line 3: dependencies form a cycle: a -> a"],
    },
    FaultCase {
        name: "invalid once-only route",
        text: "[service a]\naddress = 127.0.0.1:1\nonce = /claims\n",
        faults: &["line 3: invalid once-only route"],
    },
    FaultCase {
        name: "several faults at once",
        text: "[service a]\naddress = nowhere\nonce = x\nshape = round\n",
        faults: &[
            "line 2: invalid address",
            "line 3: invalid once-only",
            "line 4: unknown field",
        ],
    },
];

#[test]
fn each_fault_names_its_line_and_the_remedy() {
    for case in FAULT_CASES {
        let faults = ServiceText::parse(case.text).expect_err(case.name).0;
        assert_faults(case.name, &faults, case.faults);
    }
}

#[test]
fn a_whole_text_is_read() {
    let text = ServiceText::parse(
        "# the consortium's services\n[service claims]\naddress = 127.20.0.1:4433 ludhiana\n\
         address = 127.20.0.2:4433\ndepends = certificates\nonce = post /claims\n\n\
         [service certificates]\naddress = 127.20.1.1:4433\n",
    )
    .expect("the text has no fault");
    let (claims, address) = text.service_at("127.20.0.1:4433".parse().unwrap()).unwrap();
    assert_eq!(claims.name.as_str(), "claims");
    assert_eq!(address.agency.as_ref().unwrap().as_str(), "ludhiana");
    assert!(claims.is_once_only("POST", "/claims?draft=1"));
    assert!(!claims.is_once_only("GET", "/claims"));
    assert!(!claims.is_once_only("POST", "/claims/7"));
    assert_eq!(text.service_by_id(claims.name.id()), Some(claims));
}

#[test]
fn a_text_that_the_platform_cannot_hold_is_refused() {
    let text = "#".repeat(MAX_TEXT_BYTES + 1);
    let faults = ServiceText::parse(&text).expect_err("too large");
    assert!(faults.to_string().contains("1000001 bytes"), "{faults}");
}

/// Guards against a stack overflow on a text with thousands of services that each depend on the
/// next, which a recursive search for cycles would cause.
#[test]
fn a_long_chain_of_dependencies_is_walked() {
    let mut text = String::new();
    for number in 0..5_000 {
        let next = if number < 4_999 {
            format!("depends = s{}\n", number + 1)
        } else {
            String::new()
        };
        let (high, low) = (number / 250, number % 250);
        text += &format!("[service s{number}]\naddress = 127.1.{high}.{low}:1\n{next}");
    }
    assert_eq!(ServiceText::parse(&text).unwrap().services.len(), 5_000);
}

quickcheck! {
    fn any_text_is_read_or_refused(text: String) -> bool {
        match ServiceText::parse(&text) {
            Ok(text) => text.services.iter().all(|service| !service.addresses.is_empty()),
            Err(faults) => !faults.0.is_empty(),
        }
    }

    fn any_shuffle_of_valid_lines_never_panics(order: Vec<u8>) -> bool {
        const LINES: [&str; 8] = [
            "[service a]", "[service b]", "address = 127.0.0.1:1", "address = 127.0.0.1:2 x",
            "depends = a", "depends = b", "once = POST /c", "= [",
        ];
        let lines: Vec<&str> = order.iter().map(|&n| LINES[usize::from(n) % LINES.len()]).collect();
        match ServiceText::parse(&lines.join("\n")) {
            Ok(text) => text.services.iter().all(|service| !service.addresses.is_empty()),
            Err(faults) => !faults.0.is_empty(),
        }
    }
}
