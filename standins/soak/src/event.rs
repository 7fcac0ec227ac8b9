//! What callers, backend servers and the run itself observe.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;

/// Number of one start of a target, unique in the run.
pub type StartNumber = u32;

/// An observation that is recorded in the [`SoakLog`](crate::SoakLog).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakEvent {
    /// A target received the first packet of a flow.
    Accepted {
        /// Flow of the packet.
        flow: FlowKey,
        /// Target that received it.
        target: StartNumber,
        /// Whether any configuration so far routed the flow's service address to the target's
        /// service.
        allowed: bool,
    },
    /// A flow opened at a target.
    Opened {
        /// Flow that opened.
        flow: FlowKey,
        /// Target that holds it.
        target: StartNumber,
    },
    /// A target of a service started, and was written to the store.
    TargetStarted {
        /// Target that started.
        target: StartNumber,
        /// Index of its service.
        service: u8,
    },
    /// A target ended, and its flows with it.
    TargetEnded(StartNumber),
    /// A target announced that it is leaving.
    TargetLeaving(StartNumber),
    /// The store's entry of a target cannot be read any more.
    EntryUnreadable(StartNumber),
    /// The store's entry of a target that is not leaving can be read again.
    EntryRestored(StartNumber),
    /// A configuration that sends the new flows of a service address to a service was published.
    RoutePublished {
        /// Service address.
        address: SocketAddrV4,
        /// Index of the service.
        service: u8,
    },
    /// A client's attempt to open a flow ended.
    OpeningEnded {
        /// Service address of the flow.
        address: SocketAddrV4,
        /// Balancer that the last copy of the first packet was sent to.
        balancer: Ipv4Addr,
        /// Time of the first copy.
        since: Instant,
        /// Whether the flow opened.
        opened: bool,
    },
    /// A target, its agent or the network path to them is disturbed.
    TargetDisturbed(StartNumber),
    /// All targets are disturbed.
    AllTargetsDisturbed,
    /// A balancer is disturbed: it was killed, or its connection to the store is disturbed.
    BalancerDisturbed(Ipv4Addr),
    /// The store is disturbed.
    StoreDisturbed,
    /// A packet of an open flow reached the target that holds the flow.
    PacketReached(FlowKey),
    /// A client sent a request on an open flow and received no response before its timeout.
    Silent {
        /// Flow of the request.
        flow: FlowKey,
        /// Time of the client's first packet.
        since: Instant,
        /// Balancer that the client's last packet was sent to.
        balancer: Ipv4Addr,
    },
    /// A client received a reset of its open flow, which no target sends.
    ResetOpen(FlowKey),
    /// A client received a reset of a flow that was not open yet.
    ResetBeforeOpen(FlowKey),
    /// A target started a request.
    Ran {
        /// Request number. Odd numbers must run at most once.
        request: u64,
        /// Flow that carried the request.
        flow: FlowKey,
    },
    /// A client received a response.
    Served {
        /// Request number.
        request: u64,
        /// Whether the response was complete and belonged to the request.
        own: bool,
    },
    /// A client gave up on a request.
    Failed(u64),
    /// The process of a target's agent started.
    AgentStarted(StartNumber),
    /// The process of a balancer started again.
    BalancerStarted(Ipv4Addr),
    /// A rush is in progress. Recorded at short intervals until it ends.
    RushActive,
    /// A target holds as many flows, or has as many requests, as it can.
    TargetFull(StartNumber),
    /// A target rejected a request, which has not run.
    Rejected(u64),
    /// A target reset a new flow because it held as many as it can.
    OverLimit {
        /// Flow that was reset.
        flow: FlowKey,
        /// Target that reset it.
        target: StartNumber,
        /// Time at which the target accepted the oldest flow that it held.
        oldest: Instant,
    },
    /// A data packet of an open flow reached its target, as the client sent it.
    SegmentReached {
        /// Flow of the packet.
        flow: FlowKey,
        /// Target that received it.
        target: StartNumber,
        /// Balancer that the client sent this copy to.
        balancer: Ipv4Addr,
        /// Time at which the client sent this copy.
        sent: Instant,
    },
    /// A data packet reached a target and is not as any client sent it.
    DataChanged {
        /// Flow of the packet.
        flow: FlowKey,
        /// Target that received it.
        target: StartNumber,
    },
    /// A request failed, or took far longer than one without overload.
    Slow {
        /// Request number.
        request: u64,
        /// Time at which the request began.
        since: Instant,
    },
    /// The fleet has had enough time to recover: requests must not fail from now on.
    CalmStarted,
    /// A fault was injected.
    FaultInjected,
}

impl SoakEvent {
    /// Returns whether the event is a disturbance other than a rush.
    pub(crate) fn is_disturbance(&self) -> bool {
        matches!(
            self,
            Self::FaultInjected
                | Self::TargetEnded(_)
                | Self::TargetLeaving(_)
                | Self::EntryUnreadable(_)
                | Self::TargetDisturbed(_)
                | Self::AllTargetsDisturbed
                | Self::BalancerDisturbed(_)
                | Self::StoreDisturbed
                | Self::AgentStarted(_)
                | Self::BalancerStarted(_)
        )
    }
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakFinding {
    /// Name of the guarantee.
    pub guarantee: &'static str,
    /// Event that violates it.
    pub event: SoakEvent,
    /// Time of the event, in milliseconds from the creation of the log.
    pub at_ms: u64,
}

/// Figures of the load in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFigures {
    /// Number of requests that targets rejected.
    pub rejected: u64,
    /// Number of new flows that targets reset because they held as many as they can.
    pub over_limit: u64,
    /// Longest time from a client to its target, of packets whose path was undisturbed.
    pub longest_transit: Duration,
}
