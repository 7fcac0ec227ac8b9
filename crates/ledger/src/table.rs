//! The requests of one incarnation, ordered by the issue time of their tickets.

use std::collections::BTreeMap;

use lovagelatch_domain::AttemptId;
use lovagelatch_keys::RequestTicket;

use crate::handover::FinalState;

/// Identifies a ticket within its incarnation. Ordered by issue time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TicketKey {
    pub(crate) issued_seconds: u64,
    pub(crate) serial: u64,
}

impl TicketKey {
    pub(crate) fn of(ticket: &RequestTicket) -> Self {
        Self {
            issued_seconds: ticket.issued_seconds,
            serial: ticket.serial,
        }
    }
}

/// The state of a request in the table.
#[derive(Clone, Debug)]
pub(crate) enum EntryState {
    Running,
    Final(FinalState),
}

/// A request in the table.
#[derive(Clone, Debug)]
pub(crate) struct LedgerEntry {
    /// The attempt that was granted the right to run, or `None` after a handover.
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) state: EntryState,
}

impl LedgerEntry {
    fn stored_bytes(&self) -> usize {
        match &self.state {
            EntryState::Final(FinalState::Done(answer)) => answer.stored_bytes(),
            _ => 0,
        }
    }
}

/// The requests of one incarnation and the total size of their answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    entries: BTreeMap<TicketKey, LedgerEntry>,
    /// Invariant: the sum of `stored_bytes` over the entries.
    bytes: usize,
    /// Tickets issued before this second have expired. It only grows.
    horizon: u64,
}

impl RequestTable {
    pub(crate) fn with_horizon(horizon: u64) -> Self {
        Self {
            horizon,
            ..Self::default()
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn horizon(&self) -> u64 {
        self.horizon
    }

    pub(crate) fn is_expired(&self, key: TicketKey) -> bool {
        key.issued_seconds < self.horizon
    }

    pub(crate) fn get(&self, key: TicketKey) -> Option<&LedgerEntry> {
        self.entries.get(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&TicketKey, &LedgerEntry)> {
        self.entries.iter()
    }

    pub(crate) fn insert(&mut self, key: TicketKey, entry: LedgerEntry) {
        self.bytes += entry.stored_bytes();
        if let Some(replaced) = self.entries.insert(key, entry) {
            self.bytes -= replaced.stored_bytes();
        }
    }

    pub(crate) fn remove(&mut self, key: TicketKey) -> Option<LedgerEntry> {
        let entry = self.entries.remove(&key)?;
        self.bytes -= entry.stored_bytes();
        Some(entry)
    }

    /// Advances the horizon, removes the requests that expire with it, and returns their attempts.
    /// A running request stays until it ends.
    pub(crate) fn advance_horizon(&mut self, horizon: u64) -> Vec<AttemptId> {
        let mut removed = Vec::new();
        if horizon <= self.horizon {
            return removed;
        }
        self.horizon = horizon;
        let first_kept = TicketKey {
            issued_seconds: horizon,
            serial: 0,
        };
        let expired: Vec<TicketKey> = self
            .entries
            .range(..first_kept)
            .filter(|(_, entry)| !matches!(entry.state, EntryState::Running))
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            let entry = self.remove(key);
            removed.extend(entry.and_then(|entry| entry.attempt));
        }
        removed
    }
}
