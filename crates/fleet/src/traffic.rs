//! Messages and bytes of the control plane, by kind.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lovagelatch_telemetry::{KeyValue, Meter};
use serde::{Deserialize, Serialize};

/// What kind of exchange is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficKind {
    /// Gossip heads.
    Head,
    /// Heartbeats.
    Heartbeat,
    /// Probes of a silent process's zone, and their answers.
    Probe,
    /// Requests for what is newer.
    Pull,
    /// Answers to such requests.
    Answer,
    /// Calls to the platform; their bytes are not counted.
    Platform,
    /// Frames that were refused.
    Refused,
    /// Datagrams that came faster than they could be taken.
    Dropped,
}

const KINDS: [TrafficKind; 8] = [
    TrafficKind::Head,
    TrafficKind::Heartbeat,
    TrafficKind::Probe,
    TrafficKind::Pull,
    TrafficKind::Answer,
    TrafficKind::Platform,
    TrafficKind::Refused,
    TrafficKind::Dropped,
];

impl TrafficKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Heartbeat => "heartbeat",
            Self::Probe => "probe",
            Self::Pull => "pull",
            Self::Answer => "answer",
            Self::Platform => "platform",
            Self::Refused => "refused",
            Self::Dropped => "dropped",
        }
    }
}

/// Which way a message went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum TrafficWay {
    Sent,
    Received,
}

const WAYS: [(TrafficWay, &str); 2] = [
    (TrafficWay::Sent, "transmit"),
    (TrafficWay::Received, "receive"),
];

#[derive(Debug, Default)]
struct TrafficCell {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// The counters of one process.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficCounters {
    cells: Arc<[[TrafficCell; KINDS.len()]; 2]>,
}

impl TrafficCounters {
    pub(crate) fn count(&self, kind: TrafficKind, way: TrafficWay, bytes: usize) {
        let cell = &self.cells[way as usize][kind as usize];
        cell.messages.fetch_add(1, Ordering::Relaxed);
        cell.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Makes the instruments that report the counters.
    pub(crate) fn register(&self, meter: &Meter) {
        let messages = meter.u64_observable_counter("lovagelatch.membership.messages");
        self.observe(messages.with_unit("{message}"), |cell| &cell.messages);
        let bytes = meter.u64_observable_counter("lovagelatch.membership.io");
        self.observe(bytes.with_unit("By"), |cell| &cell.bytes);
    }

    fn observe(&self, builder: CounterBuilder<'_>, pick: fn(&TrafficCell) -> &AtomicU64) {
        let counters = self.clone();
        let builder = builder.with_callback(move |observer| {
            for (way, way_name) in WAYS {
                for kind in KINDS {
                    let cell = &counters.cells[way as usize][kind as usize];
                    let labels = [
                        KeyValue::new("kind", kind.as_str()),
                        KeyValue::new("network.io.direction", way_name),
                    ];
                    observer.observe(pick(cell).load(Ordering::Relaxed), &labels);
                }
            }
        });
        builder.build();
    }
}

type CounterBuilder<'a> = opentelemetry::metrics::AsyncInstrumentBuilder<
    'a,
    opentelemetry::metrics::ObservableCounter<u64>,
    u64,
>;
