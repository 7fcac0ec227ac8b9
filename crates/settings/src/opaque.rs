//! Settings of processes that carry opaque packets: flows whose ends are the callers' and the
//! backend servers' own.
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

/// What kind of packets a process carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TrafficKind {
    /// QUIC, ended by the agents; every packet carries a token of the agent's.
    #[default]
    Quic,
    /// Packets that are opaque to the system.
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
    /// The kind that a settings file asks for; faults of the file show when it is parsed whole.
    #[must_use]
    pub fn of_settings(text: &str) -> Self {
        let Ok(mut reader) = FieldReader::new(text) else {
            return Self::default();
        };
        reader.traffic().unwrap_or_default()
    }
}

/// The settings of a program that carries either kind of traffic.
#[derive(Clone, Debug)]
pub enum TrafficSettings<Q, O> {
    /// Of a process that carries QUIC.
    Quic(Q),
    /// Of a process that carries opaque packets.
    Opaque(O),
}

impl<Q, O> TrafficSettings<Q, O> {
    /// Parses a settings file by the traffic that it names.
    ///
    /// # Errors
    ///
    /// Those of the parser that the traffic calls for.
    pub fn parse(
        text: &str,
        quic: impl FnOnce(&str) -> Result<Q, FaultList<SettingFault>>,
        opaque: impl FnOnce(&str) -> Result<O, FaultList<SettingFault>>,
    ) -> Result<Self, FaultList<SettingFault>> {
        match TrafficKind::of_settings(text) {
            TrafficKind::Quic => quic(text).map(Self::Quic),
            TrafficKind::Opaque => opaque(text).map(Self::Opaque),
        }
    }
}

/// A span written as seconds, with a fraction where needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SecondSpan(Duration);

impl FromStr for SecondSpan {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let seconds: f64 = text.parse().map_err(|_| ())?;
        let span = Duration::try_from_secs_f64(seconds).map_err(|_| ())?;
        if span.is_zero() {
            Err(())
        } else {
            Ok(Self(span))
        }
    }
}

/// A link's speed, written as megabits a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkSpeed {
    /// Bytes a second.
    bytes: u64,
}

impl FromStr for LinkSpeed {
    type Err = ();

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from_str(text: &str) -> Result<Self, ()> {
        let megabits: f64 = text.parse().map_err(|_| ())?;
        if megabits.is_finite() && megabits > 0.0 {
            let bytes = (megabits * 125_000.0) as u64;
            Ok(Self { bytes })
        } else {
            Err(())
        }
    }
}

/// Zones with their regions, written as `zone:region`, one after the other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ZoneRegionList(Vec<(ZoneName, RegionName)>);

impl FromStr for ZoneRegionList {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let separators = |c: char| c == ',' || c.is_whitespace();
        let words = text.split(separators).filter(|word| !word.is_empty());
        let mut list: Vec<(ZoneName, RegionName)> = Vec::new();
        for word in words {
            let (zone, region) = word.split_once(':').ok_or(())?;
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

/// A number that is 0 or more, with a fraction where needed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allowance(f32);

impl FromStr for Allowance {
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

/// What every process that carries opaque packets is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpaqueSettings {
    /// Its name in logs.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes frames of other processes; the same port on all instances.
    pub frames: SocketAddrV4,
    /// Its address for packets. A balancer is handed callers' packets there; everybody sends
    /// packets for a caller to the caller's address at this port.
    pub packets: SocketAddrV4,
    /// Where it tells whether it is ready.
    pub ready: SocketAddrV4,
    /// Where it serves metrics and status.
    pub operations: SocketAddrV4,
    /// The longest that a flow lives.
    pub flow_lifetime: Duration,
    /// How long a stop may take before the process is killed.
    pub stop_limit: Duration,
}

impl OpaqueSettings {
    /// These settings with the limits of `other`, which hold from the next start on.
    #[must_use]
    pub fn with_limits_of(mut self, other: &Self) -> Self {
        self.flow_lifetime = other.flow_lifetime;
        self.stop_limit = other.stop_limit;
        self
    }
}

/// What a balancer is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpaqueBalancerSettings {
    /// What every process is told.
    pub common: OpaqueSettings,
    /// Where it takes messages of other balancers, UDP and TCP; the same port on all of them.
    pub gossip: SocketAddrV4,
    /// Addresses of some instances that run a balancer. Only the IP addresses count: the port is
    /// `gossip`'s.
    pub seeds: SmallVec<[SocketAddrV4; 3]>,
    /// The platform's store.
    pub store: SocketAddrV4,
    /// What the instance's link carries, in bytes a second.
    pub link_bytes: u64,
    /// The region of each zone.
    pub zones: Vec<(ZoneName, RegionName)>,
}

/// An address that may be left out.
struct AddressOrNone(Option<SocketAddrV4>);

impl FromStr for AddressOrNone {
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

/// What an agent is told.
#[derive(Clone, Debug, PartialEq)]
pub struct OpaqueAgentSettings {
    /// What every process is told.
    pub common: OpaqueSettings,
    /// The service of its backend server.
    pub service: ServiceName,
    /// Where its backend server takes packets.
    pub backend: SocketAddrV4,
    /// Where its backend server sends all of its own packets.
    pub outbound: SocketAddrV4,
    /// Where other processes reach its `frames`, and so its name among them.
    pub advertised: SocketAddrV4,
    /// Whether the whole fleet starts now, so that no flow can be older than this process.
    pub first_start: bool,
    /// How many times what a cold target bears in a second it may be given at most.
    pub cold_overshoot: f32,
    /// How many new flows more than that it may be given.
    pub cold_slack: f32,
}

impl FieldReader {
    pub(crate) fn traffic(&mut self) -> Option<TrafficKind> {
        self.value("process", "traffic", "'quic' or 'opaque'", Some("quic"))
    }

    fn opaque(&mut self) -> Option<OpaqueSettings> {
        let address = "an address IP:PORT";
        let _kind = self.traffic();
        let name = self.value("process", "name", "a name", None);
        let zone = self.value("process", "zone", "the name of a zone", None);
        let frames = self.value("network", "frames", address, None);
        let packets = self.value("network", "packets", address, None);
        let ready = self.value("network", "ready", address, None);
        let operations = self.value("network", "operations", address, None);
        let flow_lifetime = self.seconds("flow_lifetime_s", "60");
        let stop_limit = self.seconds("stop_s", "6");
        Some(OpaqueSettings {
            name: name?,
            zone: zone?,
            frames: frames?,
            packets: packets?,
            ready: ready?,
            operations: operations?,
            flow_lifetime: flow_lifetime?,
            stop_limit: stop_limit?,
        })
    }

    fn allowance(&mut self, field: &'static str, default: &str) -> Option<f32> {
        let value: Allowance = self.value("limits", field, "a number, 0 or more", Some(default))?;
        Some(value.0)
    }

    fn seconds(&mut self, field: &'static str, default: &str) -> Option<Duration> {
        let span: SecondSpan = self.value("limits", field, "seconds above 0", Some(default))?;
        Some(span.0)
    }
}

impl OpaqueBalancerSettings {
    /// Every field that a balancer's settings may have, for the settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::fields_of(Self::take)
    }

    fn take(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.opaque();
        let gossip = reader.value("balancer", "gossip", "an address IP:PORT", None);
        let seeds: Option<SeedList> = reader.value(
            "balancer",
            "seeds",
            "a list of addresses IP:PORT",
            Some(","),
        );
        let store = reader.value("balancer", "store", "an address IP:PORT", None);
        let link: Option<LinkSpeed> = reader.value(
            "limits",
            "link_mbps",
            "megabits a second above 0",
            Some("1000"),
        );
        let zones: Option<ZoneRegionList> = reader.value(
            "balancer",
            "zones",
            "a list of ZONE:REGION, each zone once",
            Some(","),
        );
        let gossip: SocketAddrV4 = gossip?;
        let at_gossip = |ip| SocketAddrV4::new(ip, gossip.port());
        let seeds = seeds?
            .0
            .iter()
            .map(|seed| at_gossip(*seed.0.ip()))
            .collect();
        Some(Self {
            common: common?,
            gossip,
            seeds,
            store: store?,
            link_bytes: link?.bytes,
            zones: zones?.0,
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
            &["process", "network", "limits", "balancer"],
            Self::take,
        )
    }
}

impl OpaqueAgentSettings {
    /// Every field that an agent's settings may have, for the settings reference.
    #[must_use]
    pub fn fields() -> Vec<FieldName> {
        FieldReader::fields_of(Self::take)
    }

    fn take(reader: &mut FieldReader) -> Option<Self> {
        let common = reader.opaque();
        let service = reader.value("agent", "service", "the name of a service", None);
        let backend = reader.value("agent", "backend", "an address IP:PORT", None);
        let outbound = reader.value("agent", "outbound", "an address IP:PORT", None);
        let first_start = reader.value("agent", "first_start", "true or false", Some("false"));
        let overshoot = reader.allowance("cold_overshoot", "1");
        let slack = reader.allowance("cold_slack", "0");
        let advertised: Option<AddressOrNone> = reader.value(
            "agent",
            "advertised",
            "an address IP:PORT or none",
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
    /// All faults at once.
    pub fn parse(text: &str) -> Result<Self, FaultList<SettingFault>> {
        FieldReader::parse_file(text, &["process", "network", "limits", "agent"], Self::take)
    }
}
