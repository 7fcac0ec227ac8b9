//! Ledgers taken over from leaving peers: their answers are replayed, but nothing runs.

use std::sync::Arc;

use crate::answer::StoredAnswer;
use crate::handover::{FinalState, HandoverEntry, HandoverState};
use crate::ledger::LedgerVerdict;
use crate::table::{EntryState, LedgerEntry, RequestTable, TicketKey};

#[derive(Clone, Debug)]
pub(crate) struct AdoptedLedger {
    pub(crate) table: RequestTable,
    pub(crate) lifetime_seconds: u64,
    /// When the last tickets of the closed ledger expire, in seconds by this process's clock.
    pub(crate) keep_until: u64,
}

impl AdoptedLedger {
    pub(crate) fn verdict(&self, key: TicketKey) -> LedgerVerdict {
        if self.table.is_expired(key) {
            return LedgerVerdict::Expired;
        }
        self.table
            .get(key)
            .map_or(LedgerVerdict::NeverRun, verdict_for)
    }

    pub(crate) fn merge(&mut self, entry: HandoverEntry) {
        let key = TicketKey {
            issued_seconds: entry.issued_seconds,
            serial: entry.serial,
        };
        let known = self.table.get(key).is_some();
        if known && entry.state == HandoverState::Unknown {
            return;
        }
        self.table.insert(
            key,
            LedgerEntry {
                attempt: None,
                state: EntryState::Final(entry.state.into()),
            },
        );
    }
}

pub(crate) fn handover_entries(table: &RequestTable) -> Vec<HandoverEntry> {
    let entries = table.iter().map(|(key, entry)| HandoverEntry {
        issued_seconds: key.issued_seconds,
        serial: key.serial,
        state: match &entry.state {
            EntryState::Final(FinalState::Done(answer)) => {
                HandoverState::Done(StoredAnswer::clone(answer))
            }
            _ => HandoverState::Unknown,
        },
    });
    entries.collect()
}

pub(crate) fn verdict_for(entry: &LedgerEntry) -> LedgerVerdict {
    match (&entry.state, entry.attempt) {
        (EntryState::Final(FinalState::Done(answer)), _) => {
            LedgerVerdict::Replay(Arc::clone(answer))
        }
        (EntryState::Running, Some(attempt)) => LedgerVerdict::Join(attempt),
        _ => LedgerVerdict::Unknown,
    }
}
