//! One of the system's processes.

use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a process that was told to stop may take before it is killed.
const STOP_LIMIT: Duration = Duration::from_secs(7);

/// A process that the soak started. Only its own number is ever signalled, and only while it has
/// not been waited for.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Whether it is started with SIGHUP ignored.
    ignores_hangup: bool,
    child: Option<Child>,
    /// Whether it was told to stop, and until when it may take.
    stopping: Option<Instant>,
    pub(crate) paused: bool,
    /// Times that it ended by itself.
    pub(crate) own_ends: u32,
}

impl SoakProcess {
    /// A process that is not running yet.
    pub(crate) fn new(program: PathBuf, settings: PathBuf, log: PathBuf) -> Self {
        Self {
            program,
            settings,
            log,
            ignores_hangup: false,
            child: None,
            stopping: None,
            paused: false,
            own_ends: 0,
        }
    }

    /// The same, started with SIGHUP ignored if `ignores` says so.
    pub(crate) fn with_hangup_ignored(mut self, ignores: bool) -> Self {
        self.ignores_hangup = ignores;
        self
    }

    pub(crate) fn start(&mut self) -> io::Result<()> {
        let log = open_log(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        if self.ignores_hangup {
            // SAFETY: only a signal's disposition is set between fork and exec.
            unsafe {
                command.pre_exec(|| {
                    libc::signal(libc::SIGHUP, libc::SIG_IGN);
                    Ok(())
                });
            }
        }
        self.child = Some(command.spawn()?);
        self.stopping = None;
        self.paused = false;
        Ok(())
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Looks whether it has ended; kills it when its stop takes too long.
    pub(crate) fn look(&mut self) {
        if self.stopping.is_some_and(|until| Instant::now() > until) {
            self.signal(libc::SIGKILL);
        }
        let Some(child) = &mut self.child else {
            return;
        };
        if let Ok(Some(status)) = child.try_wait() {
            self.child = None;
            if self.stopping.is_none() {
                self.own_ends += 1;
                // Its own log may end without a word, as when a signal ended it.
                eprintln!("{} ended by itself: {status}", self.settings.display());
            }
        }
    }

    /// Whether it was told to stop and has not been started since.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    pub(crate) fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        self.stopping = None;
        if let Some(mut child) = self.child.take() {
            // It cannot refuse.
            let _status = child.wait();
        }
        self.paused = false;
    }

    pub(crate) fn stop(&mut self) {
        self.stopping = Some(Instant::now() + STOP_LIMIT);
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

    /// Tells it that its settings have changed.
    pub(crate) fn hang_up(&self) {
        self.signal(libc::SIGHUP);
    }

    fn signal(&self, signal: libc::c_int) {
        let Some(child) = &self.child else {
            return;
        };
        if let Ok(number) = libc::pid_t::try_from(child.id()) {
            // SAFETY: the child has not been waited for, so the number is its own.
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
