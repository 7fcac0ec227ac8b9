//! The remembered requests of one incarnation, in order of issue.

use std::collections::BTreeMap;

use lovagelatch_domain::AttemptId;
use lovagelatch_keys::RequestTicket;

use crate::handover::FinalState;

/// A ticket within its incarnation: when it was issued, then its serial.
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

/// How a remembered request stands.
#[derive(Clone, Debug)]
pub(crate) enum EntryState {
    Running,
    Final(FinalState),
}

/// A remembered request.
#[derive(Clone, Debug)]
pub(crate) struct LedgerEntry {
    /// The attempt that got the right to run; none after a handover.
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

/// The remembered requests with the count of their stored bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    entries: BTreeMap<TicketKey, LedgerEntry>,
    /// Invariant: the sum of `stored_bytes` over the entries.
    bytes: usize,
    /// Tickets issued before this second are forgotten. It only grows.
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

    pub(crate) fn is_forgotten(&self, key: TicketKey) -> bool {
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
        if let Some(old) = self.entries.insert(key, entry) {
            self.bytes -= old.stored_bytes();
        }
    }

    pub(crate) fn remove(&mut self, key: TicketKey) -> Option<LedgerEntry> {
        let entry = self.entries.remove(&key)?;
        self.bytes -= entry.stored_bytes();
        Some(entry)
    }

    /// Moves the horizon and drops what fell behind it; returns the attempts of what was
    /// dropped. A request that still runs stays until it ends.
    pub(crate) fn advance_horizon(&mut self, horizon: u64) -> Vec<AttemptId> {
        let mut dropped = Vec::new();
        if horizon <= self.horizon {
            return dropped;
        }
        self.horizon = horizon;
        let first_kept = TicketKey {
            issued_seconds: horizon,
            serial: 0,
        };
        let old: Vec<TicketKey> = self
            .entries
            .range(..first_kept)
            .filter(|(_, entry)| !matches!(entry.state, EntryState::Running))
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            let entry = self.remove(key);
            dropped.extend(entry.and_then(|entry| entry.attempt));
        }
        dropped
    }
}
