//! Stopping the launcher with a signal.

use std::time::{Duration, Instant};

use crate::launcher::{LauncherRun, STARTUP_TIMEOUT};

/// Guards against processes that keep running and hold their ports after Ctrl-C, because the
/// launcher ends on a signal without stopping the processes that it started.
#[test]
fn a_held_deployment_reports_its_addresses_and_stops_cleanly() {
    for signal in [libc::SIGINT, libc::SIGTERM] {
        let mut run = LauncherRun::start(&["desai", "--hold"]);
        let line = run.wait_until_up();
        let services = line["services"].as_array().expect("a list of services");
        for service in services {
            for field in ["name", "address", "server_name", "ca"] {
                assert!(service[field].is_string(), "{field}: {line}");
            }
        }
        assert!(!run.processes().is_empty(), "no process runs");
        let end = run.stop(signal);
        assert_eq!(end.status.code(), Some(0), "{end:#?}");
    }
}

/// Guards against processes left behind by a signal while callers run and a fault is in progress.
#[test]
fn an_interrupted_run_stops_cleanly() {
    let mut run = LauncherRun::start(&["indus", "--seconds", "60", "--fault", "pause-target@0"]);
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    while run.processes().len() < 3 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(Duration::from_secs(2));
    let end = run.stop(libc::SIGTERM);
    assert_eq!(end.status.code(), Some(1), "{end:#?}");
}
