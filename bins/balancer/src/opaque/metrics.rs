//! Metrics of the balancer for opaque packets.

use std::sync::Arc;

use lovagelatch_catalog::StoreFailure;
use lovagelatch_telemetry::{DURATION_BOUNDS, EventCounts, EventOutcome, Histogram, Meter};

use super::packets::PacketState;

/// Outcome of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PacketOutcome {
    /// The first packet of a flow was offered to an agent.
    Offered,
    /// An offer timed out and was made to another agent.
    OfferedAgain,
    /// A packet was forwarded to the agent that holds its flow.
    Forwarded,
    /// A packet was also sent through another agent, because the flow's agent is silent.
    Relayed,
    /// A search for the flow of a packet was sent to agents.
    Searched,
    /// A search waits for others to end.
    SearchWaiting,
    /// A search was abandoned because it would have had to query too many agents.
    SearchAbandoned,
    /// A first packet without a route was answered with a reset.
    ResetNoRoute,
    /// A first packet without a target was answered with a reset.
    ResetNoTarget,
    /// A first packet whose targets are in evacuated zones was answered with a reset.
    ResetEvacuated,
    /// A flow that was lost with its target was reset.
    ResetLost,
    /// An agent was notified whether its zone is evacuated.
    ZoneTold,
    /// A packet was dropped: no agent to query, or too many packets held.
    Dropped,
    /// A caller's datagram was not a valid packet.
    Malformed,
    /// A datagram of another process was not a valid frame for a balancer.
    BadFrame,
    /// The operating system failed to send.
    NotSent,
}

impl EventOutcome for PacketOutcome {
    const ALL: &'static [Self] = &[
        Self::Offered,
        Self::OfferedAgain,
        Self::Forwarded,
        Self::Relayed,
        Self::Searched,
        Self::SearchWaiting,
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
            Self::SearchWaiting => "search_waiting",
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

/// Packet counters by outcome.
pub(crate) type PacketCounts = EventCounts<PacketOutcome>;

/// Metrics of the packet path.
#[derive(Clone, Debug)]
pub(crate) struct PacketMetrics {
    pub(crate) packets: PacketCounts,
    /// Time from a flow's first offer to its target's answer.
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

/// Registers the metrics of searches, which are read when metrics are scraped.
pub(crate) fn register_search_metrics(meter: &Meter, packets: &Arc<PacketState>) {
    let state = Arc::clone(packets);
    let _in_flight = meter
        .u64_observable_gauge("lovagelatch.balancer.searches.in_flight")
        .with_unit("{search}")
        .with_description("Searches for flows with queries in flight")
        .with_callback(move |observer| {
            let counts = state.balancer.search_counts();
            observer.observe(counts.in_flight as u64, &[]);
        })
        .build();
    let state = Arc::clone(packets);
    let _waiting = meter
        .u64_observable_gauge("lovagelatch.balancer.searches.waiting")
        .with_unit("{search}")
        .with_description("Searches for flows that wait for others to end")
        .with_callback(move |observer| {
            let counts = state.balancer.search_counts();
            observer.observe(counts.waiting as u64, &[]);
        })
        .build();
    let state = Arc::clone(packets);
    let _suppressed = meter
        .u64_observable_counter("lovagelatch.balancer.searches.suppressed")
        .with_unit("{packet}")
        .with_description("Packets of unknown flows that caused no query")
        .with_callback(move |observer| {
            observer.observe(state.balancer.search_counts().suppressed, &[]);
        })
        .build();
}

/// Counters of store calls by outcome.
#[derive(Clone, Debug)]
pub(crate) struct StoreCallCounts(EventCounts<StoreOutcome>);

impl StoreCallCounts {
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
            Some(StoreFailure::TooLong) => StoreOutcome::TooLong,
            Some(StoreFailure::Unanswered) => StoreOutcome::Unanswered,
        });
    }
}

/// Outcome of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreOutcome {
    Answered,
    HistoryGone,
    Refused,
    TooLong,
    Unanswered,
}

impl EventOutcome for StoreOutcome {
    const ALL: &'static [Self] = &[
        Self::Answered,
        Self::HistoryGone,
        Self::Refused,
        Self::TooLong,
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
            Self::TooLong => "too_long",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Creates the histogram of the time from when a change of the evacuated zones was first read from
/// the store, by any balancer, until it is in force in this process.
pub(crate) fn zone_delay(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("lovagelatch.balancer.zone_change.delay")
        .with_unit("s")
        .with_description("From the store's word that a zone is evacuated until it is in force")
        .with_boundaries(DURATION_BOUNDS.to_vec())
        .build()
}

/// Creates the histogram of the time that comparing the catalog with the store takes, which a flow
/// waits for before it counts as lost.
pub(crate) fn verification_duration(meter: &Meter) -> Histogram<f64> {
    meter
        .f64_histogram("lovagelatch.balancer.verification.duration")
        .with_unit("s")
        .with_description("From a request to compare the catalog with the store until it is done")
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
