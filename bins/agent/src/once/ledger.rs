//! The ledger with the runs under way.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{AttemptId, RefusalReason, ServiceId};
use lovagelatch_keys::RequestTicket;
use lovagelatch_ledger::{
    LedgerHandover, LedgerOutcome, LedgerSettings, LedgerVerdict, RequestLedger, StoredAnswer,
};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::clock::unix_seconds;
use crate::exchange::{AttemptOutcome, CallerRequest, Refusal};
use crate::once::filing::replay;

/// How a run ended, for all attempts that wait for it.
#[derive(Clone, Debug)]
pub(crate) enum FilingEnd {
    Done(Arc<StoredAnswer>),
    NotRun(Refusal),
    Unknown,
}

pub(crate) type EndSender = watch::Sender<Option<FilingEnd>>;
pub(crate) type EndReceiver = watch::Receiver<Option<FilingEnd>>;

struct LedgerState {
    ledger: RequestLedger,
    /// Invariant: an entry for each attempt that the ledger says runs.
    running: HashMap<AttemptId, EndReceiver>,
}

/// The ledger with the runs under way.
pub(crate) struct OnceLedger {
    state: Mutex<LedgerState>,
}

impl std::fmt::Debug for OnceLedger {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("OnceLedger").finish_non_exhaustive()
    }
}

/// What an attempt at home does.
pub(crate) enum HomeStep {
    /// It runs; the sender tells its end.
    Run(EndSender, EndReceiver),
    /// It waits for the one that runs.
    Join(EndReceiver),
    /// It is answered at once.
    End(AttemptOutcome),
}

impl OnceLedger {
    pub(crate) fn new(settings: LedgerSettings) -> Self {
        Self {
            state: Mutex::new(LedgerState {
                ledger: RequestLedger::new(settings),
                running: HashMap::new(),
            }),
        }
    }

    /// Whether this ledger answers for a peer's ticket because it took the peer's ledger over.
    pub(crate) fn answers_for(&self, ticket: &RequestTicket) -> bool {
        let state = self.state.lock();
        state.ledger.answers_for(ticket.home, ticket.incarnation)
    }

    /// Issues a ticket whose home is this agent.
    pub(crate) fn issue(&self, service: ServiceId) -> RequestTicket {
        self.state.lock().ledger.issue(service, unix_seconds())
    }

    /// How many filings run.
    pub(crate) fn running(&self) -> usize {
        self.state.lock().ledger.running()
    }

    /// How many filings it knows.
    pub(crate) fn len(&self) -> usize {
        self.state.lock().ledger.len()
    }

    /// Bytes of the answers it keeps.
    pub(crate) fn stored_bytes(&self) -> usize {
        self.state.lock().ledger.stored_bytes()
    }

    pub(crate) fn hand_over(&self) -> LedgerHandover {
        self.state.lock().ledger.hand_over()
    }

    pub(crate) fn take_over(&self, handover: LedgerHandover) {
        let mut state = self.state.lock();
        state.ledger.take_over(handover, unix_seconds());
    }

    /// Decides and, in the same locked step, notes where a second attempt finds the first.
    pub(crate) fn step(
        &self,
        ticket: &RequestTicket,
        attempt: AttemptId,
        request: &CallerRequest,
    ) -> HomeStep {
        let mut state = self.state.lock();
        match state.ledger.offer(ticket, attempt, unix_seconds()) {
            LedgerVerdict::Run => {
                let (sender, receiver) = watch::channel(None);
                state.running.insert(attempt, receiver.clone());
                HomeStep::Run(sender, receiver)
            }
            LedgerVerdict::Join(first) => match state.running.get(&first) {
                Some(receiver) => HomeStep::Join(receiver.clone()),
                None => HomeStep::End(AttemptOutcome::Unknown),
            },
            LedgerVerdict::Replay(stored) => {
                HomeStep::End(AttemptOutcome::Answered(replay(&stored, request)))
            }
            // A closed ledger runs nothing more, and its successors never run its tickets.
            LedgerVerdict::NeverRun | LedgerVerdict::HandedOver => {
                let refusal = Refusal::new(RefusalReason::TicketNeeded, Duration::ZERO);
                HomeStep::End(AttemptOutcome::NotRun(refusal))
            }
            LedgerVerdict::Full { retry_after } => {
                let refusal = Refusal::new(RefusalReason::Full, retry_after);
                HomeStep::End(AttemptOutcome::NotRun(refusal))
            }
            LedgerVerdict::Unknown
            | LedgerVerdict::Expired
            | LedgerVerdict::OtherHome(_)
            | LedgerVerdict::AttemptReused => HomeStep::End(AttemptOutcome::Unknown),
        }
    }

    pub(crate) fn finish(&self, attempt: AttemptId, end: &FilingEnd) {
        let record = match end {
            FilingEnd::Done(stored) => LedgerOutcome::Done(StoredAnswer::clone(stored)),
            FilingEnd::NotRun(_) => LedgerOutcome::NotRun,
            FilingEnd::Unknown => LedgerOutcome::Unknown,
        };
        let mut state = self.state.lock();
        state.ledger.finish(attempt, record, unix_seconds());
        state.running.remove(&attempt);
    }
}
