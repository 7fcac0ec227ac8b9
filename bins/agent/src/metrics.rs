//! The agent's instruments.

use lovagelatch_telemetry::{Counter, Histogram, KeyValue, Meter};

/// Counters and histograms of one agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentMetrics {
    pub(crate) frames_refused: Counter<u64>,
    pub(crate) wrong_service: Counter<u64>,
    pub(crate) packets_dropped: Counter<u64>,
    pub(crate) packets_passed_on: Counter<u64>,
    pub(crate) flows_accepted: Counter<u64>,
    pub(crate) flows_handed_on: Counter<u64>,
    /// By the attribute `outcome`.
    pub(crate) requests: Counter<u64>,
    pub(crate) relays: Counter<u64>,
    pub(crate) answers_discarded: Counter<u64>,
    pub(crate) answers_cut: Counter<u64>,
    pub(crate) request_seconds: Histogram<f64>,
}

impl AgentMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            frames_refused: counter("agent_frames_refused", "frames that were not genuine"),
            wrong_service: counter("agent_wrong_service", "packets of another service"),
            packets_dropped: counter("agent_packets_dropped", "packets dropped by a full queue"),
            packets_passed_on: counter("agent_packets_passed_on", "packets of a peer's flows"),
            flows_accepted: counter("agent_flows_accepted", "flows accepted"),
            flows_handed_on: counter("agent_flows_handed_on", "new flows given to a peer"),
            requests: counter("agent_requests", "requests by outcome"),
            relays: counter("agent_relays", "requests relayed to a peer"),
            answers_discarded: counter("agent_answers_discarded", "answers of another attempt"),
            answers_cut: counter("agent_answers_cut", "answers that ended short"),
            request_seconds: meter
                .f64_histogram("agent_request_seconds")
                .with_description("time from a request's arrival to its outcome")
                .build(),
        }
    }

    pub(crate) fn count_outcome(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}
