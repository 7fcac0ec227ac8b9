//! The settings file of a process.
//!
//! ```ini
//! [process]
//! name = agent-7
//! zone = lahore-a
//! control = 127.0.0.1:7101      ; UDP frames and TCP streams of the system's own processes
//! operations = 127.0.0.1:8101   ; health, status, metrics, phone page
//! operators = 127.0.0.0/8       ; optional: who may have the phone page check a text
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
//! gateway = 127.0.0.1:6100      ; optional: UDP and TCP leave through it, behind PROXY v2
//! seeds = 127.0.0.1:7102        ; optional: peers to ask while the platform is down
//!
//! [balancer]
//! ingress = proxy-v2            ; or: direct
//! listen = 127.0.0.1:7001       ; where the fabric hands packets in
//!
//! [agent]
//! service = claims
//! backend = 127.0.0.1:9001
//! gateway_listen = 127.0.0.1:9101 ; where its backend server calls its dependencies
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

/// How caller datagrams arrive at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IngressKind {
    /// The service addresses are configured on this instance; datagrams arrive as sent.
    Direct,
    /// The fabric puts a PROXY protocol version 2 header before each datagram.
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

/// What every process is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonSettings {
    /// Its name in logs.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for the system's other processes.
    pub control: AgentAddress,
    /// Where it serves health, status, metrics and the phone page.
    pub operations: SocketAddrV4,
    /// Where the phone page may be asked to check a text from; `None` allows loopback only.
    pub operators: Option<AddressBlock>,
    /// Worker threads. Invariant: at least 1.
    pub threads: usize,
    /// The platform's service.
    pub platform: SocketAddrV4,
    /// How often the platform is asked when watching is not possible.
    pub platform_poll: Duration,
    /// The key file.
    pub key_file: PathBuf,
    /// Where UDP and TCP to other processes and callers leave, behind PROXY v2; `None` sends
    /// them directly.
    pub gateway: Option<SocketAddrV4>,
    /// Peers to ask at the start while the platform gives no instance list.
    pub seeds: SeedList,
    /// Limits.
    pub limits: LimitSettings,
}

/// Addresses of peers, written one after the other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeedList(pub SmallVec<[AgentAddress; 4]>);

impl FromStr for SeedList {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        let separators = |c: char| c == ',' || c.is_whitespace();
        let words = text.split(separators).filter(|word| !word.is_empty());
        let seeds: Result<_, _> = words.map(|word| word.parse().map(AgentAddress)).collect();
        Ok(Self(seeds?))
    }
}

/// Limits that end what would otherwise wait for ever.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// How long a planned stop waits for work in flight.
    pub drain: Duration,
    /// The deadline of a request whose caller names none.
    pub request_deadline: Duration,
    /// How long a flow may be silent before it is closed.
    pub flow_idle: Duration,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a once-only request's answer is kept.
    pub ticket_lifetime: Duration,
}

/// What a balancer is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BalancerSettings {
    /// What every process is told.
    pub common: CommonSettings,
    /// How datagrams arrive.
    pub ingress: IngressKind,
    /// Where the fabric hands them in.
    pub listen: SocketAddrV4,
}

/// What an agent is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// What every process is told.
    pub common: CommonSettings,
    /// The service of its backend server.
    pub service: ServiceName,
    /// Its backend server.
    pub backend: SocketAddrV4,
    /// Where its backend server calls the services it depends on.
    pub gateway_listen: SocketAddrV4,
    /// The service's certificate chain, PEM.
    pub certificate: PathBuf,
    /// Its private key, PEM.
    pub private_key: PathBuf,
    /// How many requests its backend server runs at once. Invariant: at least 1.
    pub slots: u16,
}

impl BalancerSettings {
    /// Every field that a balancer's settings may have, for the settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::fields_of(Self::take)
    }

    fn take(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.common();
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
    /// All faults at once.
    pub fn parse(text: &str) -> Result<Self, FaultList<SettingFault>> {
        FieldReader::parse_file(
            text,
            &[
                "process", "platform", "keys", "network", "limits", "balancer",
            ],
            Self::take,
        )
    }
}

impl AgentSettings {
    /// Every field that an agent's settings may have, for the settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::fields_of(Self::take)
    }

    fn take(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.common();
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
    /// All faults at once.
    pub fn parse(text: &str) -> Result<Self, FaultList<SettingFault>> {
        FieldReader::parse_file(
            text,
            &["process", "platform", "keys", "network", "limits", "agent"],
            Self::take,
        )
    }
}

impl FieldReader {
    fn common(&mut self) -> Option<CommonSettings> {
        let _kind = self.traffic();
        let name = self.value("process", "name", "a name", None);
        let zone = self.value("process", "zone", "the name of a zone", None);
        let control = self.value("process", "control", "an address IP:PORT", None);
        let operations = self.value("process", "operations", "an address IP:PORT", None);
        let operators = self.optional("process", "operators", "a block IP/BITS");
        let threads = self.threads();
        let platform = self.value("platform", "address", "an address IP:PORT", None);
        let platform_poll = self.millis("platform", "poll_ms", "1000");
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
        let drain = self.millis("limits", "drain_ms", "30000");
        let request_deadline = self.millis("limits", "request_deadline_ms", "10000");
        let flow_idle = self.millis("limits", "flow_idle_ms", "30000");
        let body_bytes = self.at_least_one::<u32>("limits", "body_bytes", Some("1048576"));
        let ticket_lifetime = self.millis("limits", "ticket_lifetime_ms", "600000");
        Some(LimitSettings {
            drain: drain?,
            request_deadline: request_deadline?,
            flow_idle: flow_idle?,
            body_bytes: usize::try_from(body_bytes?).ok()?,
            ticket_lifetime: ticket_lifetime?,
        })
    }
}
