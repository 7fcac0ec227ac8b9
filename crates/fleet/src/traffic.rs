//! Counters of control-plane messages and bytes, by kind and direction.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lovagelatch_telemetry::{KeyValue, Meter};
use serde::{Deserialize, Serialize};

/// The kind of counted traffic; the metric attribute `kind`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficKind {
    /// Gossip heads, which summarise the state of a process.
    Head,
    /// Heartbeats between neighbours.
    Heartbeat,
    /// Probes of the zone of a silent process, and their replies.
    Probe,
    /// Pull requests for newer data.
    Pull,
    /// Answers to pull requests.
    Answer,
    /// Calls to the platform; their bytes are not counted.
    Platform,
    /// Rejected frames.
    Refused,
    /// Datagrams dropped because they arrived faster than they could be processed.
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

/// The direction of a message, seen from this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum TrafficDirection {
    Sent,
    Received,
}

const DIRECTIONS: [(TrafficDirection, &str); 2] = [
    (TrafficDirection::Sent, "transmit"),
    (TrafficDirection::Received, "receive"),
];

#[derive(Debug, Default)]
struct TrafficCell {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// The traffic counters of one process.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficCounters {
    cells: Arc<[[TrafficCell; KINDS.len()]; 2]>,
}

impl TrafficCounters {
    pub(crate) fn count(&self, kind: TrafficKind, direction: TrafficDirection, bytes: usize) {
        let cell = &self.cells[direction as usize][kind as usize];
        cell.messages.fetch_add(1, Ordering::Relaxed);
        cell.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Registers the observable instruments for the counters.
    pub(crate) fn register(&self, meter: &Meter) {
        let messages = meter.u64_observable_counter("lovagelatch.membership.messages");
        self.observe(messages.with_unit("{message}"), |cell| &cell.messages);
        let bytes = meter.u64_observable_counter("lovagelatch.membership.io");
        self.observe(bytes.with_unit("By"), |cell| &cell.bytes);
    }

    fn observe(&self, builder: CounterBuilder<'_>, pick: fn(&TrafficCell) -> &AtomicU64) {
        let counters = self.clone();
        let builder = builder.with_callback(move |observer| {
            for (direction, direction_name) in DIRECTIONS {
                for kind in KINDS {
                    let cell = &counters.cells[direction as usize][kind as usize];
                    let labels = [
                        KeyValue::new("kind", kind.as_str()),
                        KeyValue::new("network.io.direction", direction_name),
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
