//! Packet counters by outcome.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lovagelatch_routing::{PacketError, RouteDecision, RouteRefusal};
use lovagelatch_telemetry::{Counter, KeyValue, Meter};

/// Outcome of a caller's datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PacketOutcome {
    /// Forwarded to the agent named in its flow token.
    Forwarded,
    /// Forwarded as the first packet of a flow.
    Placed,
    /// Forwarded to an agent that answers with a stateless reset.
    Reset,
    /// Returned as undeliverable because the agent's port was closed, then forwarded to another
    /// agent that answers with a stateless reset.
    Returned,
    /// Dropped: PROXY header or destination address missing or malformed.
    NoEnds,
    /// Dropped: exceeds the maximum datagram length.
    TooLong,
    /// Dropped: not a packet header that a caller may send.
    BadHeader,
    /// Dropped: its flow token is forged, corrupted, or of an expired key generation.
    BadToken,
    /// Dropped: packet or connection ID too short to open a flow.
    BadOpening,
    /// Dropped: no service has the destination address.
    UnknownAddress,
    /// Dropped: the instance that held its flow now belongs to another service.
    WrongService,
    /// Dropped: the service has no target.
    NoTarget,
    /// Dropped: the operating system failed to send it.
    NotSent,
}

impl PacketOutcome {
    const ALL: [Self; 13] = [
        Self::Forwarded,
        Self::Placed,
        Self::Reset,
        Self::Returned,
        Self::NoEnds,
        Self::TooLong,
        Self::BadHeader,
        Self::BadToken,
        Self::BadOpening,
        Self::UnknownAddress,
        Self::WrongService,
        Self::NoTarget,
        Self::NotSent,
    ];

    /// Returns the label used in metrics and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Forwarded => "forwarded",
            Self::Placed => "placed",
            Self::Reset => "reset",
            Self::Returned => "returned",
            Self::NoEnds => "no_ends",
            Self::TooLong => "too_long",
            Self::BadHeader => "bad_header",
            Self::BadToken => "bad_token",
            Self::BadOpening => "bad_opening",
            Self::UnknownAddress => "unknown_address",
            Self::WrongService => "wrong_service",
            Self::NoTarget => "no_target",
            Self::NotSent => "not_sent",
        }
    }
}

impl From<&PacketError> for PacketOutcome {
    fn from(error: &PacketError) -> Self {
        match error {
            PacketError::Header(_) => Self::BadHeader,
            PacketError::Token(_) => Self::BadToken,
            PacketError::SmallInitial { .. } | PacketError::ShortId { .. } => Self::BadOpening,
        }
    }
}

impl From<&RouteDecision> for PacketOutcome {
    fn from(decision: &RouteDecision) -> Self {
        match decision {
            RouteDecision::Forward { .. } => Self::Forwarded,
            RouteDecision::NewFlow { .. } => Self::Placed,
            RouteDecision::Reset { .. } => Self::Reset,
            RouteDecision::Refuse { reason } => match reason {
                RouteRefusal::UnknownAddress => Self::UnknownAddress,
                RouteRefusal::WrongService { .. } | RouteRefusal::AgentReassigned { .. } => {
                    Self::WrongService
                }
                RouteRefusal::NoTarget { .. } => Self::NoTarget,
            },
        }
    }
}

/// Packet counters of the process.
#[derive(Clone, Debug)]
pub struct PacketMetrics {
    packets: Counter<u64>,
    /// The same counts, readable for the status page.
    totals: Arc<[AtomicU64; PacketOutcome::ALL.len()]>,
}

impl PacketMetrics {
    /// Registers the counters with `meter`.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let packets = meter
            .u64_counter("lovagelatch.balancer.packets")
            .with_unit("{packet}")
            .with_description("Caller datagrams by what became of them")
            .build();
        Self {
            packets,
            totals: Arc::default(),
        }
    }

    /// Returns the count of each outcome since the start, by its label.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<String, u64> {
        PacketOutcome::ALL
            .into_iter()
            .map(|outcome| {
                let count = self.totals[outcome as usize].load(Ordering::Relaxed);
                (outcome.as_str().to_owned(), count)
            })
            .collect()
    }
}

/// Counts of one thread since its last flush to the process's counters. Adding to a counter with
/// attributes costs more than a routing decision, so it is not done for every packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts([u64; PacketOutcome::ALL.len()]);

impl PacketCounts {
    /// Adds one packet.
    pub fn add(&mut self, outcome: PacketOutcome) {
        self.add_many(outcome, 1);
    }

    /// Adds `count` packets with the same outcome.
    pub fn add_many(&mut self, outcome: PacketOutcome, count: u64) {
        self.0[outcome as usize] += count;
    }

    /// Returns the number of packets with this outcome since the last flush.
    #[must_use]
    pub fn get(&self, outcome: PacketOutcome) -> u64 {
        self.0[outcome as usize]
    }

    /// Returns the number of all packets since the last flush.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Adds the counts to the process's counters and resets them to zero.
    pub fn flush(&mut self, metrics: &PacketMetrics) {
        for outcome in PacketOutcome::ALL {
            let count = std::mem::take(&mut self.0[outcome as usize]);
            if count > 0 {
                let attribute = KeyValue::new("outcome", outcome.as_str());
                metrics.packets.add(count, &[attribute]);
                metrics.totals[outcome as usize].fetch_add(count, Ordering::Relaxed);
            }
        }
    }
}
