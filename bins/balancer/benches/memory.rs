//! Memory use of the real binary with 0, 1 and 200,000 open flows.
//!
//! `cargo bench -p lovagelatch-balancer --bench memory`

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lovagelatch_domain::{AgentAddress, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken, KeyGeneration, KeySecret};
use lovagelatch_network::{PacketEnds, write_header};

const FLOWS: u64 = 200_000;
/// Number of datagrams sent before the sink is read; small enough that none is lost.
const BURST: u64 = 50;
const START_TIMEOUT: Duration = Duration::from_secs(10);
const DATAGRAM_BYTES: usize = 1_200;

fn secret() -> KeySecret {
    KeySecret::from_bytes(KeyGeneration(1), [1; 32])
}

/// Returns an address with a free port; another process may take it before it is bound.
fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    ipv4(listener.local_addr().expect("bound"))
}

fn ipv4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

struct RunningBalancer {
    child: Child,
    directory: PathBuf,
    listen: SocketAddrV4,
}

impl RunningBalancer {
    fn start() -> Self {
        let name = format!("lovagelatch-memory-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a temporary directory");
        let listen = free_address();
        let settings = write_settings(&directory, listen);
        let child = Command::new(env!("CARGO_BIN_EXE_lovagelatch-balancer"))
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::null())
            .spawn()
            .expect("the balancer starts");
        Self {
            child,
            directory,
            listen,
        }
    }

    /// Returns the resident memory of the balancer in kB.
    fn resident(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the balancer runs");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number
            .and_then(|number| number.parse().ok())
            .expect("a size")
    }
}

impl Drop for RunningBalancer {
    fn drop(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn write_settings(directory: &Path, listen: SocketAddrV4) -> PathBuf {
    let keys = directory.join("fleet.keys");
    let text = format!("[keys]\ncurrent = 1\n1 = {}\n", secret().to_hex());
    fs::write(&keys, text).expect("a key file");
    fs::set_permissions(&keys, fs::Permissions::from_mode(0o600)).expect("own file");
    let settings = directory.join("balancer.ini");
    let (control, operations, platform) = (free_address(), free_address(), free_address());
    let text = format!(
        "[process]\nname = memory\nzone = here\ncontrol = {control}\noperations = {operations}\n\
         threads = 2\n[platform]\naddress = {platform}\n[keys]\nfile = {}\n\
         [balancer]\ningress = proxy-v2\nlisten = {listen}\n",
        keys.display()
    );
    fs::write(&settings, text).expect("a settings file");
    settings
}

struct FlowSource {
    socket: UdpSocket,
    sink: UdpSocket,
    keys: FleetKeys,
}

impl FlowSource {
    fn new() -> Self {
        let bind = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let (socket, sink) = (bind(), bind());
        let timeout = Some(Duration::from_millis(100));
        sink.set_read_timeout(timeout).expect("a read timeout");
        let keys = FleetKeys::new(&[secret()]).expect("one key");
        Self { socket, sink, keys }
    }

    fn send(&self, serial: u64, to: SocketAddrV4) {
        let ends = PacketEnds {
            source: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 40_000),
            destination: SocketAddrV4::new(Ipv4Addr::new(127, 20, 0, 1), 4433),
        };
        let token = FlowToken {
            agent: AgentAddress(ipv4(self.sink.local_addr().expect("bound"))),
            service: ServiceId(7),
            serial,
        };
        let mut datagram = write_header(&ends).to_vec();
        datagram.push(0x40);
        datagram.extend_from_slice(&token.seal(&self.keys));
        datagram.resize(DATAGRAM_BYTES, 7);
        // A datagram that is not sent is missing in the count of received ones.
        let _ = self.socket.send_to(&datagram, to);
    }

    /// Receives up to `wanted` datagrams at the sink and returns their number.
    fn receive(&self, wanted: u64) -> u64 {
        let mut buffer = [0; 2_048];
        (0..wanted)
            .take_while(|_| self.sink.recv_from(&mut buffer).is_ok())
            .count() as u64
    }

    fn wait_for(&self, balancer: &RunningBalancer) {
        let start = Instant::now();
        while start.elapsed() < START_TIMEOUT {
            self.send(0, balancer.listen);
            if self.receive(1) == 1 {
                return;
            }
        }
        panic!("the balancer forwards nothing");
    }

    /// Sends datagrams with flow serials from `serial_of`; returns the number of forwarded ones.
    fn run(&self, balancer: &RunningBalancer, serial_of: impl Fn(u64) -> u64) -> u64 {
        let mut received = 0;
        for burst in 0..FLOWS / BURST {
            for number in 0..BURST {
                self.send(serial_of(burst * BURST + number), balancer.listen);
            }
            received += self.receive(BURST);
        }
        received
    }
}

fn main() {
    let balancer = RunningBalancer::start();
    let source = FlowSource::new();
    source.wait_for(&balancer);
    println!("started, no flow:              {} kB", balancer.resident());
    let one = source.run(&balancer, |_| 1);
    println!("{one} datagrams of 1 flow: {} kB", balancer.resident());
    let many = source.run(&balancer, |number| number);
    println!(
        "{many} datagrams of {FLOWS} flows: {} kB",
        balancer.resident()
    );
}
