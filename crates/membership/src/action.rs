//! Settings of a [`FleetMember`](crate::FleetMember), and the actions that it requests.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, ConfigRevision, Incarnation, ListRevision, ServiceId, ZoneName,
};

use crate::config::{ConfigError, ConfigSource};
use crate::delta::TableError;
use crate::message::{MemberMessage, PullRequest};
use crate::view::FleetView;

/// Control traffic that a process may send, over all messages.
const SEND_RATE_BYTES_PER_SECOND: u32 = 2_000;

/// Control traffic that may be sent in one burst after an idle period.
const SEND_BURST_BYTES: u32 = 8_000;

/// Settings of one member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Address of the process's control socket.
    pub control: AgentAddress,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Service of the backend server; `None` for a balancer.
    pub service: Option<ServiceId>,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Address of the operations endpoint.
    pub operations: SocketAddrV4,
    /// How often a reader reads the instance list.
    pub list_poll: Duration,
    /// Maximum send rate in bytes per second.
    pub send_rate: u32,
    /// Maximum burst in bytes.
    pub send_burst: u32,
    /// Time since the Unix epoch at `Moment::ZERO`, so that all processes agree on the reader
    /// epoch.
    pub unix_start: Duration,
}

impl MemberSettings {
    /// Creates the settings of a balancer.
    #[must_use]
    pub fn new(control: AgentAddress, zone: ZoneName, incarnation: Incarnation) -> Self {
        Self {
            control,
            zone,
            service: None,
            incarnation,
            operations: control.0,
            list_poll: Duration::from_secs(1),
            send_rate: SEND_RATE_BYTES_PER_SECOND,
            send_burst: SEND_BURST_BYTES,
            unix_start: Duration::ZERO,
        }
    }

    /// Makes these the settings of an agent of `service`.
    #[must_use]
    pub fn with_service(mut self, service: ServiceId) -> Self {
        self.service = Some(service);
        self
    }

    /// Sets the address of the operations endpoint.
    #[must_use]
    pub fn with_operations(mut self, operations: SocketAddrV4) -> Self {
        self.operations = operations;
        self
    }

    /// Sets the interval between reads of the instance list.
    #[must_use]
    pub fn with_list_poll(mut self, interval: Duration) -> Self {
        self.list_poll = interval;
        self
    }

    /// Sets the time since the Unix epoch at `Moment::ZERO`.
    #[must_use]
    pub fn with_unix_start(mut self, since_unix: Duration) -> Self {
        self.unix_start = since_unix;
        self
    }
}

/// A call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlatformCall {
    /// Read the configuration.
    ReadConfig,
    /// Wait for a configuration with a revision above this one.
    WatchConfig(ConfigRevision),
    /// Read the instance list.
    ReadInstances,
}

/// An event that is worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNotice {
    /// Another configuration is in force.
    ConfigApplied {
        /// Revision of the configuration.
        revision: ConfigRevision,
        /// Where the configuration came from.
        source: ConfigSource,
    },
    /// A configuration was refused; the one in force stays.
    ConfigRefused(ConfigError),
    /// An instance list was refused; the previous one stays.
    ListRefused(TableError),
    /// Another instance list is in force.
    ListApplied(ListRevision),
    /// An agent announced that it is leaving, or a successor at its address refuted that.
    LeavingChanged {
        /// Address of the agent's control socket.
        agent: AgentAddress,
        /// Whether the agent is leaving now.
        leaving: bool,
    },
    /// An agent became suspected, or is no longer suspected.
    SuspicionChanged {
        /// Address of the agent's control socket.
        agent: AgentAddress,
        /// Whether the agent is suspected now.
        suspected: bool,
    },
    /// A whole zone became suspected, or is no longer suspected.
    ZoneSuspicionChanged {
        /// Name of the zone.
        zone: ZoneName,
        /// Whether the zone is suspected now.
        suspected: bool,
    },
    /// This process did not run for the given time.
    Paused(Duration),
    /// The process knows enough to serve.
    Ready,
}

/// An action that a member asks its caller to perform.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// Control address of the receiver.
        to: AgentAddress,
        /// Message to encode and send.
        message: MemberMessage,
    },
    /// Open a stream and send the request. Pass the parts of the answer to
    /// [`accept_answer`](crate::FleetMember::accept_answer), or call
    /// [`pull_failed`](crate::FleetMember::pull_failed).
    Pull {
        /// Control address of the peer.
        from: AgentAddress,
        /// Request to send as the first frame.
        request: PullRequest,
    },
    /// Call the platform and pass the answer to the member.
    Platform(PlatformCall),
    /// Publish a new view to its readers.
    Publish(Arc<FleetView>),
    /// Write a log line.
    Notice(MemberNotice),
}
