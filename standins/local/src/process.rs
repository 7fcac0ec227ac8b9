//! A child process of the launcher.
//!
//! A launcher that is killed would leave its child processes behind. Each child therefore asks the
//! kernel, before it executes its program, to be killed when the launcher exits. It is also in its
//! own process group: Ctrl-C reaches only the launcher, which then stops all processes in order.

use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

use crate::error::LocalError;

/// Timeout for the ready line of a stand-in.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes of a log that are shown after an unexpected exit.
const TAIL_BYTES: u64 = 2_000;

/// A child process with its log.
#[derive(Debug)]
pub(crate) struct LocalProcess {
    pub(crate) name: String,
    child: Child,
    pid: libc::pid_t,
    log: PathBuf,
    /// Whether the launcher has ended the process itself.
    pub(crate) exit_expected: bool,
    reported: bool,
}

impl LocalProcess {
    /// Starts a program with its standard error redirected to a log file. Returns the lines of its
    /// standard output.
    pub(crate) fn spawn(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
    ) -> Result<(Self, Lines<BufReader<ChildStdout>>), LocalError> {
        let mut process = Self::start(name, program, arguments, logs, |_| Ok(Stdio::piped()))?;
        match process.child.stdout.take() {
            Some(stdout) => Ok((process, BufReader::new(stdout).lines())),
            None => Err(process.exited_early()),
        }
    }

    /// Starts a program with both standard output and standard error redirected to a log file.
    pub(crate) fn spawn_logged(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
    ) -> Result<Self, LocalError> {
        let log = |file: &File| file.try_clone().map(Stdio::from);
        Self::start(name, program, arguments, logs, log)
    }

    fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
        output: impl FnOnce(&File) -> io::Result<Stdio>,
    ) -> Result<Self, LocalError> {
        let log = logs.join(format!("{name}.log"));
        let spawn_error = |error| LocalError::Spawn {
            name: name.to_owned(),
            error,
        };
        let file = File::create(&log).map_err(spawn_error)?;
        let mut command = Command::new(program);
        command
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(output(&file).map_err(spawn_error)?)
            .stderr(file)
            .process_group(0)
            .kill_on_drop(true);
        // SAFETY: `prctl` is safe to call between fork and exec, and accesses no memory.
        unsafe {
            command.pre_exec(|| {
                if libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) == 0 {
                    Ok(())
                } else {
                    Err(io::Error::last_os_error())
                }
            });
        }
        let child = command.spawn().map_err(spawn_error)?;
        let pid = child.id().and_then(|pid| libc::pid_t::try_from(pid).ok());
        let Some(pid) = pid else {
            return Err(spawn_error(io::ErrorKind::NotFound.into()));
        };
        Ok(Self {
            name: name.to_owned(),
            child,
            pid,
            log,
            exit_expected: false,
            reported: false,
        })
    }

    /// Starts a program and waits for the JSON line that reports it ready.
    pub(crate) async fn spawn_ready(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
    ) -> Result<(Self, Value), LocalError> {
        let (process, mut lines) = Self::spawn(name, program, arguments, logs)?;
        let line = tokio::time::timeout(READY_TIMEOUT, lines.next_line()).await;
        match line {
            Ok(Ok(Some(line))) => {
                let ready = serde_json::from_str(&line)?;
                tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
                Ok((process, ready))
            }
            Ok(_) => Err(process.exited_early()),
            Err(_) => Err(process.not_ready()),
        }
    }

    pub(crate) fn exited_early(&self) -> LocalError {
        LocalError::ExitedEarly {
            name: self.name.clone(),
            tail: self.log_tail(),
        }
    }

    pub(crate) fn not_ready(&self) -> LocalError {
        LocalError::NotReady {
            name: self.name.clone(),
            tail: self.log_tail(),
        }
    }

    /// Returns the last lines of its log.
    pub(crate) fn log_tail(&self) -> String {
        read_tail(&self.log).unwrap_or_else(|error| format!("(cannot read log: {error})"))
    }

    /// Sends a signal if the process still runs.
    pub(crate) fn signal(&mut self, signal: libc::c_int) {
        if self.exit_status().is_none() {
            // SAFETY: the process has not been reaped, so its pid has not been reused.
            unsafe {
                libc::kill(self.pid, signal);
            }
        }
    }

    /// Returns the exit status if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns a message if the process exited unexpectedly, once.
    pub(crate) fn unexpected_exit(&mut self) -> Option<String> {
        if self.exit_expected || self.reported {
            return None;
        }
        let status = self.exit_status()?;
        self.reported = true;
        let tail = self.log_tail();
        Some(format!(
            "{} ended unexpectedly ({status}); its log ends:\n{tail}",
            self.name
        ))
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        self.exit_expected = true;
        self.signal(libc::SIGKILL);
    }

    /// Sends SIGTERM, so that the process shuts down in order.
    pub(crate) fn terminate(&mut self) {
        self.exit_expected = true;
        self.signal(libc::SIGTERM);
    }
}

fn read_tail(path: &Path) -> io::Result<String> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL_BYTES)))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
