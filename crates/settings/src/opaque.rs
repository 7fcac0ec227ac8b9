//! Settings of processes that carry opaque packets: flows that callers and backend servers
//! terminate, not agents.
//!
//! ```ini
//! [process]
//! name = edge-1
//! zone = hall-a
//! traffic = opaque
//!
//! [network]
//! frames = 10.1.0.10:7720
//! packets = 10.1.0.10:8172
//! ready = 10.1.0.10:8167
//! operations = 10.1.0.10:9464
//!
//! [limits]
//! flow_lifetime_s = 60
//! stop_s = 6
//! link_mbps = 1000
//!
//! [balancer]
//! gossip = 10.1.0.10:7735
//! seeds = 10.2.0.40:8166
//! store = 10.200.1.7:8169
//! zones = hall-a:lahore, hall-b:lahore
//! ```

use std::net::SocketAddrV4;
use std::str::FromStr;
use std::time::Duration;

use lovagelatch_domain::{RegionName, ServiceName, ZoneName};
use smallvec::SmallVec;

use crate::fault::{FaultList, SettingFault};
use crate::process::SeedList;
use crate::reader::{FieldName, FieldReader};

/// The kind of traffic that a process carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrafficKind {
    /// QUIC, which agents terminate; connection IDs that an agent issues are flow tokens.
    #[default]
    Quic,
    /// Packets whose payload the load balancer does not interpret.
    Opaque,
}

impl FromStr for TrafficKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "quic" => Ok(Self::Quic),
            "opaque" => Ok(Self::Opaque),
            _ => Err(()),
        }
    }
}

impl TrafficKind {
    /// Returns the traffic kind that a settings file sets, or the default when the file or the
    /// field is invalid; the full parse of the file reports such faults.
    #[must_use]
    pub fn from_settings(text: &str) -> Self {
        let Ok(mut reader) = FieldReader::new(text) else {
            return Self::default();
        };
        reader.traffic_kind().unwrap_or_default()
    }
}

/// The settings of a program that supports both kinds of traffic.
#[derive(Clone, Debug)]
pub enum TrafficSettings<Q, O> {
    /// Settings of a process that carries QUIC.
    Quic(Q),
    /// Settings of a process that carries opaque packets.
    Opaque(O),
}

impl<Q, O> TrafficSettings<Q, O> {
    /// Parses a settings file with the parser for the traffic kind that it sets.
    ///
    /// # Errors
    ///
    /// Returns the faults that this parser finds.
    pub fn parse(
        text: &str,
        quic: impl FnOnce(&str) -> Result<Q, FaultList<SettingFault>>,
        opaque: impl FnOnce(&str) -> Result<O, FaultList<SettingFault>>,
    ) -> Result<Self, FaultList<SettingFault>> {
        match TrafficKind::from_settings(text) {
            TrafficKind::Quic => quic(text).map(Self::Quic),
            TrafficKind::Opaque => opaque(text).map(Self::Opaque),
        }
    }
}

/// A duration above 0, written as decimal seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PositiveSeconds(Duration);

impl FromStr for PositiveSeconds {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let seconds: f64 = text.parse().map_err(|_| ())?;
        let duration = Duration::try_from_secs_f64(seconds).map_err(|_| ())?;
        if duration.is_zero() {
            Err(())
        } else {
            Ok(Self(duration))
        }
    }
}

/// The bandwidth of a link, written as decimal megabits per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkBandwidth {
    bytes_per_second: u64,
}

impl FromStr for LinkBandwidth {
    type Err = ();

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from_str(text: &str) -> Result<Self, ()> {
        let megabits: f64 = text.parse().map_err(|_| ())?;
        if megabits.is_finite() && megabits > 0.0 {
            let bytes_per_second = (megabits * 125_000.0) as u64;
            Ok(Self { bytes_per_second })
        } else {
            Err(())
        }
    }
}

/// Zones with their regions, written as a list of `zone:region` that is separated by commas or
/// whitespace. Invariant: each zone occurs once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ZoneRegionList(Vec<(ZoneName, RegionName)>);

impl FromStr for ZoneRegionList {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let separators = |c: char| c == ',' || c.is_whitespace();
        let entries = text.split(separators).filter(|entry| !entry.is_empty());
        let mut list: Vec<(ZoneName, RegionName)> = Vec::new();
        for entry in entries {
            let (zone, region) = entry.split_once(':').ok_or(())?;
            let zone: ZoneName = zone.parse().map_err(|_| ())?;
            let region = region.parse().map_err(|_| ())?;
            if list.iter().any(|(known, _)| *known == zone) {
                return Err(());
            }
            list.push((zone, region));
        }
        Ok(Self(list))
    }
}

/// A finite decimal number of at least 0.
#[derive(Clone, Copy, Debug, PartialEq)]
struct NonNegativeNumber(f32);

impl FromStr for NonNegativeNumber {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let value: f32 = text.parse().map_err(|_| ())?;
        if value.is_finite() && value >= 0.0 {
            Ok(Self(value))
        } else {
            Err(())
        }
    }
}

/// Settings that balancers and agents of opaque traffic have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpaqueSettings {
    /// The process's name in logs.
    pub name: String,
    /// The availability zone of the process's instance.
    pub zone: ZoneName,
    /// Listen address for frames of other processes; the port is the same on all instances.
    pub frames: SocketAddrV4,
    /// Listen address for callers' packets. Packets to a caller go to the caller's IP address at
    /// this port.
    pub packets: SocketAddrV4,
    /// Listen address of the readiness endpoint.
    pub ready: SocketAddrV4,
    /// Listen address of the metrics and status endpoints.
    pub operations: SocketAddrV4,
    /// Maximum lifetime of a flow.
    pub flow_lifetime: Duration,
    /// How long a planned stop may take before the process is killed.
    pub stop_timeout: Duration,
}

impl OpaqueSettings {
    /// Replaces the limits with those of `other`. A running process does not apply changed limits;
    /// they take effect at its next start.
    #[must_use]
    pub fn with_limits_from(mut self, other: &Self) -> Self {
        self.flow_lifetime = other.flow_lifetime;
        self.stop_timeout = other.stop_timeout;
        self
    }
}

/// Settings of a balancer of opaque traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpaqueBalancerSettings {
    /// Settings that all processes have.
    pub common: OpaqueSettings,
    /// Listen address for messages of other balancers, UDP and TCP; the port is the same on all
    /// balancers.
    pub gossip: SocketAddrV4,
    /// Gossip addresses of some balancers. Only the IP addresses come from the settings; the port
    /// is that of `gossip`.
    pub seeds: SmallVec<[SocketAddrV4; 3]>,
    /// Address of the platform's store.
    pub store: SocketAddrV4,
    /// Bandwidth of the instance's link.
    pub link_bytes_per_second: u64,
    /// The region of each zone. Invariant: each zone occurs once.
    pub zones: Vec<(ZoneName, RegionName)>,
}

/// An address, or the word `none`.
struct OptionalAddress(Option<SocketAddrV4>);

impl FromStr for OptionalAddress {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        if text == "none" {
            return Ok(Self(None));
        }
        text.parse()
            .map(|address| Self(Some(address)))
            .map_err(|_| ())
    }
}

/// Settings of an agent of opaque traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct OpaqueAgentSettings {
    /// Settings that all processes have.
    pub common: OpaqueSettings,
    /// The service of the agent's backend server.
    pub service: ServiceName,
    /// Where the backend server receives packets.
    pub backend: SocketAddrV4,
    /// Listen address for the packets that the backend server sends.
    pub outbound: SocketAddrV4,
    /// The address at which other processes reach `frames`. It identifies the agent among them.
    pub advertised: SocketAddrV4,
    /// Whether this is the first start of the whole fleet, so that no flow can be older than this
    /// process.
    pub first_start: bool,
    /// Upper limit of new flows per second to a cold target, as a multiple of what it can take.
    pub cold_overshoot: f32,
    /// Number of new flows allowed on top of that limit.
    pub cold_slack: f32,
}

impl FieldReader {
    pub(crate) fn traffic_kind(&mut self) -> Option<TrafficKind> {
        self.value("process", "traffic", "'quic' or 'opaque'", Some("quic"))
    }

    fn opaque_settings(&mut self) -> Option<OpaqueSettings> {
        let address = "an address IP:PORT";
        let _kind = self.traffic_kind();
        let name = self.value("process", "name", "a name", None);
        let zone = self.value("process", "zone", "the name of a zone", None);
        let frames = self.value("network", "frames", address, None);
        let packets = self.value("network", "packets", address, None);
        let ready = self.value("network", "ready", address, None);
        let operations = self.value("network", "operations", address, None);
        let flow_lifetime = self.seconds("flow_lifetime_s", "60");
        let stop_timeout = self.seconds("stop_s", "6");
        Some(OpaqueSettings {
            name: name?,
            zone: zone?,
            frames: frames?,
            packets: packets?,
            ready: ready?,
            operations: operations?,
            flow_lifetime: flow_lifetime?,
            stop_timeout: stop_timeout?,
        })
    }

    fn non_negative(&mut self, field: &'static str, default: &str) -> Option<f32> {
        let number: NonNegativeNumber =
            self.value("limits", field, "a number of at least 0", Some(default))?;
        Some(number.0)
    }

    fn seconds(&mut self, field: &'static str, default: &str) -> Option<Duration> {
        let seconds: PositiveSeconds = self.value(
            "limits",
            field,
            "a number of seconds above 0",
            Some(default),
        )?;
        Some(seconds.0)
    }
}

impl OpaqueBalancerSettings {
    /// Returns every field that a balancer's settings may have. A test compares them with the
    /// settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::requested_fields(Self::read)
    }

    fn read(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.opaque_settings();
        let gossip = reader.value("balancer", "gossip", "an address IP:PORT", None);
        let seeds: Option<SeedList> = reader.value(
            "balancer",
            "seeds",
            "a list of addresses IP:PORT",
            Some(","),
        );
        let store = reader.value("balancer", "store", "an address IP:PORT", None);
        let link: Option<LinkBandwidth> = reader.value(
            "limits",
            "link_mbps",
            "a number of megabits per second above 0",
            Some("1000"),
        );
        let zones: Option<ZoneRegionList> = reader.value(
            "balancer",
            "zones",
            "a list of ZONE:REGION with each zone once",
            Some(","),
        );
        let gossip: SocketAddrV4 = gossip?;
        let with_gossip_port = |ip| SocketAddrV4::new(ip, gossip.port());
        let seeds = seeds?
            .0
            .iter()
            .map(|seed| with_gossip_port(*seed.0.ip()))
            .collect();
        Some(Self {
            common: common?,
            gossip,
            seeds,
            store: store?,
            link_bytes_per_second: link?.bytes_per_second,
            zones: zones?.0,
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
            &["process", "network", "limits", "balancer"],
            Self::read,
        )
    }
}

impl OpaqueAgentSettings {
    /// Returns every field that an agent's settings may have. A test compares them with the
    /// settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::requested_fields(Self::read)
    }

    fn read(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.opaque_settings();
        let service = reader.value("agent", "service", "the name of a service", None);
        let backend = reader.value("agent", "backend", "an address IP:PORT", None);
        let outbound = reader.value("agent", "outbound", "an address IP:PORT", None);
        let first_start = reader.value("agent", "first_start", "true or false", Some("false"));
        let overshoot = reader.non_negative("cold_overshoot", "1");
        let slack = reader.non_negative("cold_slack", "0");
        let advertised: Option<OptionalAddress> = reader.value(
            "agent",
            "advertised",
            "an address IP:PORT or 'none'",
            Some("none"),
        );
        let common = common?;
        Some(Self {
            advertised: advertised?.0.unwrap_or(common.frames),
            common,
            service: service?,
            backend: backend?,
            outbound: outbound?,
            first_start: first_start?,
            cold_overshoot: overshoot?,
            cold_slack: slack?,
        })
    }

    /// Parses the text of an agent's settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn parse(text: &str) -> Result<Self, FaultList<SettingFault>> {
        FieldReader::parse_file(text, &["process", "network", "limits", "agent"], Self::read)
    }
}
