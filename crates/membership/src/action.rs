//! What a [`FleetMember`](crate::FleetMember) is told at its start and what it wants done.

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

/// Bytes that a process may send for control each second, over all messages.
const SEND_RATE: u32 = 2_000;

/// Bytes that may be sent at once after a quiet time.
const SEND_BURST: u32 = 8_000;

/// What a member of the fleet is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSettings {
    /// Where its process listens for the others.
    pub own: AgentAddress,
    /// Its zone.
    pub zone: ZoneName,
    /// The service of its backend server; `None` for a balancer.
    pub service: Option<ServiceId>,
    /// This start of the process.
    pub incarnation: Incarnation,
    /// Where it serves operations.
    pub operations: SocketAddrV4,
    /// How often a reader reads the instance list.
    pub list_poll: Duration,
    /// Bytes sent each second at most.
    pub send_rate: u32,
    /// Bytes sent at once at most.
    pub send_burst: u32,
    /// Time since the Unix epoch at `Moment::ZERO`, so that all draw readers for one epoch.
    pub unix_start: Duration,
}

impl MemberSettings {
    /// A balancer in a zone.
    #[must_use]
    pub fn new(own: AgentAddress, zone: ZoneName, incarnation: Incarnation) -> Self {
        Self {
            own,
            zone,
            service: None,
            incarnation,
            operations: own.0,
            list_poll: Duration::from_secs(1),
            send_rate: SEND_RATE,
            send_burst: SEND_BURST,
            unix_start: Duration::ZERO,
        }
    }

    /// An agent of a service.
    #[must_use]
    pub fn with_service(mut self, service: ServiceId) -> Self {
        self.service = Some(service);
        self
    }

    /// Where operations are served.
    #[must_use]
    pub fn with_operations(mut self, operations: SocketAddrV4) -> Self {
        self.operations = operations;
        self
    }

    /// Another interval between reads of the list.
    #[must_use]
    pub fn with_list_poll(mut self, interval: Duration) -> Self {
        self.list_poll = interval;
        self
    }

    /// The time of day at `Moment::ZERO`.
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
    /// Wait for a configuration above this revision.
    WatchConfig(ConfigRevision),
    /// Read the instance list.
    ReadInstances,
}

/// Something worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberNotice {
    /// A configuration is in force.
    ConfigTaken {
        /// Its revision.
        revision: ConfigRevision,
        /// Who it was heard from.
        source: ConfigSource,
    },
    /// A configuration was not taken.
    ConfigRefused(ConfigError),
    /// A list was not taken.
    ListRefused(TableError),
    /// Another list is in force.
    ListTaken(ListRevision),
    /// An agent said that it is leaving; `false`: a successor at its address said it is not.
    LeavingSeen {
        /// The agent.
        agent: AgentAddress,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// An agent is suspected, or no longer.
    SuspicionChanged {
        /// The agent.
        agent: AgentAddress,
        /// Whether it is suspected now.
        suspected: bool,
    },
    /// A whole zone is suspected, or no longer.
    ZoneChanged {
        /// The zone.
        zone: ZoneName,
        /// Whether it is suspected now.
        suspected: bool,
    },
    /// This process did not run for a while.
    Paused(Duration),
    /// The process knows enough to serve.
    Ready,
}

/// What a member wants done.
#[derive(Clone, Debug)]
pub enum MemberAction {
    /// Send a datagram.
    Send {
        /// To whom.
        to: AgentAddress,
        /// What.
        message: MemberMessage,
    },
    /// Open a stream, send the request and hand the parts of the answer to
    /// [`accept_answer`](crate::FleetMember::accept_answer), or call
    /// [`pull_failed`](crate::FleetMember::pull_failed).
    Pull {
        /// From whom.
        from: AgentAddress,
        /// What to ask.
        request: PullRequest,
    },
    /// Call the platform and hand the answer in.
    Platform(PlatformCall),
    /// Publish a new view.
    Publish(Arc<FleetView>),
    /// Write a log line.
    Notice(MemberNotice),
}
