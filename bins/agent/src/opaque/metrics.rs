//! Metrics of an agent for opaque packets.

use lovagelatch_telemetry::{
    Counter, DURATION_BOUNDS, EventCounts, EventOutcome, Histogram, Meter,
};

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PacketOutcome {
    /// Delivered to the target, which holds the flow.
    Delivered,
    /// Delivered to the target tentatively: a new flow, or one that the target may hold.
    Tried,
    /// Held until the target has a place for the request; counted again when it is delivered.
    Held,
    /// Forwarded to another agent.
    Passed,
    /// Relayed for a balancer that gets no response from the destination agent.
    Relayed,
    /// Returned to the balancer.
    Returned,
    /// Sent to the client.
    ToClient,
    /// Answered with a reset.
    Reset,
    /// Used for a delegated search: shown to other agents for a balancer that searches for the
    /// flow.
    SearchedFor,
    /// Dropped: no known target holds the flow.
    Unheld,
    /// Neither delivered nor refused: the target's zone is evacuated, and the flow may be open.
    HeldEvacuated,
    /// Neither delivered nor refused: it is unknown which flows a cold target has received.
    HeldCold,
    /// The datagram is not a valid packet.
    Malformed,
    /// The datagram is not a valid frame, or not one for agents.
    BadFrame,
    /// The operating system did not accept the datagram for sending.
    NotSent,
}

impl EventOutcome for PacketOutcome {
    const ALL: &'static [Self] = &[
        Self::Delivered,
        Self::Tried,
        Self::Held,
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
            Self::Held => "held",
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

/// The metrics of the packet path.
#[derive(Clone, Debug)]
pub(crate) struct PacketMetrics {
    pub(crate) packets: PacketCounts,
    /// Time from a request to the first packet of its response.
    pub(crate) response_duration: Histogram<f64>,
    /// Time from a change of the target's zone in the store until it is in force here.
    pub(crate) zone_delay: Histogram<f64>,
    /// How long requests waited, by route and by why they were released.
    pub(crate) request_wait: Histogram<f64>,
    /// Requests that were delivered to a full target without waiting, by route and reason.
    pub(crate) excess_requests: Counter<u64>,
    /// Offers that were not accepted because of the target's load, by route, reason and outcome.
    pub(crate) refused_offers: Counter<u64>,
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
        let request_wait = meter
            .f64_histogram("lovagelatch.agent.request.wait")
            .with_unit("s")
            .with_description("How long requests waited until they were delivered")
            .with_boundaries(DURATION_BOUNDS.to_vec())
            .build();
        let excess_requests = meter
            .u64_counter("lovagelatch.agent.excess_requests")
            .with_unit("{request}")
            .with_description("Requests delivered to a full target without waiting")
            .build();
        let refused_offers = meter
            .u64_counter("lovagelatch.agent.refused_offers")
            .with_unit("{flow}")
            .with_description("New flows passed on or reset because of the target's load")
            .build();
        Self {
            packets: packet_counts(meter),
            response_duration,
            zone_delay,
            request_wait,
            excess_requests,
            refused_offers,
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
