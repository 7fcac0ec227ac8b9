//! Settings of processes that carry QUIC, and types that all settings use.
//!
//! ```ini
//! [process]
//! name = agent-7
//! zone = lahore-a
//! control = 127.0.0.1:7101      ; UDP frames and TCP streams of the system's own processes
//! operations = 127.0.0.1:8101   ; health, status, metrics, status page
//! operators = 127.0.0.0/8       ; optional: clients that may check a text on the status page
//! threads = 2
//!
//! [platform]
//! address = 127.0.0.1:6000
//! poll_ms = 1000
//!
//! [keys]
//! file = fleet.keys
//!
//! [network]
//! gateway = 127.0.0.1:6100      ; optional: outgoing UDP and TCP go through it, with PROXY v2
//! seeds = 127.0.0.1:7102        ; optional: peers to contact while the platform is down
//!
//! [balancer]
//! ingress = proxy-v2            ; or: direct
//! listen = 127.0.0.1:7001       ; where the fabric delivers callers' packets
//!
//! [agent]
//! service = claims
//! backend = 127.0.0.1:9001
//! gateway_listen = 127.0.0.1:9101 ; where the backend server calls its dependencies
//! certificate = claims.pem
//! private_key = claims.key
//! slots = 3
//!
//! [limits]
//! drain_ms = 30000
//! ```

use std::net::{AddrParseError, SocketAddrV4};
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, ServiceName, ZoneName};
use smallvec::SmallVec;

use crate::block::AddressBlock;
use crate::fault::{FaultList, SettingFault};
use crate::reader::{FieldName, FieldReader};

/// How a balancer receives callers' datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IngressKind {
    /// The service addresses are configured on this instance; datagrams arrive unchanged.
    Direct,
    /// The fabric prepends a PROXY protocol version 2 header to each datagram.
    ProxyV2,
}

impl FromStr for IngressKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "direct" => Ok(Self::Direct),
            "proxy-v2" => Ok(Self::ProxyV2),
            _ => Err(()),
        }
    }
}

/// Settings that balancers and agents of QUIC traffic have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// The process's name in logs.
    pub name: String,
    /// The availability zone of the process's instance.
    pub zone: ZoneName,
    /// Listen address for frames and streams of other balancers and agents.
    pub control: AgentAddress,
    /// Listen address for health, status, metrics and the status page for phones.
    pub operations: SocketAddrV4,
    /// The clients that may check a text on the status page; `None` allows only loopback.
    pub operators: Option<AddressBlock>,
    /// Number of worker threads. Invariant: at least 1.
    pub threads: usize,
    /// Address of the platform's service.
    pub platform: SocketAddrV4,
    /// Polling interval for the platform while a watch is not possible.
    pub platform_poll: Duration,
    /// Path of the key file with the fleet's secrets.
    pub key_file: PathBuf,
    /// The gateway for UDP and TCP to other processes and callers, with PROXY v2 headers; `None`
    /// sends directly.
    pub gateway: Option<SocketAddrV4>,
    /// Peers to contact at startup while the platform provides no instance list.
    pub seeds: SeedList,
    /// Timeouts and size limits.
    pub limits: LimitSettings,
}

/// Addresses of peers, written as a list that is separated by commas or whitespace.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeedList(pub SmallVec<[AgentAddress; 4]>);

impl FromStr for SeedList {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        let separators = |c: char| c == ',' || c.is_whitespace();
        let entries = text.split(separators).filter(|entry| !entry.is_empty());
        let seeds: Result<_, _> = entries
            .map(|entry| entry.parse().map(AgentAddress))
            .collect();
        Ok(Self(seeds?))
    }
}

/// Timeouts and size limits, so that nothing waits or grows without bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Drain timeout: how long a planned stop waits for work in flight.
    pub drain: Duration,
    /// Default deadline of a request whose caller sets none.
    pub request_deadline: Duration,
    /// Idle timeout of a flow.
    pub flow_idle: Duration,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// How long the answer to a once-only request is kept.
    pub ticket_lifetime: Duration,
}

/// Settings of a balancer of QUIC traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// Settings that all processes have.
    pub common: CommonSettings,
    /// How callers' datagrams arrive.
    pub ingress: IngressKind,
    /// Listen address for callers' datagrams.
    pub listen: SocketAddrV4,
}

/// Settings of an agent of QUIC traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Settings that all processes have.
    pub common: CommonSettings,
    /// The service of the agent's backend server.
    pub service: ServiceName,
    /// Address of the backend server.
    pub backend: SocketAddrV4,
    /// Listen address for the backend server's calls to the services it depends on.
    pub gateway_listen: SocketAddrV4,
    /// Path of the service's certificate chain, PEM.
    pub certificate: PathBuf,
    /// Path of the certificate's private key, PEM.
    pub private_key: PathBuf,
    /// Number of requests that the backend server runs concurrently. Invariant: at least 1.
    pub slots: u16,
}

impl BalancerSettings {
    /// Returns every field that a balancer's settings may have. A test compares them with the
    /// settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::requested_fields(Self::read)
    }

    fn read(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.common_settings();
        let ingress = reader.value(
            "balancer",
            "ingress",
            "'direct' or 'proxy-v2'",
            Some("direct"),
        );
        let listen = reader.value("balancer", "listen", "an address IP:PORT", None);
        Some(Self {
            common: common?,
            ingress: ingress?,
            listen: listen?,
        })
    }

    /// Parses the text of a balancer's settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(text: &str) -> Result<Self, FaultList<SettingFault>> {
        FieldReader::parse_file(
            text,
            &[
                "process", "platform", "keys", "network", "limits", "balancer",
            ],
            Self::read,
        )
    }
}

impl AgentSettings {
    /// Returns every field that an agent's settings may have. A test compares them with the
    /// settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::requested_fields(Self::read)
    }

    fn read(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.common_settings();
        let service = reader.value("agent", "service", "the name of a service", None);
        let backend = reader.value("agent", "backend", "an address IP:PORT", None);
        let gateway_listen = reader.value("agent", "gateway_listen", "an address IP:PORT", None);
        let certificate = reader.value("agent", "certificate", "a path", None);
        let private_key = reader.value("agent", "private_key", "a path", None);
        let slots = reader.at_least_one("agent", "slots", None);
        Some(Self {
            common: common?,
            service: service?,
            backend: backend?,
            gateway_listen: gateway_listen?,
            certificate: certificate?,
            private_key: private_key?,
            slots: slots?,
        })
    }

    /// Parses the text of an agent's settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(text: &str) -> Result<Self, FaultList<SettingFault>> {
        FieldReader::parse_file(
            text,
            &["process", "platform", "keys", "network", "limits", "agent"],
            Self::read,
        )
    }
}

impl FieldReader {
    fn common_settings(&mut self) -> Option<CommonSettings> {
        let _kind = self.traffic_kind();
        let name = self.value("process", "name", "a name", None);
        let zone = self.value("process", "zone", "the name of a zone", None);
        let control = self.value("process", "control", "an address IP:PORT", None);
        let operations = self.value("process", "operations", "an address IP:PORT", None);
        let operators = self.optional("process", "operators", "a CIDR block IP/BITS");
        let threads = self.threads();
        let platform = self.value("platform", "address", "an address IP:PORT", None);
        let platform_poll = self.milliseconds("platform", "poll_ms", "1000");
        let key_file = self.value("keys", "file", "a path", None);
        let gateway = self.optional("network", "gateway", "an address IP:PORT");
        let seeds = self.optional("network", "seeds", "a list of addresses IP:PORT");
        let limits = self.limits();
        Some(CommonSettings {
            name: name?,
            zone: zone?,
            control: AgentAddress(control?),
            operations: operations?,
            operators,
            threads: threads?,
            platform: platform?,
            platform_poll: platform_poll?,
            key_file: key_file?,
            gateway,
            seeds: seeds.unwrap_or_default(),
            limits: limits?,
        })
    }

    fn threads(&mut self) -> Option<usize> {
        let threads: u32 = self.at_least_one("process", "threads", Some("2"))?;
        usize::try_from(threads).ok()
    }

    fn limits(&mut self) -> Option<LimitSettings> {
        let drain = self.milliseconds("limits", "drain_ms", "30000");
        let request_deadline = self.milliseconds("limits", "request_deadline_ms", "10000");
        let flow_idle = self.milliseconds("limits", "flow_idle_ms", "30000");
        let body_bytes = self.at_least_one::<u32>("limits", "body_bytes", Some("1048576"));
        let ticket_lifetime = self.milliseconds("limits", "ticket_lifetime_ms", "600000");
        Some(LimitSettings {
            drain: drain?,
            request_deadline: request_deadline?,
            flow_idle: flow_idle?,
            body_bytes: usize::try_from(body_bytes?).ok()?,
            ticket_lifetime: ticket_lifetime?,
        })
    }
}
