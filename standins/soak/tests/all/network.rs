//! Concurrent runs use different addresses.

use std::io;
use std::net::TcpListener;

use lovagelatch_soak::RunNetwork;

/// Guards against a soak that fails with "Address already in use" because another soak on the
/// machine has a process id that gives the same network.
#[test]
fn a_network_that_another_run_holds_is_passed_over() {
    let (first, _held) = RunNetwork::claim(TcpListener::bind).expect("a network");
    let (second, _held) = RunNetwork::claim(TcpListener::bind).expect("another network");
    assert_ne!(first, second);
}

struct ClaimCase {
    name: &'static str,
    /// Number of the first calls that fail with `error`.
    failures: u32,
    error: io::ErrorKind,
    calls: u32,
    outcome: Result<(), io::ErrorKind>,
}

#[test]
fn only_networks_in_use_are_passed_over() {
    let in_use = io::ErrorKind::AddrInUse;
    let denied = io::ErrorKind::PermissionDenied;
    let cases = [
        ClaimCase {
            name: "none in use",
            failures: 0,
            error: in_use,
            calls: 1,
            outcome: Ok(()),
        },
        ClaimCase {
            name: "three in use",
            failures: 3,
            error: in_use,
            calls: 4,
            outcome: Ok(()),
        },
        ClaimCase {
            name: "all but one",
            failures: 199,
            error: in_use,
            calls: 200,
            outcome: Ok(()),
        },
        ClaimCase {
            name: "all in use",
            failures: 200,
            error: in_use,
            calls: 200,
            outcome: Err(in_use),
        },
        ClaimCase {
            name: "not allowed",
            failures: 1,
            error: denied,
            calls: 1,
            outcome: Err(denied),
        },
    ];
    for case in cases {
        let mut calls = 0;
        let claimed = RunNetwork::claim(|_| {
            calls += 1;
            if calls <= case.failures {
                Err(case.error.into())
            } else {
                Ok(())
            }
        });
        let outcome = claimed.map(|_| ()).map_err(|error| error.kind());
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert_eq!(calls, case.calls, "{}", case.name);
    }
}
