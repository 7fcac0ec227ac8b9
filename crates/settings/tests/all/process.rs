//! Settings files: defaults, and all faults at once, each with its line.

use lovagelatch_settings::{AddressBlock, AgentSettings, BalancerSettings, IngressKind};
use quickcheck::quickcheck;

use crate::assert_faults;

const BALANCER: &str = "\
[process]
name = balancer-1
zone = lahore-a
control = 127.0.0.1:7101
operations = 127.0.0.1:8101
[platform]
address = 127.0.0.1:6000
[keys]
file = fleet.keys
[balancer]
ingress = proxy-v2
listen = 127.0.0.1:7001
";

#[test]
fn a_whole_file_is_read_with_defaults() {
    let settings = BalancerSettings::parse(BALANCER).expect("no fault");
    assert_eq!(settings.ingress, IngressKind::ProxyV2);
    assert_eq!(settings.common.threads, 2);
    assert_eq!(settings.common.gateway, None);
    assert_eq!(settings.common.limits.drain.as_millis(), 30_000);
}

struct FaultCase {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    faults: &'static [&'static str],
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        name: "missing field",
        from: "zone = lahore-a\n",
        to: "",
        faults: &["line 0: [process] zone: missing"],
    },
    FaultCase {
        name: "bad address and unknown field",
        from: "control = 127.0.0.1:7101",
        to: "control = here\ncolour = red",
        faults: &[
            "line 4: [process] control: \"here\" is not an address IP:PORT",
            "line 5: [process] colour: unknown field",
        ],
    },
    FaultCase {
        name: "set twice",
        from: "listen = 127.0.0.1:7001",
        to: "listen = 127.0.0.1:7001\nlisten = 127.0.0.1:7002",
        faults: &["line 13: [balancer] listen: set more than once"],
    },
    FaultCase {
        name: "unknown section",
        from: "[keys]",
        to: "[locks]",
        faults: &[
            "line 0: [keys] file: missing",
            "line 8: [locks] : unknown section",
        ],
    },
    FaultCase {
        name: "no threads",
        from: "zone = lahore-a",
        to: "zone = lahore-a\nthreads = 0",
        faults: &["line 4: [process] threads: must be at least 1"],
    },
    FaultCase {
        name: "a seed without a port",
        from: "[keys]",
        to: "[network]\nseeds = 127.0.0.1:1, 127.0.0.2\n[keys]",
        faults: &["line 9: [network] seeds: \"127.0.0.1:1, 127.0.0.2\" is not a list"],
    },
    FaultCase {
        name: "unknown ingress",
        from: "proxy-v2",
        to: "proxy-v1",
        faults: &["line 11: [balancer] ingress: \"proxy-v1\" is not 'direct' or 'proxy-v2'"],
    },
];

#[test]
fn every_fault_is_listed_with_line_and_field() {
    for case in FAULT_CASES {
        let text = BALANCER.replacen(case.from, case.to, 1);
        let faults = BalancerSettings::parse(&text).expect_err(case.name).0;
        assert_faults(case.name, &faults, case.faults);
    }
}

#[test]
fn an_empty_file_lists_all_that_is_missing() {
    let faults = AgentSettings::parse("").expect_err("nothing is given").0;
    assert!(faults.len() >= 12, "{faults:?}");
    assert!(
        faults
            .iter()
            .all(|fault| fault.reason.starts_with("missing"))
    );
}

#[test]
fn address_blocks_contain_the_addresses_with_their_prefix() {
    struct BlockCase(&'static str, &'static str, bool);
    const CASES: &[BlockCase] = &[
        BlockCase("127.0.0.0/8", "127.255.3.4", true),
        BlockCase("127.0.0.0/8", "128.0.0.1", false),
        BlockCase("0.0.0.0/0", "9.9.9.9", true),
        BlockCase("10.1.2.3/32", "10.1.2.3", true),
        BlockCase("10.1.2.3/32", "10.1.2.2", false),
    ];
    for BlockCase(block, address, expected) in CASES {
        let parsed: AddressBlock = block.parse().unwrap();
        assert_eq!(
            parsed.contains(address.parse().unwrap()),
            *expected,
            "{block} {address}"
        );
    }
    for bad in ["127.0.0.1", "127.0.0.1/33", "x/8", ""] {
        assert!(bad.parse::<AddressBlock>().is_err(), "{bad}");
    }
}

quickcheck! {
    fn any_text_is_read_or_refused(text: String) -> bool {
        BalancerSettings::parse(&text).is_err() && AgentSettings::parse(&text).is_err()
    }
}
