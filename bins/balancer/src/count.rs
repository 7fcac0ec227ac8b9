//! Counts of packets by what became of them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lovagelatch_routing::{PacketError, RouteDecision, RouteRefusal};
use lovagelatch_telemetry::{Counter, KeyValue, Meter};

/// What became of a caller's datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PacketOutcome {
    /// Forwarded to the agent its token names.
    Forwarded,
    /// Forwarded as the first packet of a flow.
    Placed,
    /// Forwarded to be answered with a stateless reset.
    Reset,
    /// Forwarded as above, and came back since nobody listens there: then forwarded once more, to
    /// be answered with a stateless reset.
    Returned,
    /// Dropped: no readable PROXY header, or not told where it was sent.
    NoEnds,
    /// Dropped: longer than what can be forwarded.
    TooLong,
    /// Dropped: no header that a caller may send.
    BadHeader,
    /// Dropped: its token is forged, damaged, or of a generation no longer valid.
    BadToken,
    /// Dropped: too small, or with too short a connection ID, to open a flow.
    BadOpening,
    /// Dropped: no service at its address.
    UnknownAddress,
    /// Dropped: the instance that held its flow has passed to another service.
    WrongService,
    /// Dropped: no target of the service.
    NoTarget,
    /// Dropped: the operating system refused to send it.
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

    /// The word that stands in metrics and logs.
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
    fn from(fault: &PacketError) -> Self {
        match fault {
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

/// The process's packet counters.
#[derive(Clone, Debug)]
pub struct PacketMetrics {
    packets: Counter<u64>,
    /// The same counts where the status page can read them.
    totals: Arc<[AtomicU64; PacketOutcome::ALL.len()]>,
}

impl PacketMetrics {
    /// Makes the counters.
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

    /// All counts so far, by the words of the outcomes.
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

/// One thread's counts since it last added them to the process's counters. A counter with
/// attributes costs more than a routing decision, so it is not touched for every packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacketCounts([u64; PacketOutcome::ALL.len()]);

impl PacketCounts {
    /// Counts one packet.
    pub fn add(&mut self, outcome: PacketOutcome) {
        self.add_many(outcome, 1);
    }

    /// Counts several packets.
    pub fn add_many(&mut self, outcome: PacketOutcome, count: u64) {
        self.0[outcome as usize] += count;
    }

    /// How many packets ended so.
    #[must_use]
    pub fn get(&self, outcome: PacketOutcome) -> u64 {
        self.0[outcome as usize]
    }

    /// All packets.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Adds the counts to the process's counters and starts again from zero.
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
