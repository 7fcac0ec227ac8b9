//! The ledger together with the runs in progress.

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

/// The outcome of a run, shared by all attempts that wait for it.
#[derive(Clone, Debug)]
pub(crate) enum FilingOutcome {
    Done(Arc<StoredAnswer>),
    NotRun(Refusal),
    Unknown,
}

pub(crate) type OutcomeSender = watch::Sender<Option<FilingOutcome>>;
pub(crate) type OutcomeReceiver = watch::Receiver<Option<FilingOutcome>>;

struct LedgerState {
    ledger: RequestLedger,
    /// Invariant: has an entry for each attempt that the ledger counts as running.
    running: HashMap<AttemptId, OutcomeReceiver>,
}

/// The ledger together with the runs in progress, behind one lock.
pub(crate) struct OnceLedger {
    state: Mutex<LedgerState>,
}

impl std::fmt::Debug for OnceLedger {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("OnceLedger").finish_non_exhaustive()
    }
}

/// How an attempt proceeds at its home.
pub(crate) enum HomeStep {
    /// It runs; the sender publishes the outcome.
    Run(OutcomeSender, OutcomeReceiver),
    /// It waits for the outcome of the attempt in progress.
    Join(OutcomeReceiver),
    /// It is answered immediately.
    Reply(AttemptOutcome),
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

    /// Whether this ledger answers for a peer's ticket because it adopted the peer's ledger.
    pub(crate) fn answers_for(&self, ticket: &RequestTicket) -> bool {
        let state = self.state.lock();
        state.ledger.answers_for(ticket.home, ticket.incarnation)
    }

    /// Issues a ticket whose home is this agent.
    pub(crate) fn issue(&self, service: ServiceId) -> RequestTicket {
        self.state.lock().ledger.issue(service, unix_seconds())
    }

    /// The number of filings in progress.
    pub(crate) fn running(&self) -> usize {
        self.state.lock().ledger.running()
    }

    /// The number of filings on record.
    pub(crate) fn len(&self) -> usize {
        self.state.lock().ledger.len()
    }

    /// Total size of the stored responses, in bytes.
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

    /// Decides how an attempt proceeds. A run is registered under the same lock, so that a second
    /// attempt finds the first.
    pub(crate) fn begin(
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
                None => HomeStep::Reply(AttemptOutcome::Unknown),
            },
            LedgerVerdict::Replay(stored) => {
                HomeStep::Reply(AttemptOutcome::Answered(replay(&stored, request)))
            }
            // A closed ledger runs nothing more, and its successors never run the tickets it
            // issued.
            LedgerVerdict::NeverRun | LedgerVerdict::HandedOver => {
                let refusal = Refusal::new(RefusalReason::TicketNeeded, Duration::ZERO);
                HomeStep::Reply(AttemptOutcome::NotRun(refusal))
            }
            LedgerVerdict::Full { retry_after } => {
                let refusal = Refusal::new(RefusalReason::Full, retry_after);
                HomeStep::Reply(AttemptOutcome::NotRun(refusal))
            }
            LedgerVerdict::Unknown
            | LedgerVerdict::Expired
            | LedgerVerdict::OtherHome(_)
            | LedgerVerdict::AttemptReused => HomeStep::Reply(AttemptOutcome::Unknown),
        }
    }

    pub(crate) fn finish(&self, attempt: AttemptId, outcome: &FilingOutcome) {
        let record = match outcome {
            FilingOutcome::Done(stored) => LedgerOutcome::Done(StoredAnswer::clone(stored)),
            FilingOutcome::NotRun(_) => LedgerOutcome::NotRun,
            FilingOutcome::Unknown => LedgerOutcome::Unknown,
        };
        let mut state = self.state.lock();
        state.ledger.finish(attempt, record, unix_seconds());
        state.running.remove(&attempt);
    }
}
