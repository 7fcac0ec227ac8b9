//! What an agent of opaque packets counts.

use lovagelatch_telemetry::{DURATION_BOUNDS, EventCounts, EventOutcome, Histogram, Meter};

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PacketOutcome {
    /// Handed to the target, which holds the flow.
    Delivered,
    /// Handed to the target on trial: a new flow, or one that it may hold.
    Tried,
    /// Sent on to another agent.
    Passed,
    /// Handed on for a balancer that does not hear the agent it is for.
    Relayed,
    /// Sent back to the balancer.
    Returned,
    /// Sent to its client.
    ToClient,
    /// Answered with a reset.
    Reset,
    /// Shown to others for a balancer that searches for its flow.
    SearchedFor,
    /// Nobody holds its flow.
    Unheld,
    /// Neither given to the target nor refused: its zone is evacuated, and its flow may be open.
    HeldEvacuated,
    /// Neither given to the target nor refused: what a cold target has been given is not known.
    HeldCold,
    /// A datagram was no packet.
    Malformed,
    /// A datagram between processes was no frame, or none for an agent.
    BadFrame,
    /// The system refused to send.
    NotSent,
}

impl EventOutcome for PacketOutcome {
    const ALL: &'static [Self] = &[
        Self::Delivered,
        Self::Tried,
        Self::Passed,
        Self::Relayed,
        Self::Returned,
        Self::ToClient,
        Self::Reset,
        Self::SearchedFor,
        Self::Unheld,
        Self::HeldEvacuated,
        Self::HeldCold,
        Self::Malformed,
        Self::BadFrame,
        Self::NotSent,
    ];

    fn index(self) -> usize {
        self as usize
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Delivered => "delivered",
            Self::Tried => "tried",
            Self::Passed => "passed",
            Self::Relayed => "relayed",
            Self::Returned => "returned",
            Self::ToClient => "to_client",
            Self::Reset => "reset",
            Self::SearchedFor => "searched_for",
            Self::Unheld => "unheld",
            Self::HeldEvacuated => "held_evacuated",
            Self::HeldCold => "held_cold",
            Self::Malformed => "malformed",
            Self::BadFrame => "bad_frame",
            Self::NotSent => "not_sent",
        }
    }
}

/// The agent's packet counters.
pub(crate) type PacketCounts = EventCounts<PacketOutcome>;

/// What the packet path measures.
#[derive(Clone, Debug)]
pub(crate) struct PacketMetrics {
    pub(crate) packets: PacketCounts,
    /// From a request to the first of its answer.
    pub(crate) response_duration: Histogram<f64>,
    /// From the store's word about the target's zone until it is in force here.
    pub(crate) zone_delay: Histogram<f64>,
}

impl PacketMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let response_duration = meter
            .f64_histogram("lovagelatch.agent.response.duration")
            .with_unit("s")
            .with_description("From a request to the first of its answer")
            .with_boundaries(DURATION_BOUNDS.to_vec())
            .build();
        let zone_delay = meter
            .f64_histogram("lovagelatch.agent.zone_change.delay")
            .with_unit("s")
            .with_description(
                "From the store's word that the zone is evacuated until it is in force",
            )
            .with_boundaries(DURATION_BOUNDS.to_vec())
            .build();
        Self {
            packets: packet_counts(meter),
            response_duration,
            zone_delay,
        }
    }
}

fn packet_counts(meter: &Meter) -> PacketCounts {
    EventCounts::new(
        meter,
        "lovagelatch.agent.opaque_packets",
        "{packet}",
        "Packets and frames by what became of them",
    )
}
