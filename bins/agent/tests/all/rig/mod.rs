//! The environment of an agent: platform, backend server, gateway and callers.

mod backend;
mod caller;
mod gateway;
mod platform;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lovagelatch_agent::{ControlSockets, RunningAgent};
use lovagelatch_domain::{AgentAddress, InstanceState, ServiceName, TargetId, TargetRecord};
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret, parse_key_file};
use lovagelatch_settings::AgentSettings;
use lovagelatch_telemetry::{Logger, o};
use tokio::net::{TcpListener, UdpSocket};

pub(crate) use backend::TestBackend;
pub(crate) use caller::{CallerResponse, TestCaller};
pub(crate) use gateway::TestGateway;
pub(crate) use platform::TestPlatform;

pub(crate) const SERVICE: &str = "claims";
const DEPENDENCY: &str = "certificates";

/// An agent with its backend server.
pub(crate) struct AgentPair {
    pub(crate) agent: RunningAgent,
    pub(crate) address: AgentAddress,
    pub(crate) backend: TestBackend,
}

/// A small fleet of one service, or of a service and its dependency.
pub(crate) struct TestRig {
    pub(crate) directory: PathBuf,
    pub(crate) platform: TestPlatform,
    pub(crate) gateway: TestGateway,
    pub(crate) pairs: Vec<AgentPair>,
    certificate: Vec<u8>,
}

/// The agents' settings that a test changes. `limits` holds lines of the `[limits]` section.
#[derive(Clone, Copy, Default)]
pub(crate) struct RigOptions {
    pub(crate) slots: u16,
    pub(crate) limits: &'static str,
    /// Whether the other agents serve a dependency of the first one's service.
    pub(crate) dependency: bool,
    /// Whether the agents run without a gateway.
    pub(crate) direct: bool,
}

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

impl TestRig {
    /// Starts a fleet of one agent with three slots.
    pub(crate) async fn new() -> Self {
        Self::with_agents(1, RigOptions::default()).await
    }

    pub(crate) async fn with_agents(count: usize, options: RigOptions) -> Self {
        let directory = new_directory();
        let certificate = write_files(&directory);
        let gateway = TestGateway::start(read_keys(&directory)).await;
        let platform = TestPlatform::start(&service_text(gateway.service_address)).await;
        let mut bound = Vec::new();
        for _ in 0..count {
            bound.push(control_sockets().await);
        }
        let addresses = bound.iter().map(address_of);
        let records = addresses
            .zip(1..)
            .map(|numbered| record_of(numbered, options));
        platform.set_targets(records.collect());
        let starting = bound.into_iter().enumerate().map(|(index, sockets)| {
            start_agent(&directory, &gateway, &platform, options, (index, sockets))
        });
        let pairs: Vec<AgentPair> = futures::future::join_all(starting).await;
        gateway.forward_to(pairs[0].address);
        Self {
            directory,
            platform,
            gateway,
            pairs,
            certificate,
        }
    }

    /// Opens a flow to the agent that the gateway forwards to.
    pub(crate) async fn caller(&self) -> TestCaller {
        TestCaller::connect(self.gateway.service_address, &self.certificate).await
    }

    /// Waits until both agents of one service know each other.
    pub(crate) async fn wait_for_peers(&self) {
        eventually("the agents know each other", || {
            self.pairs.iter().all(|pair| pair.agent.peer_count() == 1)
        })
        .await;
    }

    /// Waits until the first agent's configuration is in force.
    pub(crate) async fn wait_for_config(&self) {
        self.caller().await;
    }

    /// Tries to open a flow.
    pub(crate) async fn try_caller(&self) -> Result<(), quinn::ConnectionError> {
        let address = self.gateway.service_address;
        let opened = TestCaller::try_connect(address, &self.certificate).await;
        opened.map(drop)
    }

    /// Returns the service address of agents without a gateway.
    pub(crate) fn direct_address(&self) -> SocketAddrV4 {
        direct_address(self.gateway.service_address)
    }

    pub(crate) fn keys(&self) -> FleetKeys {
        read_keys(&self.directory)
    }

    /// Adds an agent to the instance list without running it.
    pub(crate) fn list_peer(&self, peer: AgentAddress) {
        let addresses = self.pairs.iter().map(|pair| pair.address).chain([peer]);
        let records = addresses.zip(1..);
        let records = records.map(|numbered| record_of(numbered, RigOptions::default()));
        self.platform.set_targets(records.collect());
    }

    pub(crate) fn certificate(&self) -> &[u8] {
        &self.certificate
    }

    /// Makes callers trust another certificate from now on.
    pub(crate) fn trust(&mut self, certificate: Vec<u8>) {
        self.certificate = certificate;
    }

    /// Stops an agent abruptly and removes it from the instance list.
    pub(crate) fn kill(&mut self, index: usize) {
        self.pairs.remove(index);
        let addresses = self.pairs.iter().map(|pair| pair.address);
        let records = addresses.zip(1..);
        let records = records.map(|numbered| record_of(numbered, RigOptions::default()));
        self.platform.set_targets(records.collect());
    }
}

impl Drop for TestRig {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

pub(crate) fn service_name() -> ServiceName {
    SERVICE.parse().expect("a name")
}

pub(crate) fn local(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

pub(crate) fn to_v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => panic!("tests use IPv4"),
    }
}

pub(crate) fn read_keys(directory: &Path) -> FleetKeys {
    let text = std::fs::read_to_string(directory.join("fleet.keys")).expect("the key file");
    parse_key_file(&text).expect("valid keys")
}

/// A service address to which no socket of the tests is bound.
fn direct_address(address: SocketAddrV4) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 77), address.port())
}

fn service_text(address: SocketAddrV4) -> String {
    format!(
        "[service {SERVICE}]\naddress = {address} ludhiana\naddress = {}\n\
         once = POST /claims\n\
         depends = {DEPENDENCY}\n\
         [service {DEPENDENCY}]\naddress = 127.0.0.9:1\nonce = POST /orders\n",
        direct_address(address)
    )
}

fn new_directory() -> PathBuf {
    let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
    let name = format!("lovagelatch-agent-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("a directory");
    directory
}

/// Writes the key file, the certificate and its private key; returns the certificate.
fn write_files(directory: &Path) -> Vec<u8> {
    let secret = KeySecret::generate(KeyGeneration(1)).expect("randomness");
    let keys = format!("[keys]\ncurrent = 1\n1 = {}\n", secret.to_hex());
    let path = directory.join("fleet.keys");
    std::fs::write(&path, keys).expect("written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).expect("a mode");
    write_certificate(directory)
}

pub(crate) fn write_certificate(directory: &Path) -> Vec<u8> {
    let made = rcgen::generate_simple_self_signed(vec![format!("{SERVICE}.test")]);
    let made = made.expect("a certificate");
    std::fs::write(directory.join("cert.pem"), made.cert.pem()).expect("written");
    let key = made.signing_key.serialize_pem();
    std::fs::write(directory.join("key.pem"), key).expect("written");
    made.cert.der().to_vec()
}

/// Binds a UDP and a TCP socket to the same free port.
async fn control_sockets() -> ControlSockets {
    loop {
        let datagrams = UdpSocket::bind(local(0)).await.expect("a socket");
        let address = datagrams.local_addr().expect("an address");
        if let Ok(streams) = TcpListener::bind(address).await {
            return ControlSockets { datagrams, streams };
        }
    }
}

fn address_of(sockets: &ControlSockets) -> AgentAddress {
    AgentAddress(to_v4(sockets.datagrams.local_addr().expect("an address")))
}

fn service_of(options: RigOptions, index: usize) -> &'static str {
    if options.dependency && index > 0 {
        DEPENDENCY
    } else {
        SERVICE
    }
}

fn record_of((agent, id): (AgentAddress, u32), options: RigOptions) -> TargetRecord {
    let index = usize::try_from(id).expect("small") - 1;
    TargetRecord {
        id: TargetId(id),
        service: service_of(options, index).parse().expect("a name"),
        zone: "lahore-a".parse().expect("a name"),
        agent,
        operations: agent.0,
        slots: 3,
        state: InstanceState::Live,
    }
}

async fn start_agent(
    directory: &Path,
    gateway: &TestGateway,
    platform: &TestPlatform,
    options: RigOptions,
    (index, sockets): (usize, ControlSockets),
) -> AgentPair {
    let backend = TestBackend::start().await;
    let address = address_of(&sockets).0;
    let text = settings_text(
        directory,
        gateway,
        platform,
        options,
        (index, address, &backend),
    );
    let settings = AgentSettings::parse(&text).expect("valid settings");
    let log = Logger::root(slog::Discard, o!());
    let agent = RunningAgent::start(settings, sockets, log).await;
    AgentPair {
        agent: agent.expect("the agent starts"),
        address: AgentAddress(address),
        backend,
    }
}

fn settings_text(
    directory: &Path,
    gateway: &TestGateway,
    platform: &TestPlatform,
    options: RigOptions,
    (index, address, backend): (usize, SocketAddrV4, &TestBackend),
) -> String {
    let directory = directory.display();
    let service = service_of(options, index);
    let network = match options.direct {
        true => String::new(),
        false => format!("[network]\ngateway = {}", gateway.address),
    };
    let slots = if options.slots == 0 { 3 } else { options.slots };
    format!(
        "[process]\nname = agent-{index}\nzone = lahore-a\ncontrol = {address}\n\
         operations = 127.0.0.1:0\n\
         [platform]\naddress = {}\npoll_ms = 100\n\
         [keys]\nfile = {directory}/fleet.keys\n\
         {network}\n\
         [agent]\nservice = {service}\nbackend = {}\ngateway_listen = 127.0.0.1:0\n\
         certificate = {directory}/cert.pem\nprivate_key = {directory}/key.pem\nslots = {slots}\n\
         [limits]\nrequest_deadline_ms = 5000\n{}\n",
        platform.address, backend.address, options.limits
    )
}

/// Waits until `check` returns true, for at most five seconds.
pub(crate) async fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..500 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting: {what}");
}
