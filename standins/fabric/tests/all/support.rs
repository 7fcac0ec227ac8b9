//! Runs the real binary and calls its admin interface.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use lovagelatch_fabric::{FabricCounters, FabricTopology, FaultPlan};
use serde_json::Value;

/// Timeout of an expected datagram, far above what loopback needs.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a datagram after which a socket counts as silent.
const SILENCE_WINDOW: Duration = Duration::from_millis(200);

pub(crate) struct RunningFabric {
    child: Child,
    pub(crate) gateway: SocketAddrV4,
    admin: SocketAddrV4,
}

impl RunningFabric {
    pub(crate) fn start() -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lovagelatch-fabric"))
            .args(["--listen-gateway", "127.0.0.1:0", "--admin", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the fabric starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("a ready line");
        let ready: Value = serde_json::from_str(&line).expect("JSON");
        assert_eq!(ready["ready"], true);
        let address = |field: &str| {
            let text = ready[field].as_str().expect("an address");
            text.parse().expect("an address")
        };
        let (gateway, admin) = (address("gateway"), address("admin"));
        Self {
            child,
            gateway,
            admin,
        }
    }

    pub(crate) fn set_topology(&self, topology: &FabricTopology) {
        assert!(self.try_topology(topology), "a service address is taken");
    }

    /// Returns `false` if another process took a service address meanwhile.
    pub(crate) fn try_topology(&self, topology: &FabricTopology) -> bool {
        let body = serde_json::to_string(topology).expect("JSON");
        let (status, _) = self.request("PUT", "/admin/topology", &body);
        assert!(status == 204 || status == 409, "status {status}");
        status == 204
    }

    pub(crate) fn set_plan(&self, plan: &FaultPlan) {
        let body = serde_json::to_string(plan).expect("JSON");
        assert_eq!(self.request("PUT", "/admin/fault", &body).0, 204);
    }

    pub(crate) fn counters(&self) -> FabricCounters {
        let (status, body) = self.request("GET", "/admin/counters", "");
        assert_eq!(status, 200);
        serde_json::from_str(&body).expect("counters")
    }

    /// Sends an HTTP request and returns the status and the body of the response.
    pub(crate) fn request(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.admin).expect("connected");
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: fabric\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("sent");
        stream.write_all(body.as_bytes()).expect("sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        let status = response
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok());
        let body = response.split_once("\r\n\r\n").map(|(_, body)| body);
        (status.expect("a status"), body.unwrap_or("").to_owned())
    }
}

impl Drop for RunningFabric {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn bind() -> UdpSocket {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

pub(crate) fn ipv4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

pub(crate) fn address(socket: &UdpSocket) -> SocketAddrV4 {
    ipv4(socket.local_addr().expect("bound"))
}

/// Returns a service address that was free a moment ago.
pub(crate) fn free_service() -> SocketAddrV4 {
    address(&bind())
}

fn receive_within(socket: &UdpSocket, timeout: Duration) -> Option<(Vec<u8>, SocketAddrV4)> {
    socket.set_read_timeout(Some(timeout)).expect("a timeout");
    let mut buffer = [0; 4_096];
    let (length, source) = socket.recv_from(&mut buffer).ok()?;
    Some((buffer[..length].to_vec(), ipv4(source)))
}

/// Receives an expected datagram. Returns its content and its source.
pub(crate) fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddrV4) {
    receive_within(socket, RECEIVE_TIMEOUT).expect("a datagram in time")
}

pub(crate) fn assert_silent(socket: &UdpSocket) {
    assert_eq!(receive_within(socket, SILENCE_WINDOW), None);
}
