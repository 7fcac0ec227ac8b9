//! A fake platform, and processes that run membership on loopback.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_domain::{
    AgentAddress, BalancerRecord, Incarnation, InstanceList, InstanceState, TargetId, TargetRecord,
};
use lovagelatch_fleet::{FleetClient, FleetRole, FleetSetup};
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret};
use lovagelatch_network::read_frame;
use lovagelatch_settings::BalancerSettings;
use lovagelatch_telemetry::{Logger, o};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;

const LOCAL: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// The data that the fake platform serves.
pub(crate) struct PlatformData {
    pub(crate) revision: u64,
    pub(crate) text: String,
    pub(crate) list: InstanceList,
    pub(crate) down: bool,
}

/// A fake platform that counts its calls.
pub(crate) struct FakePlatform {
    pub(crate) address: SocketAddrV4,
    pub(crate) data: Arc<Mutex<PlatformData>>,
    pub(crate) calls: Arc<AtomicUsize>,
    changed: Arc<Notify>,
}

impl FakePlatform {
    pub(crate) async fn start(text: &str, list: InstanceList) -> Self {
        let listener = TcpListener::bind((LOCAL, 0)).await.unwrap();
        let platform = Self {
            address: v4(listener.local_addr().unwrap()),
            data: Arc::new(Mutex::new(PlatformData {
                revision: 1,
                text: text.to_owned(),
                list,
                down: false,
            })),
            calls: Arc::default(),
            changed: Arc::default(),
        };
        let (data, changed) = (Arc::clone(&platform.data), Arc::clone(&platform.changed));
        let calls = Arc::clone(&platform.calls);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                calls.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, Arc::clone(&data), Arc::clone(&changed)));
            }
        });
        platform
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut PlatformData)) {
        change(&mut self.data.lock());
        self.changed.notify_waiters();
    }
}

async fn serve(mut stream: TcpStream, data: Arc<Mutex<PlatformData>>, changed: Arc<Notify>) {
    let mut request = Vec::new();
    while !request.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let mut buffer = [0; 512];
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => request.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
    let after = path
        .split_once("after=")
        .and_then(|(_, number)| number.parse().ok());
    if let Some(after) = after {
        loop {
            let notified = changed.notified();
            if data.lock().down || data.lock().revision > after {
                break;
            }
            notified.await;
        }
    }
    let body = {
        let data = data.lock();
        if data.down {
            return;
        }
        if path == "/v1/instances" {
            serde_json::to_string(&data.list).unwrap()
        } else {
            serde_json::json!({"revision": data.revision, "text": data.text}).to_string()
        }
    };
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let _sent = stream.write_all(response.as_bytes()).await;
}

/// A UDP and a TCP socket on the same free port.
pub(crate) struct ControlSockets {
    pub(crate) address: AgentAddress,
    udp: Arc<UdpSocket>,
    tcp: TcpListener,
}

impl ControlSockets {
    pub(crate) async fn bind() -> Self {
        loop {
            let udp = UdpSocket::bind((LOCAL, 0)).await.unwrap();
            let address = v4(udp.local_addr().unwrap());
            // Retries with another port if this one is taken for TCP.
            if let Ok(tcp) = TcpListener::bind(address).await {
                let udp = Arc::new(udp);
                let address = AgentAddress(address);
                return Self { address, udp, tcp };
            }
        }
    }

    /// Starts a process on the sockets.
    pub(crate) fn start(
        self,
        platform: SocketAddrV4,
        zone: &str,
        service: Option<&str>,
    ) -> FleetClient {
        self.start_with_seeds(platform, zone, service, "")
    }

    /// Starts a process with seeds in its settings.
    pub(crate) fn start_with_seeds(
        self,
        platform: SocketAddrV4,
        zone: &str,
        service: Option<&str>,
        seeds: &str,
    ) -> FleetClient {
        let address = self.address;
        let network = match seeds {
            "" => String::new(),
            seeds => format!("[network]\nseeds = {seeds}\n"),
        };
        let text = format!(
            "[process]\nname = test\nzone = {zone}\ncontrol = {address}\noperations = {address}\n\
             [platform]\naddress = {platform}\npoll_ms = 200\n[keys]\nfile = unused\n\
             {network}[balancer]\nlisten = {address}\n"
        );
        let settings = BalancerSettings::parse(&text).unwrap().common;
        let role = service.map_or(FleetRole::Balancer, |name| {
            FleetRole::Agent(name.parse().unwrap())
        });
        let client = FleetClient::start(FleetSetup {
            settings,
            role,
            incarnation: Incarnation(u64::from(self.address.0.port())),
            keys: test_keys(),
            socket: Arc::clone(&self.udp),
            log: Logger::root(slog::Discard, o!()),
        });
        tokio::spawn(serve_datagrams(client.clone(), self.udp));
        tokio::spawn(serve_streams(client.clone(), self.tcp));
        client
    }
}

fn test_keys() -> Arc<ArcSwap<FleetKeys>> {
    static SECRET: std::sync::OnceLock<KeySecret> = std::sync::OnceLock::new();
    let secret = SECRET.get_or_init(|| KeySecret::generate(KeyGeneration(1)).unwrap());
    let keys = FleetKeys::new(std::slice::from_ref(secret)).unwrap();
    Arc::new(ArcSwap::from_pointee(keys))
}

async fn serve_datagrams(client: FleetClient, udp: Arc<UdpSocket>) {
    let mut buffer = [0; 2048];
    while let Ok((length, _)) = udp.recv_from(&mut buffer).await {
        client.accept_datagram(&buffer[..length]);
    }
}

async fn serve_streams(client: FleetClient, tcp: TcpListener) {
    while let Ok((mut stream, _)) = tcp.accept().await {
        let client = client.clone();
        tokio::spawn(async move {
            if let Ok(Some(first)) = read_frame(&mut stream, 1 << 20).await {
                client.accept_stream(stream, first).await;
            }
        });
    }
}

/// Creates a list of balancers and of targets of the service `claims`, spread over two zones.
pub(crate) fn instance_list(balancers: &[AgentAddress], targets: &[AgentAddress]) -> InstanceList {
    let zone = |number: usize| ["north", "south"][number % 2].parse().unwrap();
    let mut list = InstanceList::default();
    list.revision.0 = 1;
    for (number, &control) in balancers.iter().enumerate() {
        list.balancers.push(BalancerRecord {
            control,
            operations: control.0,
            zone: zone(number),
            state: InstanceState::Live,
        });
    }
    for (number, &agent) in targets.iter().enumerate() {
        list.targets.push(TargetRecord {
            id: TargetId(u32::try_from(number).unwrap()),
            service: "claims".parse().unwrap(),
            zone: zone(number),
            agent,
            operations: agent.0,
            slots: 3,
            state: InstanceState::Live,
        });
    }
    list
}

/// Waits up to `timeout` until `condition` holds. Returns whether it holds.
pub(crate) async fn eventually(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let start = tokio::time::Instant::now();
    while start.elapsed() < timeout {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    condition()
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}
