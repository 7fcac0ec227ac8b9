//! Builds and runs the launcher.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use lovagelatch_history::RunReport;

/// The packages of all programs that a deployment runs.
const PACKAGES: [&str; 9] = [
    "lovagelatch",
    "lovagelatch-local",
    "lovagelatch-balancer",
    "lovagelatch-agent",
    "lovagelatch-platform",
    "lovagelatch-fabric",
    "lovagelatch-backend",
    "lovagelatch-callers",
    "lovagelatch-soak",
];

/// Timeout of a run, from its first process to its verdict.
const RUN_TIMEOUT: Duration = Duration::from_secs(180);

/// Timeout for a process to end after it is asked to stop.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for a deployment to start.
pub(crate) const STARTUP_TIMEOUT: Duration = Duration::from_secs(90);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Load that a debug build on a busy machine can sustain.
const LIGHT_LOAD: [&str; 4] = ["--rate", "60", "--feeds", "12"];

/// Returns the path of the launcher. The first call builds it and all programs that it starts.
fn launcher_path() -> &'static Path {
    static PATH: OnceLock<PathBuf> = OnceLock::new();
    PATH.get_or_init(|| {
        let test = std::env::current_exe().expect("the path of this test");
        let directory = test
            .ancestors()
            .nth(2)
            .expect("tests run from <profile>/deps");
        build(directory);
        directory.join("lovagelatch-local")
    })
}

/// Returns the path of a program that was built with the launcher.
pub(crate) fn program_path(name: &str) -> PathBuf {
    launcher_path().with_file_name(name)
}

/// Runs the operators' command, `lovagelatch`.
pub(crate) fn run_command(arguments: &[&str]) -> std::process::Output {
    let output = Command::new(program_path("lovagelatch"))
        .args(arguments)
        .output();
    output.expect("the command starts")
}

/// Builds all programs with the profile and into the target directory of this test.
fn build(directory: &Path) {
    let cargo = std::env::var_os("CARGO").expect("tests run under cargo");
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--bins"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let target = directory.parent().expect("a profile in a target directory");
    command.arg("--target-dir").arg(target);
    for package in PACKAGES {
        command.args(["-p", package]);
    }
    let status = command.status().expect("cargo runs");
    assert!(status.success(), "building the binaries failed");
}

/// One run of the launcher. Only one exists at a time because each starts about 30 processes.
pub(crate) struct LauncherRun {
    child: Child,
    directory: PathBuf,
    _guard: MutexGuard<'static, ()>,
}

/// The result of a run.
#[derive(Debug)]
pub(crate) struct RunOutcome {
    pub(crate) status: ExitStatus,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
    /// The file that `--report` wrote, if the run got that far.
    pub(crate) report: Option<RunReport>,
}

impl LauncherRun {
    /// Starts the launcher with the given arguments and light load.
    pub(crate) fn start(arguments: &[&str]) -> Self {
        static RUNNING: Mutex<()> = Mutex::new(());
        let guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let path = launcher_path();
        let directory = new_directory();
        let output = |name: &str| {
            let file = std::fs::File::create(directory.join(name));
            Stdio::from(file.expect("a file in the temporary directory"))
        };
        let child = Command::new(path)
            .args(arguments)
            .args(LIGHT_LOAD)
            .arg("--no-build")
            .arg("--logs")
            .arg(directory.join("logs"))
            .arg("--report")
            .arg(directory.join("report.json"))
            .env("TMPDIR", &directory)
            .stdin(Stdio::null())
            .stdout(output("stdout"))
            .stderr(output("stderr"))
            .spawn()
            .expect("the launcher starts");
        Self {
            child,
            directory,
            _guard: guard,
        }
    }

    /// Waits until the run ends by itself.
    pub(crate) fn finish(&mut self) -> RunOutcome {
        let status = self.wait(RUN_TIMEOUT);
        self.outcome(status)
    }

    /// Waits until a held deployment has started, and returns the line with its addresses.
    pub(crate) fn wait_until_up(&self) -> serde_json::Value {
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(line) = serde_json::from_str(&self.stdout()) {
                return line;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("the deployment did not start in time: {}", self.stdout());
    }

    /// Sends a signal to the launcher and waits for its end.
    pub(crate) fn stop(&mut self, signal: libc::c_int) -> RunOutcome {
        self.signal(signal);
        let status = self.wait(STOP_TIMEOUT);
        self.outcome(status)
    }

    /// Returns the standard output so far.
    pub(crate) fn stdout(&self) -> String {
        self.read("stdout")
    }

    /// Returns the command lines of the processes that the launcher started. They are recognized by
    /// the temporary directory of this run, which they inherit.
    pub(crate) fn processes(&self) -> Vec<String> {
        let launcher = self.child.id().to_string();
        let name = format!("TMPDIR={}", self.directory.display());
        let entries = std::fs::read_dir("/proc").expect("the list of processes");
        let ids = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        ids.filter(|id| *id != launcher && id.bytes().all(|byte| byte.is_ascii_digit()))
            .filter(|id| {
                let environment = std::fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
                let mut variables = environment.split(|&byte| byte == 0);
                variables.any(|variable| variable == name.as_bytes())
            })
            .map(|id| {
                let line = std::fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
                String::from_utf8_lossy(&line).replace('\0', " ")
            })
            .collect()
    }

    fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.join(name)).unwrap_or_default()
    }

    fn signal(&self, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.child.id()).expect("a process id");
        // SAFETY: the child has not been waited for, so its process id is still its own.
        unsafe {
            libc::kill(pid, signal);
        }
    }

    /// Waits for the end of the launcher, and kills it after the timeout so that the test cannot
    /// hang.
    fn wait(&mut self, timeout: Duration) -> ExitStatus {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the child is not yet reaped") {
                return status;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        panic!("the launcher did not end in time: {}", self.read("stderr"));
    }

    fn outcome(&self, status: ExitStatus) -> RunOutcome {
        let left = self.processes();
        assert!(left.is_empty(), "processes left behind: {left:#?}");
        let report = self.read("report.json");
        RunOutcome {
            status,
            stdout: self.read("stdout"),
            stderr: self.read("stderr"),
            report: serde_json::from_str(&report).ok(),
        }
    }
}

impl Drop for LauncherRun {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("output, logs and histories: {}", self.directory.display());
            let _ = self.child.kill();
            return;
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn new_directory() -> PathBuf {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("lovagelatch-tests-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir(&directory).expect("a new directory");
    directory
}

/// Runs to the end, asserts that all guarantees hold, and returns the report.
pub(crate) fn run_and_check(arguments: &[&str]) -> RunReport {
    let mut run = LauncherRun::start(arguments);
    let end = run.finish();
    let report = end
        .report
        .clone()
        .unwrap_or_else(|| panic!("no report: {end:#?}"));
    let violations = [
        report.ran_twice,
        report.not_run_but_ran,
        report.wrong_service,
        report.crossed,
        report.cut,
        report.new_work_after_leaving,
    ];
    assert_eq!(violations, [0; 6], "{end:#?}");
    assert!(report.done > 0, "{end:#?}");
    assert!(end.stdout.contains("flows opened"), "no table: {end:#?}");
    assert_eq!(end.status.code(), Some(0), "{end:#?}");
    report
}
