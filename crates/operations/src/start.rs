//! Running a process's body and telling how it ended.

use std::error::Error;
use std::io;
use std::process::ExitCode;

use lovagelatch_telemetry::{Logger, error, write_waiting_lines};
use tokio::runtime::{Builder, Runtime};

/// Makes the process outlive SIGHUP, with which operators announce a change of settings; the first thing
/// that it does.
///
/// What goes wrong otherwise: the signal ends whoever does not expect it. A process needs some
/// milliseconds from its start until it watches its settings, and one that was sent the signal in that
/// time was gone without a word until somebody started it again. Nothing is lost by ignoring it: the watch
/// compares the file with what the process read.
pub fn ignore_hangup() {
    // SAFETY: no handler is installed, so no code of this process runs in a signal's context.
    unsafe {
        libc::signal(libc::SIGHUP, libc::SIG_IGN);
    }
}

/// Runs `body`, whose tasks have `threads` threads.
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

/// Runs `body`, whose tasks share one thread: they have little to do, and each thread of a runtime
/// costs wake-ups and memory on the small instances that carry opaque packets.
pub fn run_on_one_thread<E: Error>(
    log: &Logger,
    body: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let runtime = Builder::new_current_thread().enable_all().build();
    run_process(runtime, log, body)
}

/// Runs `body` on `runtime` and logs why it failed, if it did. Work that outlives the body does
/// not hold the process up.
fn run_process<E: Error>(
    runtime: io::Result<Runtime>,
    log: &Logger,
    body: impl Future<Output = Result<(), E>>,
) -> ExitCode {
    let code = match runtime {
        Ok(runtime) => {
            let outcome = runtime.block_on(body);
            runtime.shutdown_background();
            code_of(outcome, log)
        }
        Err(failure) => {
            error!(log, "threads of the runtime"; "error" => failure.to_string());
            ExitCode::FAILURE
        }
    };
    write_waiting_lines();
    code
}

fn code_of<E: Error>(outcome: Result<(), E>, log: &Logger) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "process cannot run"; "error" => failure.to_string());
            ExitCode::FAILURE
        }
    }
}
