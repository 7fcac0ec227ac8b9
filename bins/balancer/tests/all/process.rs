//! Tests of the real binary.

use std::fs;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use lovagelatch_domain::AgentAddress;

use crate::support::{
    CLAIMS, CLAIMS_ADDRESS, address, bind, open_flow, proxied, receive, ring, secret,
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process buffers its log lines for up to 200 ms before they are written.
const LOG_DELAY: Duration = Duration::from_millis(300);

/// Timeout for a process to start or to exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);

const START_ATTEMPTS: usize = 5;

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// Returns a free address. The binary reads its ports from its settings, so they are chosen first.
fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

const KEY_FILE: &str = "fleet.keys";

/// Writes a key file with these generations; the first is the current one.
fn write_keys(directory: &Path, generations: &[u8]) {
    let mut text = format!("[keys]\ncurrent = {}\n", generations[0]);
    for &generation in generations {
        text += &format!("{generation} = {}\n", secret(generation).to_hex());
    }
    let fresh = directory.join("fleet.keys.new");
    fs::write(&fresh, text).expect("a key file");
    fs::set_permissions(&fresh, fs::Permissions::from_mode(0o600)).expect("own file");
    fs::rename(fresh, directory.join(KEY_FILE)).expect("the same directory");
}

/// A running balancer without a platform, and hence with an empty view.
pub(crate) struct RunningBalancer {
    child: Child,
    directory: PathBuf,
    listen: SocketAddrV4,
    pub(crate) control: SocketAddrV4,
    pub(crate) operations: SocketAddrV4,
    caller: UdpSocket,
    pub(crate) sink: UdpSocket,
}

impl RunningBalancer {
    /// Starts a balancer. Another test may take a free port before the balancer binds it; only in
    /// this case is the start retried with other ports.
    pub(crate) fn start(drain: Duration) -> Self {
        (0..START_ATTEMPTS)
            .find_map(|_| Self::try_start(drain))
            .expect("free ports")
    }

    /// Returns `None` if a port was taken in the meantime.
    fn try_start(drain: Duration) -> Option<Self> {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("lovagelatch-balancer-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a temporary directory");
        write_keys(&directory, &[1]);
        let settings = directory.join("balancer.ini");
        let [listen, control, operations] = [(); 3].map(|()| free_address());
        let text = format!(
            "[process]\nname = test\nzone = here\ncontrol = {control}\noperations = {operations}\n\
             [platform]\naddress = {}\n[keys]\nfile = {}\n\
             [balancer]\ningress = proxy-v2\nlisten = {listen}\n[limits]\ndrain_ms = {}\n",
            free_address(),
            directory.join(KEY_FILE).display(),
            drain.as_millis(),
        );
        fs::write(&settings, text).expect("a settings file");
        let log = fs::File::create(directory.join("log")).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_lovagelatch-balancer"))
            .arg("--settings")
            .arg(settings)
            .stderr(log.try_clone().expect("a second handle"))
            .stdout(log)
            .spawn()
            .expect("the balancer starts");
        let mut balancer = Self {
            child,
            directory,
            listen,
            control,
            operations,
            caller: bind(),
            sink: bind(),
        };
        let started = balancer.wait_until_forwarding() && balancer.wait_until_serving();
        started.then_some(balancer)
    }

    /// Replaces the key file atomically by renaming, as the operators' command does.
    pub(crate) fn rotate(&self, generations: &[u8]) {
        write_keys(&self.directory, generations);
    }

    fn flow(&self) -> Vec<u8> {
        let agent = AgentAddress(address(&self.sink));
        proxied(CLAIMS_ADDRESS, &open_flow(agent, CLAIMS, &ring(&[1])))
    }

    pub(crate) fn send(&self, bytes: &[u8]) {
        // Fails while the balancer is starting or after it has exited.
        let _ = self.caller.send_to(bytes, self.listen);
    }

    fn forwards(&self) -> bool {
        self.send(&self.flow());
        let mut buffer = [0; 4_096];
        self.sink.recv_from(&mut buffer).is_ok()
    }

    /// Returns `false` if the balancer exited because a port was taken.
    fn wait_until_forwarding(&mut self) -> bool {
        let start = Instant::now();
        while !self.forwards() {
            assert!(
                start.elapsed() < PROCESS_TIMEOUT,
                "the balancer forwards nothing"
            );
            if self.lost_a_port() {
                return false;
            }
        }
        let mut buffer = [0; 4_096];
        while self.sink.recv_from(&mut buffer).is_ok() {}
        true
    }

    /// Waits until operations are served. A balancer forwards before all its addresses are bound;
    /// if one is taken, it exits or runs without operations. Returns `false` in this case.
    fn wait_until_serving(&mut self) -> bool {
        let start = Instant::now();
        while TcpStream::connect(self.operations).is_err() {
            assert!(
                start.elapsed() < PROCESS_TIMEOUT,
                "operations are not served"
            );
            std::thread::sleep(POLL_INTERVAL);
            if self.lost_a_port() {
                return false;
            }
        }
        std::thread::sleep(LOG_DELAY);
        !self.lost_a_port()
    }

    /// Returns whether another test has taken one of the balancer's ports.
    fn lost_a_port(&mut self) -> bool {
        let log = self.log();
        let taken = log.contains("Address already in use") || log.contains("not served");
        let ended = self.child.try_wait().expect("own child").is_some();
        assert!(taken || !ended, "{log}");
        taken
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.directory.join("log")).expect("a log file")
    }

    /// Waits until the log holds `text`.
    pub(crate) fn wait_for_line(&self, text: &str) {
        let start = Instant::now();
        while !self.log().contains(text) {
            let log = self.log();
            assert!(
                start.elapsed() < PROCESS_TIMEOUT,
                "the log lacks {text:?}: {log}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn terminate(&self) {
        let process = i32::try_from(self.child.id()).expect("a process number");
        // SAFETY: signals a child that this test has started and not yet waited for.
        let result = unsafe { libc::kill(process, libc::SIGTERM) };
        assert_eq!(result, 0);
    }

    fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("own child") {
                return status;
            }
            assert!(
                start.elapsed() < PROCESS_TIMEOUT,
                "the balancer does not end"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for RunningBalancer {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the balancer's log:\n{}", self.log());
        }
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn invalid_datagrams_neither_end_the_process_nor_reach_an_agent() {
    let balancer = RunningBalancer::start(Duration::from_secs(5));
    for length in 0..200_usize {
        let byte = u8::try_from(length).expect("below 200");
        balancer.send(&vec![byte; length]);
        balancer.send(&proxied(CLAIMS_ADDRESS, &vec![byte ^ 0xff; length]));
    }
    balancer.send(&balancer.flow());
    let frame = receive(&balancer.sink).expect("the genuine datagram comes through");
    let datagram = &balancer.flow()[28..];
    assert!(frame.windows(datagram.len()).any(|part| part == datagram));
}

/// Guards against packet loss when a balancer is replaced. The fabric keeps sending to a balancer
/// for a while after it was told to stop, so an immediate exit would lose these packets.
#[test]
fn a_stopping_balancer_forwards_until_nothing_comes() {
    let mut balancer = RunningBalancer::start(Duration::from_secs(60));
    balancer.terminate();
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_500) {
        balancer.send(&balancer.flow());
        assert!(receive(&balancer.sink).is_some(), "lost while stopping");
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(balancer.wait().success());
}

#[test]
fn a_limit_or_a_second_signal_ends_a_stop() {
    struct StopCase {
        name: &'static str,
        drain: Duration,
        signals: usize,
    }
    let cases = [
        StopCase {
            name: "the limit",
            drain: Duration::from_millis(300),
            signals: 1,
        },
        StopCase {
            name: "a second signal",
            drain: Duration::from_secs(60),
            signals: 2,
        },
    ];
    for case in cases {
        let mut balancer = RunningBalancer::start(case.drain);
        for _ in 0..case.signals {
            balancer.terminate();
            for _ in 0..10 {
                balancer.send(&balancer.flow());
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        let start = Instant::now();
        while balancer.child.try_wait().expect("own child").is_none() {
            assert!(start.elapsed() < PROCESS_TIMEOUT, "{}", case.name);
            balancer.send(&balancer.flow());
            std::thread::sleep(POLL_INTERVAL);
        }
        assert!(balancer.wait().success(), "{}", case.name);
    }
}

#[test]
fn an_invalid_start_reports_a_clear_error() {
    struct StartCase {
        name: &'static str,
        arguments: &'static [&'static str],
        message: &'static str,
    }
    let cases = [
        StartCase {
            name: "no settings",
            arguments: &[],
            message: "--settings",
        },
        StartCase {
            name: "a file that is not there",
            arguments: &["--settings", "/nonexistent/balancer.ini"],
            message: "/nonexistent/balancer.ini",
        },
        StartCase {
            name: "a file that holds no settings",
            arguments: &["--settings", "/dev/null"],
            message: "listen",
        },
    ];
    for case in cases {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lovagelatch-balancer"))
            .args(case.arguments)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the balancer starts");
        let mut text = String::new();
        let mut stderr = child.stderr.take().expect("piped");
        stderr.read_to_string(&mut text).expect("text");
        assert!(!child.wait().expect("own child").success(), "{}", case.name);
        assert!(text.contains(case.message), "{}: {text}", case.name);
    }
}
