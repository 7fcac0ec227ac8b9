//! Runs the main future of a process and maps its result to an exit code.

use std::error::Error;
use std::io;
use std::process::ExitCode;

use lovagelatch_telemetry::{Logger, error, flush_log};
use tokio::runtime::{Builder, Runtime};

/// Ignores SIGHUP, with which operators announce a change of settings. Must be called first.
///
/// By default the signal kills a process. It takes a few milliseconds from the start of a process
/// until it watches its settings, and a SIGHUP in that time would kill it silently. Ignoring the
/// signal loses no change: the watcher compares the file with the version that was read at start.
pub fn ignore_hangup() {
    // SAFETY: `SIG_IGN` installs no handler, so no code runs in signal context.
    unsafe {
        libc::signal(libc::SIGHUP, libc::SIG_IGN);
    }
}

/// Runs `body` on a runtime with `threads` worker threads.
pub fn run_on_threads<E: Error>(
    threads: usize,
    log: &Logger,
    body: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime = Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build();
    run_process(runtime, log, body)
}

/// Runs `body` on a single-threaded runtime. Processes for opaque packets have few tasks and run
/// on small instances, where each thread costs wake-ups and memory.
pub fn run_on_one_thread<E: Error>(
    log: &Logger,
    body: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime = Builder::new_current_thread().enable_all().build();
    run_process(runtime, log, body)
}

/// Runs `body` on `runtime` and logs its error, if any. Does not wait for tasks that are still
/// running when `body` ends.
fn run_process<E: Error>(
    runtime: io::Result<Runtime>,
    log: &Logger,
    body: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let code = match runtime {
        Ok(runtime) => {
            let outcome = runtime.block_on(body);
            runtime.shutdown_background();
            exit_code(outcome, log)
        }
        Err(failure) => {
            error!(log, "runtime not started"; "error" => failure.to_string());
            ExitCode::FAILURE
        }
    };
    flush_log();
    code
}

fn exit_code<E: Error>(outcome: Result<(), E>, log: &Logger) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "process failed"; "error" => failure.to_string());
            ExitCode::FAILURE
        }
    }
}
