//! The gate before the own backend server, as tasks use it.
//!
//! The decisions are `lovagelatch_placement::RequestGate`'s; this module gives it the time,
//! wakes the tasks it lets through, and makes sure that whatever becomes of a task, also when
//! it is dropped at any await, its place in the queue or its slot is given back once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{AttemptId, GateCondition, GateReport, RefusalReason};
pub(crate) use lovagelatch_placement::SlotOutcome;
use lovagelatch_placement::{
    GateAction, GateRequest, GateSettings, GateVerdict, PassiveHealth, RequestGate,
};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::clock::ProcessClock;
use crate::exchange::Refusal;

/// When to come back after a wait that the deadline ended.
const LATE_RETRY: Duration = Duration::from_millis(500);

/// What a waiting task hears.
#[derive(Debug)]
enum Turn {
    Start,
    Refused(Refusal),
}

struct GateState {
    gate: RequestGate,
    /// Invariant: one entry for each queued attempt whose task still waits.
    waiting: HashMap<AttemptId, oneshot::Sender<Turn>>,
    /// How the newest requests ended, as evidence of whether the backend server works.
    evidence: PassiveHealth,
}

/// The gate, shared by all tasks.
#[derive(Clone)]
pub(crate) struct GateKeeper {
    state: Arc<Mutex<GateState>>,
    changed: Arc<Notify>,
    clock: ProcessClock,
}

/// Whether a request may go to the backend server now.
#[derive(Debug)]
pub(crate) enum Admission {
    Slot(SlotGuard),
    Refused(Refusal),
    /// The gate has this very attempt already; nothing is known of how it will end.
    Duplicate,
}

impl std::fmt::Debug for GateKeeper {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("GateKeeper").finish_non_exhaustive()
    }
}

impl GateKeeper {
    pub(crate) fn new(settings: GateSettings, clock: ProcessClock) -> Self {
        let state = GateState {
            gate: RequestGate::new(settings),
            waiting: HashMap::new(),
            evidence: PassiveHealth::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            clock,
        }
    }

    /// Waits for a slot until the request's deadline.
    pub(crate) async fn admit(&self, request: GateRequest) -> Admission {
        let attempt = request.attempt;
        let deadline = self.clock.instant(request.deadline);
        let verdict = {
            let mut state = self.state.lock();
            let verdict = state.gate.offer(request, self.clock.now());
            match verdict {
                GateVerdict::Queued => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiting.insert(attempt, sender);
                    Err(receiver)
                }
                other => Ok(other),
            }
        };
        self.changed.notify_one();
        match verdict {
            Err(receiver) => self.wait(attempt, deadline, receiver).await,
            Ok(GateVerdict::Refused {
                reason,
                retry_after,
            }) => Admission::Refused(Refusal::new(reason, retry_after)),
            Ok(GateVerdict::Duplicate) => Admission::Duplicate,
            Ok(_) => Admission::Slot(self.slot(attempt)),
        }
    }

    async fn wait(
        &self,
        attempt: AttemptId,
        deadline: Instant,
        receiver: oneshot::Receiver<Turn>,
    ) -> Admission {
        let mut place = QueuePlace {
            keeper: self.clone(),
            attempt,
            receiver: Some(receiver),
        };
        let Some(receiver) = place.receiver.as_mut() else {
            return late();
        };
        let turn = tokio::time::timeout_at(deadline, receiver).await;
        match turn {
            Ok(Ok(Turn::Start)) => {
                place.receiver = None;
                Admission::Slot(self.slot(attempt))
            }
            Ok(Ok(Turn::Refused(refusal))) => {
                place.receiver = None;
                Admission::Refused(refusal)
            }
            // Dropping the place withdraws the request, or gives back the slot that it was
            // given at this very moment; either way nothing was handed over.
            Ok(Err(_)) | Err(_) => late(),
        }
    }

    /// Says whether new requests are taken.
    pub(crate) fn set_condition(&self, condition: GateCondition) {
        let mut state = self.state.lock();
        let actions = state.gate.set_condition(condition, self.clock.now());
        self.apply(&mut state, actions.into_iter());
        drop(state);
        self.changed.notify_one();
    }

    /// What own requests showed of the backend server lately.
    pub(crate) fn evidence(&self) -> PassiveHealth {
        self.state.lock().evidence
    }

    pub(crate) fn report(&self) -> GateReport {
        self.state.lock().gate.report(self.clock.now())
    }

    /// Wakes the gate when something in it falls due, until the task is ended.
    pub(crate) async fn run(self) {
        loop {
            let wakeup = self.state.lock().gate.next_wakeup();
            let Some(wakeup) = wakeup else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.instant(wakeup)) => self.advance(),
                () = self.changed.notified() => {}
            }
        }
    }

    fn advance(&self) {
        let mut state = self.state.lock();
        let actions = state.gate.advance(self.clock.now());
        self.apply(&mut state, actions.into_iter());
    }

    fn slot(&self, attempt: AttemptId) -> SlotGuard {
        SlotGuard {
            keeper: self.clone(),
            attempt,
            finished: false,
        }
    }

    fn finish(&self, attempt: AttemptId, end: SlotOutcome) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.evidence.record(end, now);
        let actions = state.gate.finish(attempt, end, now);
        self.apply(&mut state, actions.into_iter());
        drop(state);
        self.changed.notify_one();
    }

    /// Tells the tasks. A slot given to a task that is gone is given back, and that may start
    /// yet another.
    fn apply(&self, state: &mut GateState, actions: impl Iterator<Item = GateAction>) {
        let mut pending: Vec<GateAction> = actions.collect();
        while let Some(action) = pending.pop() {
            let (attempt, turn) = match action {
                GateAction::Start(attempt) => (attempt, Turn::Start),
                GateAction::Refuse {
                    attempt,
                    reason,
                    retry_after,
                } => (attempt, Turn::Refused(Refusal::new(reason, retry_after))),
            };
            let started = matches!(turn, Turn::Start);
            let task = state.waiting.remove(&attempt);
            let heard = task.is_some_and(|task| task.send(turn).is_ok());
            if started && !heard {
                let more = state
                    .gate
                    .finish(attempt, SlotOutcome::Abandoned, self.clock.now());
                pending.extend(more);
            }
        }
    }
}

fn late() -> Admission {
    Admission::Refused(Refusal::new(RefusalReason::TooLate, LATE_RETRY))
}

/// A place in the gate's queue; dropped, it is given up.
struct QueuePlace {
    keeper: GateKeeper,
    attempt: AttemptId,
    /// `None` once the task heard its turn.
    receiver: Option<oneshot::Receiver<Turn>>,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        let mut state = self.keeper.state.lock();
        state.waiting.remove(&self.attempt);
        let now = self.keeper.clock.now();
        if state.gate.cancel_queued(self.attempt, now) {
            return;
        }
        // The gate let it through while the task gave up. Without this the slot would stay in
        // use for ever, and the gate would serve one request fewer at a time from then on.
        if matches!(receiver.try_recv(), Ok(Turn::Start)) {
            let actions = state.gate.finish(self.attempt, SlotOutcome::Abandoned, now);
            self.keeper.apply(&mut state, actions.into_iter());
        }
    }
}

/// A slot in use; dropped without an end, it counts as lost.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    keeper: GateKeeper,
    attempt: AttemptId,
    finished: bool,
}

impl SlotGuard {
    /// Gives the slot back.
    pub(crate) fn finish(mut self, end: SlotOutcome) {
        self.finished = true;
        self.keeper.finish(self.attempt, end);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.keeper.finish(self.attempt, SlotOutcome::Lost);
        }
    }
}
