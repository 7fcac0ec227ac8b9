//! The ledger of one agent, with the ones it took over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, AttemptId, Incarnation, ServiceId};
use lovagelatch_keys::RequestTicket;

use crate::adopted::{AdoptedLedger, entries_of, verdict_of};
use crate::answer::StoredAnswer;
use crate::handover::{FinalState, LedgerHandover};
use crate::settings::LedgerSettings;
use crate::table::{EntryState, LedgerEntry, RequestTable, TicketKey};

/// When to come back to a full ledger: it frees room as tickets expire.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// The largest serial that fits a ticket.
const SERIAL_MASK: u64 = (1 << 48) - 1;

/// What the ledger says to an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerVerdict {
    /// The attempt has the one right to run. Its end must be told by [`RequestLedger::finish`].
    Run,
    /// Another attempt runs; this one gets that one's answer.
    Join(AttemptId),
    /// The request ran; this is its answer.
    Replay(Arc<StoredAnswer>),
    /// The request may have run; it is never run again.
    Unknown,
    /// The ticket's lifetime is over: it is not run now, and whether it ever ran is forgotten.
    Expired,
    /// Another agent decides about this ticket.
    OtherHome(AgentAddress),
    /// The request never ran and never will under this ticket: its home closed before the first
    /// attempt. This is proof of *not run*; the caller needs a fresh ticket.
    NeverRun,
    /// This ledger was handed over; its successor answers.
    Moved,
    /// There is no room to remember the request, so it is not run. The ticket stays good.
    Full {
        /// When to come back.
        retry_after: Duration,
    },
    /// The attempt's number already runs another ticket, so this one is not run.
    AttemptReused,
}

/// How an attempt that had the right to run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEnd {
    /// It ran, with this answer.
    Done(StoredAnswer),
    /// It did not run, with proof; a later attempt may.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The ledger that is the home of the tickets it issues.
#[derive(Clone, Debug)]
pub struct RequestLedger {
    settings: LedgerSettings,
    table: RequestTable,
    /// Where each attempt that ran is remembered. Invariant: each value is a key of `table`.
    attempts: HashMap<AttemptId, TicketKey>,
    running: usize,
    next_serial: u64,
    /// Set by a handover and never cleared: from then on nothing runs here.
    closed: bool,
    /// What was taken over from leaving peers.
    adopted: HashMap<(AgentAddress, Incarnation), AdoptedLedger>,
}

impl RequestLedger {
    /// An empty ledger.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            settings,
            table: RequestTable::default(),
            attempts: HashMap::new(),
            running: 0,
            next_serial: 0,
            closed: false,
            adopted: HashMap::new(),
        }
    }

    /// Hands out a fresh ticket. `now_seconds` is whole seconds since the Unix epoch. Nothing is
    /// stored for it until its first attempt.
    pub fn issue(&mut self, service: ServiceId, now_seconds: u64) -> RequestTicket {
        let serial = self.next_serial;
        self.next_serial = (serial + 1) & SERIAL_MASK;
        RequestTicket {
            home: self.settings.home,
            incarnation: self.settings.incarnation,
            service,
            serial,
            issued_seconds: now_seconds.max(self.table.horizon()) & SERIAL_MASK,
        }
    }

    /// Decides about an attempt of a ticketed request.
    pub fn offer(
        &mut self,
        ticket: &RequestTicket,
        attempt: AttemptId,
        now_seconds: u64,
    ) -> LedgerVerdict {
        self.expire(now_seconds);
        let origin = (ticket.home, ticket.incarnation);
        if let Some(adopted) = self.adopted.get(&origin) {
            return adopted.verdict(TicketKey::of(ticket));
        }
        if ticket.home != self.settings.home {
            return LedgerVerdict::OtherHome(ticket.home);
        }
        if ticket.incarnation != self.settings.incarnation {
            // The predecessor at this address died with its memory: it may have run the request.
            return LedgerVerdict::Unknown;
        }
        self.offer_own(TicketKey::of(ticket), attempt)
    }

    fn offer_own(&mut self, key: TicketKey, attempt: AttemptId) -> LedgerVerdict {
        if self.table.is_forgotten(key) {
            return LedgerVerdict::Expired;
        }
        if let Some(entry) = self.table.get(key) {
            return verdict_of(entry);
        }
        if self.closed {
            return LedgerVerdict::Moved;
        }
        if self.attempts.contains_key(&attempt) {
            return LedgerVerdict::AttemptReused;
        }
        if !self.has_room() {
            return LedgerVerdict::Full {
                retry_after: FULL_RETRY,
            };
        }
        self.attempts.insert(attempt, key);
        self.running += 1;
        self.table.insert(
            key,
            LedgerEntry {
                attempt: Some(attempt),
                state: EntryState::Running,
            },
        );
        LedgerVerdict::Run
    }

    /// Whether another request can be remembered with the longest answer, beside those that run.
    fn has_room(&self) -> bool {
        let adopted: usize = self
            .adopted
            .values()
            .map(|adopted| adopted.table.len())
            .sum();
        let adopted_bytes: usize = self
            .adopted
            .values()
            .map(|adopted| adopted.table.bytes())
            .sum();
        let reserved = (self.running + 1).saturating_mul(self.settings.answer_limit);
        let bytes = self.table.bytes() + adopted_bytes + reserved;
        self.table.len() + adopted < self.settings.entry_limit && bytes <= self.settings.byte_limit
    }

    /// Records how an attempt that had the right to run ended. An attempt that is not known (a
    /// repeated or late message) changes nothing.
    pub fn finish(&mut self, attempt: AttemptId, end: LedgerEnd, now_seconds: u64) {
        let Some(&key) = self.attempts.get(&attempt) else {
            return;
        };
        let was_running = self
            .table
            .get(key)
            .is_some_and(|entry| matches!(entry.state, EntryState::Running));
        let was_done = self
            .table
            .get(key)
            .is_some_and(|entry| matches!(entry.state, EntryState::Final(FinalState::Done(_))));
        if was_done {
            return;
        }
        self.running -= usize::from(was_running);
        match end {
            LedgerEnd::NotRun if was_running => self.forget(attempt, key),
            // Too late: others may have been told already that it is unknown.
            LedgerEnd::NotRun | LedgerEnd::Unknown => {
                self.settle(attempt, key, FinalState::Unknown);
            }
            LedgerEnd::Done(answer) => {
                let state = self.store(answer);
                self.settle(attempt, key, state);
            }
        }
        self.expire(now_seconds);
    }

    /// An answer that is too long to keep leaves the request `Unknown` to whoever asks again:
    /// a part of the answer must never be replayed as the whole.
    fn store(&self, answer: StoredAnswer) -> FinalState {
        if answer.stored_bytes() <= self.settings.answer_limit {
            FinalState::Done(Arc::new(answer))
        } else {
            FinalState::Unknown
        }
    }

    fn settle(&mut self, attempt: AttemptId, key: TicketKey, state: FinalState) {
        if self.table.is_forgotten(key) {
            self.forget(attempt, key);
            return;
        }
        let entry = LedgerEntry {
            attempt: Some(attempt),
            state: EntryState::Final(state),
        };
        self.table.insert(key, entry);
    }

    fn forget(&mut self, attempt: AttemptId, key: TicketKey) {
        self.table.remove(key);
        self.attempts.remove(&attempt);
    }

    /// Closes this ledger for good and returns what a successor needs. Requests that still run
    /// travel as `Unknown`; a later call carries what finished since.
    pub fn hand_over(&mut self) -> LedgerHandover {
        self.closed = true;
        let adopted = self
            .adopted
            .iter()
            .map(|(&(home, incarnation), adopted)| LedgerHandover {
                home,
                incarnation,
                horizon: adopted.table.horizon(),
                lifetime_seconds: adopted.lifetime_seconds,
                entries: entries_of(&adopted.table),
                adopted: Vec::new(),
            });
        LedgerHandover {
            home: self.settings.home,
            incarnation: self.settings.incarnation,
            horizon: self.table.horizon(),
            lifetime_seconds: self.settings.lifetime.as_secs(),
            entries: entries_of(&self.table),
            adopted: adopted.collect(),
        }
    }

    /// Answers from now on for the tickets of a closed ledger. Repeated and reordered handovers
    /// of one ledger merge: an answer outranks `Unknown`.
    ///
    /// A handover is taken whole also beyond the entry limit, because dropping a part of it
    /// would turn requests that ran into *never run*; it only makes the ledger full sooner.
    pub fn take_over(&mut self, handover: LedgerHandover, now_seconds: u64) {
        for inner in handover.adopted {
            self.take_over(inner, now_seconds);
        }
        let origin = (handover.home, handover.incarnation);
        if origin == (self.settings.home, self.settings.incarnation) {
            return;
        }
        let adopted = self.adopted.entry(origin).or_insert_with(|| AdoptedLedger {
            table: RequestTable::with_horizon(handover.horizon),
            lifetime_seconds: handover.lifetime_seconds,
            keep_until: now_seconds.saturating_add(handover.lifetime_seconds),
        });
        for entry in handover.entries {
            adopted.merge(entry);
        }
        adopted.table.advance_horizon(handover.horizon);
        self.expire(now_seconds);
    }

    /// Whether this ledger answers for tickets of another agent's start.
    #[must_use]
    pub fn answers_for(&self, home: AgentAddress, incarnation: Incarnation) -> bool {
        self.adopted.contains_key(&(home, incarnation))
    }

    /// The agents' starts that this ledger answers for besides its own, for the heartbeat.
    pub fn adopted_homes(&self) -> impl Iterator<Item = (AgentAddress, Incarnation)> {
        self.adopted.keys().copied()
    }

    /// Whether it was handed over.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// How many requests run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// How many requests are remembered, its own and those taken over.
    #[must_use]
    pub fn len(&self) -> usize {
        let adopted: usize = self
            .adopted
            .values()
            .map(|adopted| adopted.table.len())
            .sum();
        self.table.len() + adopted
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of stored answers, its own and those taken over.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        let adopted: usize = self
            .adopted
            .values()
            .map(|adopted| adopted.table.bytes())
            .sum();
        self.table.bytes() + adopted
    }

    fn expire(&mut self, now_seconds: u64) {
        let horizon = now_seconds.saturating_sub(self.settings.lifetime.as_secs());
        for attempt in self.table.advance_horizon(horizon) {
            self.attempts.remove(&attempt);
        }
        self.adopted.retain(|_, adopted| {
            let horizon = now_seconds.saturating_sub(adopted.lifetime_seconds);
            adopted.table.advance_horizon(horizon);
            now_seconds <= adopted.keep_until || adopted.table.len() > 0
        });
    }
}
