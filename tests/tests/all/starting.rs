//! Processes that are told of a change of their settings before they run.

use std::ffi::CString;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::launcher::program_path;

/// What every process of opaque packets is told. Ports that the system chooses.
const COMMON: &str = "[process]\nname = a-1\nzone = hall-a\ntraffic = opaque\n\
    [network]\nframes = 127.0.0.1:0\npackets = 127.0.0.1:0\nready = 127.0.0.1:0\n\
    operations = 127.0.0.1:0\n";

/// Longest wait for a line of a process.
const LINE_LIMIT: Duration = Duration::from_secs(20);

struct StartCase {
    program: &'static str,
    /// The settings of its own section.
    own: &'static str,
    /// Its line once it runs.
    runs: &'static str,
}

const CASES: [StartCase; 2] = [
    StartCase {
        program: "lovagelatch-agent",
        own: "[agent]\nservice = claims\nbackend = 127.0.0.1:9\noutbound = 127.0.0.1:0\n",
        runs: "agent runs",
    },
    StartCase {
        program: "lovagelatch-balancer",
        own: "[balancer]\ngossip = 127.0.0.1:0\nstore = 127.0.0.1:9\n",
        runs: "balancer runs",
    },
];

/// A process whose settings come through a pipe, so that it waits for them.
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

    /// Waits until the process has written this; fails when it has ended.
    fn wait_for(&mut self, line: &str) {
        let start = Instant::now();
        loop {
            let log = std::fs::read_to_string(self.directory.join("log")).expect("a log");
            if log.contains(line) {
                return;
            }
            let ended = self.child.try_wait().expect("a child");
            assert!(ended.is_none(), "ended by itself: {ended:?}; {log}");
            assert!(start.elapsed() < LINE_LIMIT, "no line {line:?} in {log}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        // Ended already where the test fails.
        let _killed = self.child.kill();
        let _status = self.child.wait();
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}

fn hang_up(child: &Child) {
    let number = libc::pid_t::try_from(child.id()).expect("a process number");
    // SAFETY: the child has not been waited for, so the number is its own.
    unsafe {
        libc::kill(number, libc::SIGHUP);
    }
}

fn make_pipe(path: &Path) {
    let name = CString::new(path.as_os_str().as_bytes()).expect("a path");
    // SAFETY: the name is a string that ends in 0 and lives during the call.
    let made = unsafe { libc::mkfifo(name.as_ptr(), 0o600) };
    assert_eq!(made, 0, "{}", std::io::Error::last_os_error());
}

// Symptom: a process ends by itself, without a line in its log. Sequence: it is started; while it reads its
// settings the operator changes them and says so by SIGHUP. Cause: the signal was taken from the time on
// at which the settings were watched; before, it ended the process. And a change that came between reading
// and watching was never told.
#[test]
fn a_change_of_settings_that_are_being_read_is_outlived_and_taken() {
    for case in CASES {
        let mut process = StartingProcess::start(&case);
        // Opens as soon as the process reads.
        let mut pipe = OpenOptions::new()
            .write(true)
            .open(process.directory.join("pipe"))
            .expect("the pipe opens");
        let text = format!("{COMMON}{}", case.own);
        let changed = process.directory.join("changed.ini");
        std::fs::write(&changed, format!("{text}; changed\n")).expect("a file");
        std::fs::rename(&changed, process.directory.join("settings.ini")).expect("renamed");
        hang_up(&process.child);
        pipe.write_all(text.as_bytes()).expect("settings written");
        drop(pipe);
        process.wait_for(case.runs);
        process.wait_for("settings read again");
    }
}

/// Starts of each program that are signalled before it can have run.
const BIRTHS: u32 = 20;

/// Guards against the end of a process that is told of a change while the operating system loads it, where whoever
/// starts it does so with the signal ignored.
#[test]
fn a_process_that_inherits_an_ignored_hangup_outlives_it_from_its_birth() {
    for case in CASES {
        let directory = std::env::temp_dir().join(format!(
            "lovagelatch-birth-{}-{}",
            std::process::id(),
            case.program
        ));
        std::fs::create_dir_all(&directory).expect("a directory");
        let settings = directory.join("settings.ini");
        std::fs::write(&settings, format!("{COMMON}{}", case.own)).expect("a file");
        for birth in 0..BIRTHS {
            let mut command = Command::new(program_path(case.program));
            command.arg("--settings").arg(&settings);
            command.stdin(Stdio::null()).stdout(Stdio::null());
            // SAFETY: only a signal's disposition is set between fork and exec.
            unsafe {
                command.pre_exec(|| {
                    libc::signal(libc::SIGHUP, libc::SIG_IGN);
                    Ok(())
                });
            }
            let mut child = command.spawn().expect("the process starts");
            hang_up(&child);
            std::thread::sleep(Duration::from_millis(30));
            let ended = child.try_wait().expect("a child");
            assert!(ended.is_none(), "{} {birth}: {ended:?}", case.program);
            child.kill().expect("it runs");
            child.wait().expect("a child");
        }
        std::fs::remove_dir_all(&directory).expect("removed");
    }
}
