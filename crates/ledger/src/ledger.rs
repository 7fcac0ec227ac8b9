//! The ledger of one agent, including the ledgers that it took over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, AttemptId, Incarnation, ServiceId};
use lovagelatch_keys::RequestTicket;

use crate::adopted::{AdoptedLedger, handover_entries, verdict_for};
use crate::answer::StoredAnswer;
use crate::handover::{FinalState, LedgerHandover};
use crate::settings::LedgerSettings;
use crate::table::{EntryState, LedgerEntry, RequestTable, TicketKey};

/// The retry delay for a full ledger, which frees entries as tickets expire.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serials and issue times take 48 bits in a ticket.
const TICKET_FIELD_MASK: u64 = (1 << 48) - 1;

/// The ledger's decision about an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerVerdict {
    /// The attempt is granted the only right to run. Its outcome must be reported with
    /// [`RequestLedger::finish`].
    Run,
    /// Another attempt is running, and this one gets the same answer.
    Join(AttemptId),
    /// The request ran and had this answer.
    Replay(Arc<StoredAnswer>),
    /// The request may have run and must never run again.
    Unknown,
    /// The ticket has expired. The request does not run now, and the ledger no longer knows whether
    /// it ever ran.
    Expired,
    /// Another agent decides about this ticket.
    OtherHome(AgentAddress),
    /// The request never ran and never will with this ticket, because its home closed before the
    /// first attempt. This is proof of *not run*; the caller needs a new ticket.
    NeverRun,
    /// This ledger was handed over and its successor decides.
    HandedOver,
    /// The ledger has no room for the request, which does not run. The ticket stays valid.
    Full {
        /// When the caller should retry.
        retry_after: Duration,
    },
    /// The attempt ID is already used with another ticket, so the request does not run.
    AttemptReused,
}

/// The outcome of an attempt that had the right to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerOutcome {
    /// The request ran and had this answer.
    Done(StoredAnswer),
    /// The request provably did not run; a later attempt may run it.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Issues tickets and decides about the attempts of their requests.
#[derive(Clone, Debug)]
pub struct RequestLedger {
    settings: LedgerSettings,
    table: RequestTable,
    /// The ticket of each attempt that was granted the right to run. Invariant: each value is a key
    /// of `table`.
    attempts: HashMap<AttemptId, TicketKey>,
    running: usize,
    next_serial: u64,
    /// Set by a handover and never cleared. No new request runs in a closed ledger.
    closed: bool,
    /// The ledgers taken over from leaving peers.
    adopted: HashMap<(AgentAddress, Incarnation), AdoptedLedger>,
}

impl RequestLedger {
    /// Creates an empty ledger.
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

    /// Issues a new ticket. `now_seconds` is in whole seconds since the Unix epoch. Nothing is stored
    /// for the ticket until its first attempt.
    pub fn issue(&mut self, service: ServiceId, now_seconds: u64) -> RequestTicket {
        let serial = self.next_serial;
        self.next_serial = (serial + 1) & TICKET_FIELD_MASK;
        RequestTicket {
            home: self.settings.home,
            incarnation: self.settings.incarnation,
            service,
            serial,
            issued_seconds: now_seconds.max(self.table.horizon()) & TICKET_FIELD_MASK,
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
            // The predecessor at this address lost its ledger and may have run the request.
            return LedgerVerdict::Unknown;
        }
        self.offer_local(TicketKey::of(ticket), attempt)
    }

    fn offer_local(&mut self, key: TicketKey, attempt: AttemptId) -> LedgerVerdict {
        if self.table.is_expired(key) {
            return LedgerVerdict::Expired;
        }
        if let Some(entry) = self.table.get(key) {
            return verdict_for(entry);
        }
        if self.closed {
            return LedgerVerdict::HandedOver;
        }
        if self.attempts.contains_key(&attempt) {
            return LedgerVerdict::AttemptReused;
        }
        if !self.has_room() {
            return LedgerVerdict::Full {
                retry_after: FULL_RETRY_AFTER,
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

    /// Returns whether another request fits, if it and all running requests have answers of the
    /// maximum size.
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

    /// Records the outcome of an attempt that had the right to run. An unknown attempt, as in a
    /// repeated or late message, is ignored.
    pub fn finish(&mut self, attempt: AttemptId, outcome: LedgerOutcome, now_seconds: u64) {
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
        match outcome {
            LedgerOutcome::NotRun if was_running => self.remove(attempt, key),
            // Too late: other attempts may already have been answered with `Unknown`.
            LedgerOutcome::NotRun | LedgerOutcome::Unknown => {
                self.set_final(attempt, key, FinalState::Unknown);
            }
            LedgerOutcome::Done(answer) => {
                let state = self.final_state(answer);
                self.set_final(attempt, key, state);
            }
        }
        self.expire(now_seconds);
    }

    /// Returns the final state of a request that ran. An answer over the size limit is not stored and
    /// the request becomes `Unknown` to later attempts, because a truncated answer must never be
    /// replayed.
    fn final_state(&self, answer: StoredAnswer) -> FinalState {
        if answer.stored_bytes() <= self.settings.answer_limit {
            FinalState::Done(Arc::new(answer))
        } else {
            FinalState::Unknown
        }
    }

    fn set_final(&mut self, attempt: AttemptId, key: TicketKey, state: FinalState) {
        if self.table.is_expired(key) {
            self.remove(attempt, key);
            return;
        }
        let entry = LedgerEntry {
            attempt: Some(attempt),
            state: EntryState::Final(state),
        };
        self.table.insert(key, entry);
    }

    fn remove(&mut self, attempt: AttemptId, key: TicketKey) {
        self.table.remove(key);
        self.attempts.remove(&attempt);
    }

    /// Closes this ledger permanently and returns its content for a successor. Running requests are
    /// included as `Unknown`; a later call includes the answers of those that have finished since.
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
                entries: handover_entries(&adopted.table),
                adopted: Vec::new(),
            });
        LedgerHandover {
            home: self.settings.home,
            incarnation: self.settings.incarnation,
            horizon: self.table.horizon(),
            lifetime_seconds: self.settings.lifetime.as_secs(),
            entries: handover_entries(&self.table),
            adopted: adopted.collect(),
        }
    }

    /// Takes over a closed ledger and answers for its tickets from now on. Repeated and reordered
    /// handovers of the same ledger are merged: an answer takes precedence over `Unknown`.
    ///
    /// A handover is accepted completely even beyond the entry limit, because dropping a part of it
    /// would turn requests that ran into *never run*. It only makes the ledger full sooner.
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

    /// Returns whether this ledger took over the ledger of an agent's incarnation and answers for its
    /// tickets.
    #[must_use]
    pub fn answers_for(&self, home: AgentAddress, incarnation: Incarnation) -> bool {
        self.adopted.contains_key(&(home, incarnation))
    }

    /// Returns the agents and incarnations whose ledgers were taken over, for the heartbeat.
    pub fn adopted_homes(&self) -> impl Iterator<Item = (AgentAddress, Incarnation)> {
        self.adopted.keys().copied()
    }

    /// Returns whether this ledger was handed over.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of requests in this ledger and in those taken over.
    #[must_use]
    pub fn len(&self) -> usize {
        let adopted: usize = self
            .adopted
            .values()
            .map(|adopted| adopted.table.len())
            .sum();
        self.table.len() + adopted
    }

    /// Returns whether this ledger and those taken over contain no requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size in bytes of all stored answers, including those taken over.
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
