//! Counters of forwarded and lost datagrams and of streams.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// A snapshot of the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FabricCounters {
    /// Datagrams received from callers.
    pub from_callers: u64,
    /// Datagrams sent to callers.
    pub to_callers: u64,
    /// Datagrams sent to balancers.
    pub to_balancers: u64,
    /// Datagrams forwarded between processes.
    pub between_processes: u64,
    /// Datagrams dropped by the fault plan.
    pub dropped: u64,
    /// Datagrams duplicated by the fault plan.
    pub duplicated: u64,
    /// Datagrams that got an extra delay so that later ones overtake them.
    pub reordered: u64,
    /// Datagrams dropped because of a cut between their zones.
    pub cut: u64,
    /// Datagrams dropped because their flow is silenced.
    pub silenced: u64,
    /// Datagrams at the gateway without a valid header.
    pub unreadable: u64,
    /// Datagrams that could not be sent: no balancer is known, the delay queue is full or the
    /// operating system refused them.
    pub not_sent: u64,
    /// TCP streams connected to their destination.
    pub streams: u64,
}

/// The counter of one event.
#[derive(Debug, Default)]
pub(crate) struct EventCounter(AtomicU64);

impl EventCounter {
    pub(crate) fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters, shared by all threads.
#[derive(Debug, Default)]
pub(crate) struct CounterSet {
    pub(crate) from_callers: EventCounter,
    pub(crate) to_callers: EventCounter,
    pub(crate) to_balancers: EventCounter,
    pub(crate) between_processes: EventCounter,
    pub(crate) dropped: EventCounter,
    pub(crate) duplicated: EventCounter,
    pub(crate) reordered: EventCounter,
    pub(crate) cut: EventCounter,
    pub(crate) silenced: EventCounter,
    pub(crate) unreadable: EventCounter,
    pub(crate) not_sent: EventCounter,
    pub(crate) streams: EventCounter,
}

impl CounterSet {
    pub(crate) fn snapshot(&self) -> FabricCounters {
        FabricCounters {
            from_callers: self.from_callers.get(),
            to_callers: self.to_callers.get(),
            to_balancers: self.to_balancers.get(),
            between_processes: self.between_processes.get(),
            dropped: self.dropped.get(),
            duplicated: self.duplicated.get(),
            reordered: self.reordered.get(),
            cut: self.cut.get(),
            silenced: self.silenced.get(),
            unreadable: self.unreadable.get(),
            not_sent: self.not_sent.get(),
            streams: self.streams.get(),
        }
    }
}
