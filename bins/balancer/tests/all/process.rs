//! The real binary.

use std::fs;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use lovagelatch_domain::AgentAddress;

use crate::support::{
    CLAIMS, CLAIMS_ADDRESS, address, bind, open_flow, proxied, receive, ring, secret,
};

const STEP: Duration = Duration::from_millis(20);

/// How long a process may take to start or to end; a test that waits longer fails.
const LIMIT: Duration = Duration::from_secs(20);

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// The binary takes its ports from its settings, so a free one is looked for first.
fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let port = listener.local_addr().expect("bound").port();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

/// A running balancer without a platform: it knows no view.
struct RunningBalancer {
    child: Child,
    directory: PathBuf,
    listen: SocketAddrV4,
    caller: UdpSocket,
    sink: UdpSocket,
}

impl RunningBalancer {
    fn start(drain: Duration) -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("lovagelatch-balancer-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a temporary directory");
        let keys = directory.join("fleet.keys");
        let text = format!("[keys]\ncurrent = 1\n1 = {}\n", secret(1).to_hex());
        fs::write(&keys, text).expect("a key file");
        fs::set_permissions(&keys, fs::Permissions::from_mode(0o600)).expect("own file");
        let settings = directory.join("balancer.ini");
        let listen = free_address();
        let text = format!(
            "[process]\nname = test\nzone = here\ncontrol = {}\noperations = {}\n\
             [platform]\naddress = {}\n[keys]\nfile = {}\n\
             [balancer]\ningress = proxy-v2\nlisten = {listen}\n[limits]\ndrain_ms = {}\n",
            free_address(),
            free_address(),
            free_address(),
            keys.display(),
            drain.as_millis(),
        );
        fs::write(&settings, text).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_lovagelatch-balancer"))
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::null())
            .spawn()
            .expect("the balancer starts");
        let balancer = Self {
            child,
            directory,
            listen,
            caller: bind(),
            sink: bind(),
        };
        balancer.wait_until_forwarding();
        balancer
    }

    fn flow(&self) -> Vec<u8> {
        let agent = AgentAddress(address(&self.sink));
        proxied(CLAIMS_ADDRESS, &open_flow(agent, CLAIMS, &ring(&[1])))
    }

    fn send(&self, bytes: &[u8]) {
        // While the balancer starts or after it ended, the network refuses.
        let _ = self.caller.send_to(bytes, self.listen);
    }

    fn forwards(&self) -> bool {
        self.send(&self.flow());
        let mut buffer = [0; 4_096];
        self.sink.recv_from(&mut buffer).is_ok()
    }

    fn wait_until_forwarding(&self) {
        let start = Instant::now();
        while !self.forwards() {
            assert!(start.elapsed() < LIMIT, "the balancer forwards nothing");
        }
        let mut buffer = [0; 4_096];
        while self.sink.recv_from(&mut buffer).is_ok() {}
    }

    fn terminate(&self) {
        let process = i32::try_from(self.child.id()).expect("a process number");
        // SAFETY: sends a signal to the child that this test started and has not waited for.
        let result = unsafe { libc::kill(process, libc::SIGTERM) };
        assert_eq!(result, 0);
    }

    fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("own child") {
                return status;
            }
            assert!(start.elapsed() < LIMIT, "the balancer does not end");
            std::thread::sleep(STEP);
        }
    }
}

impl Drop for RunningBalancer {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

#[test]
fn garbage_neither_ends_it_nor_reaches_an_agent() {
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

/// Symptom: packets are lost for a moment whenever a balancer is replaced. Sequence: the balancer
/// is told to stop; the fabric goes on sending to it for a while. Cause: a stop that ends at
/// once.
#[test]
fn a_stopping_balancer_forwards_until_nothing_comes() {
    let mut balancer = RunningBalancer::start(Duration::from_secs(60));
    balancer.terminate();
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_500) {
        balancer.send(&balancer.flow());
        assert!(receive(&balancer.sink).is_some(), "lost while stopping");
        std::thread::sleep(STEP);
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
                std::thread::sleep(STEP);
            }
        }
        let start = Instant::now();
        while balancer.child.try_wait().expect("own child").is_none() {
            assert!(start.elapsed() < LIMIT, "{}", case.name);
            balancer.send(&balancer.flow());
            std::thread::sleep(STEP);
        }
        assert!(balancer.wait().success(), "{}", case.name);
    }
}

#[test]
fn a_bad_start_is_one_clear_error() {
    struct StartCase {
        name: &'static str,
        arguments: &'static [&'static str],
        says: &'static str,
    }
    let cases = [
        StartCase {
            name: "no settings",
            arguments: &[],
            says: "--settings",
        },
        StartCase {
            name: "a file that is not there",
            arguments: &["--settings", "/nonexistent/balancer.ini"],
            says: "/nonexistent/balancer.ini",
        },
        StartCase {
            name: "a file that holds no settings",
            arguments: &["--settings", "/dev/null"],
            says: "listen",
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
        assert!(text.contains(case.says), "{}: {text}", case.name);
    }
}
