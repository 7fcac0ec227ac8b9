//! What a balancer of opaque packets counts.

use lovagelatch_catalog::StoreFailure;
use lovagelatch_telemetry::{DURATION_BOUNDS, EventCounts, EventOutcome, Histogram, Meter};

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PacketOutcome {
    /// A flow's first packet was offered to an agent.
    Offered,
    /// An offer was not answered in time and was made to another agent.
    OfferedAgain,
    /// A packet went to the agent that holds its flow.
    Forwarded,
    /// A packet went through another agent as well, because its own is silent.
    Relayed,
    /// A packet of an unknown flow began its walk.
    Searched,
    /// A search ended because it would have had to ask too many agents.
    SearchAbandoned,
    /// A first packet without a route was answered with a reset.
    ResetNoRoute,
    /// A first packet without a target was answered with a reset.
    ResetNoTarget,
    /// A first packet whose targets are in evacuated zones was answered with a reset.
    ResetEvacuated,
    /// A flow that was lost with its target was ended with a reset.
    ResetLost,
    /// An agent was told whether its zone is evacuated.
    ZoneTold,
    /// Nobody could be asked about a packet.
    Dropped,
    /// A datagram was no packet.
    Malformed,
    /// A datagram between processes was no frame, or none for a balancer.
    BadFrame,
    /// The system refused to send.
    NotSent,
}

impl EventOutcome for PacketOutcome {
    const ALL: &'static [Self] = &[
        Self::Offered,
        Self::OfferedAgain,
        Self::Forwarded,
        Self::Relayed,
        Self::Searched,
        Self::SearchAbandoned,
        Self::ResetNoRoute,
        Self::ResetNoTarget,
        Self::ResetEvacuated,
        Self::ResetLost,
        Self::ZoneTold,
        Self::Dropped,
        Self::Malformed,
        Self::BadFrame,
        Self::NotSent,
    ];

    fn index(self) -> usize {
        self as usize
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Offered => "offered",
            Self::OfferedAgain => "offered_again",
            Self::Forwarded => "forwarded",
            Self::Relayed => "relayed",
            Self::Searched => "searched",
            Self::SearchAbandoned => "search_abandoned",
            Self::ResetNoRoute => "reset_no_route",
            Self::ResetNoTarget => "reset_no_target",
            Self::ResetEvacuated => "reset_evacuated",
            Self::ResetLost => "reset_lost",
            Self::ZoneTold => "zone_told",
            Self::Dropped => "dropped",
            Self::Malformed => "malformed",
            Self::BadFrame => "bad_frame",
            Self::NotSent => "not_sent",
        }
    }
}

/// The balancer's packet counters.
pub(crate) type PacketCounts = EventCounts<PacketOutcome>;

/// What the packet path measures.
#[derive(Clone, Debug)]
pub(crate) struct PacketMetrics {
    pub(crate) packets: PacketCounts,
    /// From a flow's first offer to its target's answer.
    pub(crate) answer_duration: Histogram<f64>,
}

impl PacketMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let answer_duration = meter
            .f64_histogram("lovagelatch.balancer.answer.duration")
            .with_unit("s")
            .with_description("From a flow's first offer to its target's answer")
            .with_boundaries(DURATION_BOUNDS.to_vec())
            .build();
        Self {
            packets: packet_counts(meter),
            answer_duration,
        }
    }
}

/// What the control tasks measure.
#[derive(Clone, Debug)]
pub(crate) struct StoreCounts(EventCounts<StoreOutcome>);

impl StoreCounts {
    pub(crate) fn new(meter: &Meter) -> Self {
        Self(EventCounts::new(
            meter,
            "lovagelatch.balancer.store_calls",
            "{call}",
            "Calls to the store by how they ended",
        ))
    }

    pub(crate) fn add(&self, failure: Option<StoreFailure>) {
        self.0.add(match failure {
            None => StoreOutcome::Answered,
            Some(StoreFailure::HistoryGone) => StoreOutcome::HistoryGone,
            Some(StoreFailure::Refused) => StoreOutcome::Refused,
            Some(StoreFailure::Unanswered) => StoreOutcome::Unanswered,
        });
    }
}

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreOutcome {
    Answered,
    HistoryGone,
    Refused,
    Unanswered,
}

impl EventOutcome for StoreOutcome {
    const ALL: &'static [Self] = &[
        Self::Answered,
        Self::HistoryGone,
        Self::Refused,
        Self::Unanswered,
    ];

    fn index(self) -> usize {
        self as usize
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::HistoryGone => "history_gone",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// From the moment at which a change of the evacuated zones was read from the store, by whoever read it first,
/// until it is in force in this process.
pub(crate) fn zone_delay(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("lovagelatch.balancer.zone_change.delay")
        .with_unit("s")
        .with_description("From the store's word that a zone is evacuated until it is in force")
        .with_boundaries(DURATION_BOUNDS.to_vec())
        .build()
}

fn packet_counts(meter: &Meter) -> PacketCounts {
    EventCounts::new(
        meter,
        "lovagelatch.balancer.opaque_packets",
        "{packet}",
        "Packets and frames by what became of them",
    )
}
