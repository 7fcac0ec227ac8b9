//! Tests that an unread log blocks neither logging nor the exit of the process.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lovagelatch_telemetry::{flush_log, info, new_logger};

/// Environment variable set in the child process that logs.
const CHILD_VARIABLE: &str = "LOVAGELATCH_STUCK_LOG";

/// Far more lines than the pipe and the queue hold together.
const LINE_COUNT: u32 = 100_000;

/// A line takes a few microseconds; logging that waited for the reader would never finish.
const FLOOD_TIMEOUT: Duration = Duration::from_secs(20);

/// Limit from the last line to the exit of the process.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

// Guards against a process that hangs, or does not exit when stopped, because its output is not
// read: once the pipe and the queue are full, a write to the pipe blocks until someone reads.
#[test]
fn unread_log_blocks_neither_logging_nor_exit() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        flood();
    }
    let mut child = Command::new(std::env::current_exe().expect("path of the test binary"))
        .args([
            "--exact",
            "blocked_output::unread_log_blocks_neither_logging_nor_exit",
            "--nocapture",
        ])
        .env(CHILD_VARIABLE, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the logging process starts");
    let exited = wait_for_exit(&mut child, FLOOD_TIMEOUT + EXIT_TIMEOUT);
    if !exited {
        child.kill().expect("the logging process is killed");
    }
    let status = child.wait().expect("its exit status");
    assert!(
        exited,
        "the process did not exit while its output was not read"
    );
    assert!(status.success(), "{status}");
}

/// Logs more than the pipe and the queue hold, then exits like a regular process.
fn flood() -> ! {
    let log = new_logger("test", "blocked", "hall-a");
    let start = Instant::now();
    for number in 0..LINE_COUNT {
        info!(log, "flood line"; "number" => number);
    }
    let elapsed = start.elapsed();
    flush_log();
    std::process::exit(i32::from(elapsed > FLOOD_TIMEOUT));
}

fn wait_for_exit(child: &mut Child, timeout: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if child.try_wait().expect("its status").is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
