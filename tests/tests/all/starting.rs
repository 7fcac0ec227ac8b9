//! Changes of settings that are signalled while a process starts.

use std::ffi::CString;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::launcher::program_path;

/// Settings of every process for opaque packets. The system chooses the ports.
const COMMON: &str = "[process]\nname = a-1\nzone = hall-a\ntraffic = opaque\n\
    [network]\nframes = 127.0.0.1:0\npackets = 127.0.0.1:0\nready = 127.0.0.1:0\n\
    operations = 127.0.0.1:0\n";

/// Timeout for a line in the log of a process.
const LOG_LINE_TIMEOUT: Duration = Duration::from_secs(20);

struct StartCase {
    program: &'static str,
    /// The program's own section of the settings.
    section: &'static str,
    /// The log line that says that the program runs.
    running_line: &'static str,
}

const CASES: [StartCase; 2] = [
    StartCase {
        program: "lovagelatch-agent",
        section: "[agent]\nservice = claims\nbackend = 127.0.0.1:9\noutbound = 127.0.0.1:0\n",
        running_line: "agent runs",
    },
    StartCase {
        program: "lovagelatch-balancer",
        section: "[balancer]\ngossip = 127.0.0.1:0\nstore = 127.0.0.1:9\n",
        running_line: "balancer runs",
    },
];

/// A process that reads its settings from a pipe and therefore waits for them.
struct StartingProcess {
    child: Child,
    directory: PathBuf,
}

impl StartingProcess {
    fn start(case: &StartCase) -> Self {
        let name = format!("lovagelatch-start-{}-{}", std::process::id(), case.program);
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("a directory");
        make_pipe(&directory.join("pipe"));
        let settings = directory.join("settings.ini");
        std::os::unix::fs::symlink(directory.join("pipe"), &settings).expect("a link");
        let log = std::fs::File::create(directory.join("log")).expect("a file");
        let child = Command::new(program_path(case.program))
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn()
            .expect("the process starts");
        Self { child, directory }
    }

    /// Waits until the log contains a text, and fails if the process ends before.
    fn wait_for(&mut self, line: &str) {
        let start = Instant::now();
        loop {
            let log = std::fs::read_to_string(self.directory.join("log")).expect("a log");
            if log.contains(line) {
                return;
            }
            let ended = self.child.try_wait().expect("a child");
            assert!(ended.is_none(), "ended by itself: {ended:?}; {log}");
            assert!(
                start.elapsed() < LOG_LINE_TIMEOUT,
                "no line {line:?} in {log}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        // The process may already have ended if the test fails.
        let _killed = self.child.kill();
        let _status = self.child.wait();
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}

fn send_sighup(child: &Child) {
    let pid = libc::pid_t::try_from(child.id()).expect("a process id");
    // SAFETY: the child has not been waited for, so the process id is still its own.
    unsafe {
        libc::kill(pid, libc::SIGHUP);
    }
}

fn make_pipe(path: &Path) {
    let name = CString::new(path.as_os_str().as_bytes()).expect("a path");
    // SAFETY: the name is a NUL-terminated string that outlives the call.
    let result = unsafe { libc::mkfifo(name.as_ptr(), 0o600) };
    assert_eq!(result, 0, "{}", std::io::Error::last_os_error());
}

/// Guards against a process that ends without a log line when the operator changes its settings and
/// sends SIGHUP while it reads them. The process handled the signal only once it watched its
/// settings; before, the signal ended it. A change between reading and watching was never noticed.
#[test]
fn a_change_of_settings_that_are_being_read_is_survived_and_applied() {
    for case in CASES {
        let mut process = StartingProcess::start(&case);
        // Blocks until the process reads its settings.
        let mut pipe = OpenOptions::new()
            .write(true)
            .open(process.directory.join("pipe"))
            .expect("the pipe opens");
        let text = format!("{COMMON}{}", case.section);
        let changed = process.directory.join("changed.ini");
        std::fs::write(&changed, format!("{text}; changed\n")).expect("a file");
        std::fs::rename(&changed, process.directory.join("settings.ini")).expect("renamed");
        send_sighup(&process.child);
        pipe.write_all(text.as_bytes()).expect("settings written");
        drop(pipe);
        process.wait_for(case.running_line);
        process.wait_for("settings read again");
    }
}

/// Number of starts of each program that are signalled before the program can run.
const STARTS: u32 = 20;

/// Guards against a process that ends because SIGHUP arrives while the operating system loads the
/// program, although its supervisor starts it with the signal ignored.
#[test]
fn a_process_that_inherits_an_ignored_sighup_survives_it_from_the_start() {
    for case in CASES {
        let directory = std::env::temp_dir().join(format!(
            "lovagelatch-birth-{}-{}",
            std::process::id(),
            case.program
        ));
        std::fs::create_dir_all(&directory).expect("a directory");
        let settings = directory.join("settings.ini");
        std::fs::write(&settings, format!("{COMMON}{}", case.section)).expect("a file");
        for start in 0..STARTS {
            let mut command = Command::new(program_path(case.program));
            command.arg("--settings").arg(&settings);
            command.stdin(Stdio::null()).stdout(Stdio::null());
            // SAFETY: the closure only sets the disposition of a signal between fork and exec.
            unsafe {
                command.pre_exec(|| {
                    libc::signal(libc::SIGHUP, libc::SIG_IGN);
                    Ok(())
                });
            }
            let mut child = command.spawn().expect("the process starts");
            send_sighup(&child);
            std::thread::sleep(Duration::from_millis(30));
            let ended = child.try_wait().expect("a child");
            assert!(ended.is_none(), "{} {start}: {ended:?}", case.program);
            child.kill().expect("the process runs");
            child.wait().expect("a child");
        }
        std::fs::remove_dir_all(&directory).expect("removed");
    }
}
