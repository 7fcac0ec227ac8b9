//! A log that nobody reads delays nobody, and does not keep a process from ending.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lovagelatch_telemetry::{info, new_logger, write_waiting_lines};

/// Set in the process that logs.
const CHILD: &str = "LOVAGELATCH_STUCK_LOG";

/// Far more bytes than a pipe and the queue hold together.
const LINES: u32 = 100_000;

/// A line takes some microseconds; a writer that waited for the reader would never end.
const LONGEST_FLOOD: Duration = Duration::from_secs(20);

/// From the last line to the process's end.
const LONGEST_END: Duration = Duration::from_secs(5);

// Symptom: a process whose output is not read stands still, or does not end when it is told to.
// Sequence: the reader of its standard output stops reading; lines go on until the pipe and the
// queue are full; the process is told to stop. Cause: a write to a full pipe waits for its reader.
#[test]
fn a_log_that_nobody_reads_delays_nobody() {
    if std::env::var_os(CHILD).is_some() {
        flood();
    }
    let mut child = Command::new(std::env::current_exe().expect("this test's path"))
        .args([
            "--exact",
            "stuck::a_log_that_nobody_reads_delays_nobody",
            "--nocapture",
        ])
        .env(CHILD, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process that logs");
    let ended = wait(&mut child, LONGEST_FLOOD + LONGEST_END);
    if !ended {
        child.kill().expect("the process that logs is ended");
    }
    let status = child.wait().expect("its end");
    assert!(
        ended,
        "the process did not end while its output was not read"
    );
    assert!(status.success(), "{status}");
}

/// Logs beyond what anybody reads, and ends the process as a program does.
fn flood() -> ! {
    let log = new_logger("test", "stuck", "hall-a");
    let start = Instant::now();
    for number in 0..LINES {
        info!(log, "a line of a flood"; "number" => number);
    }
    let flood = start.elapsed();
    write_waiting_lines();
    std::process::exit(i32::from(flood > LONGEST_FLOOD));
}

fn wait(child: &mut Child, longest: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < longest {
        if child.try_wait().expect("its state").is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
