//! Counts of what passed the fabric.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// The counts at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FabricCounters {
    /// Callers' datagrams received.
    pub from_callers: u64,
    /// Datagrams sent to callers.
    pub to_callers: u64,
    /// Datagrams handed to balancers.
    pub to_balancers: u64,
    /// Datagrams passed on between processes.
    pub between_processes: u64,
    /// Datagrams lost on purpose.
    pub dropped: u64,
    /// Datagrams sent twice on purpose.
    pub duplicated: u64,
    /// Datagrams delayed so that later ones overtake them.
    pub reordered: u64,
    /// Datagrams lost because their zones are cut apart.
    pub cut: u64,
    /// Datagrams lost because their flow is silent.
    pub silenced: u64,
    /// Datagrams at the gateway without a readable header.
    pub unreadable: u64,
    /// Datagrams that the operating system refused to send.
    pub not_sent: u64,
    /// TCP streams passed on.
    pub streams: u64,
}

/// One running count.
#[derive(Debug, Default)]
pub(crate) struct CountCell(AtomicU64);

impl CountCell {
    pub(crate) fn add_one(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The running counts.
#[derive(Debug, Default)]
pub(crate) struct CounterCells {
    pub(crate) from_callers: CountCell,
    pub(crate) to_callers: CountCell,
    pub(crate) to_balancers: CountCell,
    pub(crate) between_processes: CountCell,
    pub(crate) dropped: CountCell,
    pub(crate) duplicated: CountCell,
    pub(crate) reordered: CountCell,
    pub(crate) cut: CountCell,
    pub(crate) silenced: CountCell,
    pub(crate) unreadable: CountCell,
    pub(crate) not_sent: CountCell,
    pub(crate) streams: CountCell,
}

impl CounterCells {
    pub(crate) fn read(&self) -> FabricCounters {
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
