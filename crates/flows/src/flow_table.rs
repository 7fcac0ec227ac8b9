//! A bounded map from flows to their state.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::Moment;

use crate::packet::FlowKey;

/// Flow state that expires when it is idle.
pub(crate) trait LastActive {
    /// Returns when the flow's last packet was seen.
    fn last_active(&self) -> Moment;
}

/// Holds at most `limit` flows and expires idle ones.
#[derive(Clone, Debug)]
pub(crate) struct FlowTable<E> {
    entries: HashMap<FlowKey, E>,
    limit: usize,
    next_sweep: Moment,
}

/// Time between two sweeps. A sweep visits every entry, so it must be rare compared with packets.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

impl<E: LastActive> FlowTable<E> {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            entries: HashMap::new(),
            limit,
            next_sweep: Moment::ZERO,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn get(&self, flow: &FlowKey) -> Option<&E> {
        self.entries.get(flow)
    }

    pub(crate) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut E> {
        self.entries.get_mut(flow)
    }

    pub(crate) fn remove(&mut self, flow: &FlowKey) -> Option<E> {
        self.entries.remove(flow)
    }

    /// Inserts a flow. A full table first evicts flows that were idle for a tenth of `idle`. If it
    /// is still full, it rejects the flow rather than grow, and the caller has to search for the
    /// flow later. Returns whether the flow was inserted.
    pub(crate) fn insert(&mut self, flow: FlowKey, entry: E, idle: Duration, now: Moment) -> bool {
        if self.entries.len() >= self.limit && !self.entries.contains_key(&flow) {
            self.sweep(idle / 10, now);
            if self.entries.len() >= self.limit {
                return false;
            }
        }
        self.entries.insert(flow, entry);
        true
    }

    pub(crate) fn visit(&mut self, mut each: impl FnMut(&FlowKey, &mut E)) {
        for (flow, entry) in &mut self.entries {
            each(flow, entry);
        }
    }

    /// Evicts flows that were idle for `idle`, at most once per [`SWEEP_INTERVAL`].
    pub(crate) fn expire_idle(&mut self, idle: Duration, now: Moment) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(idle, now);
        }
    }

    fn sweep(&mut self, idle: Duration, now: Moment) {
        self.entries
            .retain(|_, entry| now.since(entry.last_active()) < idle);
        // Releases memory when the number of flows drops.
        if self.entries.len() * 4 < self.entries.capacity() {
            self.entries.shrink_to(self.entries.len() * 2);
        }
    }
}
