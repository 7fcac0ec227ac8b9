//! A bounded map from flows to what is remembered of them.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::Moment;

use crate::packet::FlowKey;

/// Something remembered of a flow, with the time of its last packet.
pub(crate) trait Remembered {
    /// When the flow was last heard of.
    fn last(&self) -> Moment;
}

/// Forgets flows that were silent too long; holds `limit` at most.
#[derive(Clone, Debug)]
pub(crate) struct FlowMemory<E> {
    entries: HashMap<FlowKey, E>,
    limit: usize,
    next_sweep: Moment,
}

/// Time between two sweeps. A sweep visits every entry, so it must be rare against packets.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

impl<E: Remembered> FlowMemory<E> {
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

    /// Remembers a flow. A full memory first forgets what was silent for a tenth of `idle`, and
    /// then, rather than grow, does not take the flow: whoever asks searches. Returns whether it was
    /// taken.
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

    /// Forgets flows silent for `idle`, now and then.
    pub(crate) fn tend(&mut self, idle: Duration, now: Moment) {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(idle, now);
        }
    }

    fn sweep(&mut self, idle: Duration, now: Moment) {
        self.entries
            .retain(|_, entry| now.since(entry.last()) < idle);
        // Memory follows the flows down as well.
        if self.entries.len() * 4 < self.entries.capacity() {
            self.entries.shrink_to(self.entries.len() * 2);
        }
    }
}
