//! Processes under test.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Time that a graceful stop may take before the process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(7);

/// A process started by the soak. Signals go only to the process's own id, and only while it has
/// not been waited for.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Whether the process is started with SIGHUP ignored.
    ignore_hangup: bool,
    child: Option<Child>,
    /// Set while the process is told to stop, until its next start. It is killed at this time.
    stop_deadline: Option<Instant>,
    pub(crate) paused: bool,
    /// Number of exits that the soak did not cause.
    pub(crate) unexpected_exits: u32,
}

impl SoakProcess {
    /// Creates a process without starting it.
    pub(crate) fn new(program: PathBuf, settings: PathBuf, log: PathBuf) -> Self {
        Self {
            program,
            settings,
            log,
            ignore_hangup: false,
            child: None,
            stop_deadline: None,
            paused: false,
            unexpected_exits: 0,
        }
    }

    /// Sets whether the process is started with SIGHUP ignored.
    pub(crate) fn with_hangup_ignored(mut self, ignore: bool) -> Self {
        self.ignore_hangup = ignore;
        self
    }

    pub(crate) fn start(&mut self) -> io::Result<()> {
        let log = open_log(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        if self.ignore_hangup {
            // SAFETY: only a signal's disposition is set between fork and exec.
            unsafe {
                command.pre_exec(|| {
                    libc::signal(libc::SIGHUP, libc::SIG_IGN);
                    Ok(())
                });
            }
        }
        self.child = Some(command.spawn()?);
        self.stop_deadline = None;
        self.paused = false;
        Ok(())
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Checks whether the process has exited. Kills it if its stop has timed out.
    pub(crate) fn check_exit(&mut self) {
        if self
            .stop_deadline
            .is_some_and(|until| Instant::now() > until)
        {
            self.signal(libc::SIGKILL);
        }
        let Some(child) = &mut self.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.child = None;
            if self.stop_deadline.is_none() {
                self.unexpected_exits += 1;
                // The log of the process may not show it, for example after a fatal signal.
                eprintln!("{} ended by itself: {status}", self.settings.display());
            }
        }
    }

    /// Returns whether the process was told to stop and has not been started since.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_deadline.is_some()
    }

    pub(crate) fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.stop_deadline = None;
        if let Some(mut child) = self.child.take() {
            // SIGKILL cannot be caught, so this returns soon.
            let _status = child.wait();
        }
        self.paused = false;
    }

    pub(crate) fn stop(&mut self) {
        self.stop_deadline = Some(Instant::now() + STOP_TIMEOUT);
        self.signal(libc::SIGTERM);
    }

    pub(crate) fn pause(&mut self) {
        self.paused = true;
        self.signal(libc::SIGSTOP);
    }

    pub(crate) fn resume(&mut self) {
        self.paused = false;
        self.signal(libc::SIGCONT);
    }

    /// Sends SIGHUP, which makes the process reload its settings.
    pub(crate) fn send_hangup(&self) {
        self.signal(libc::SIGHUP);
    }

    fn signal(&self, signal: libc::c_int) {
        let Some(child) = &self.child else {
            return;
        };
        if let Ok(number) = libc::pid_t::try_from(child.id()) {
            // SAFETY: the child has not been waited for, so its id has not been reused.
            unsafe {
                libc::kill(number, signal);
            }
        }
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn open_log(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
