//! Asynchronous access to the local backend server's gate.
//!
//! `lovagelatch_placement::RequestGate` makes the decisions. This module supplies the time, wakes
//! the tasks it admits, and ensures that each queue entry or slot is released exactly once, even
//! if its task is dropped at an await point.

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

/// Retry-after when the deadline passed in the queue.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How a request left the queue; sent to its waiting task.
#[derive(Debug)]
enum QueueOutcome {
    Start,
    Refused(Refusal),
}

struct GateState {
    gate: RequestGate,
    /// Invariant: one entry for each queued attempt whose task still waits.
    waiting: HashMap<AttemptId, oneshot::Sender<QueueOutcome>>,
    /// Health of the backend server as seen in the outcomes of recent requests.
    passive_health: PassiveHealth,
}

/// The local gate, shared by all tasks.
#[derive(Clone)]
pub(crate) struct SharedGate {
    state: Arc<Mutex<GateState>>,
    changed: Arc<Notify>,
    clock: ProcessClock,
}

/// Whether a request may be sent to the backend server.
#[derive(Debug)]
pub(crate) enum Admission {
    Slot(SlotGuard),
    Refused(Refusal),
    /// The gate already has this attempt; its outcome is unknown.
    Duplicate,
}

impl std::fmt::Debug for SharedGate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("SharedGate").finish_non_exhaustive()
    }
}

impl SharedGate {
    pub(crate) fn new(settings: GateSettings, clock: ProcessClock) -> Self {
        let state = GateState {
            gate: RequestGate::new(settings),
            waiting: HashMap::new(),
            passive_health: PassiveHealth::default(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            clock,
        }
    }

    /// Waits for a slot, at most until the request's deadline.
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
        receiver: oneshot::Receiver<QueueOutcome>,
    ) -> Admission {
        let mut entry = QueueEntry {
            gate: self.clone(),
            attempt,
            receiver: Some(receiver),
        };
        let Some(receiver) = entry.receiver.as_mut() else {
            return deadline_refusal();
        };
        let outcome = tokio::time::timeout_at(deadline, receiver).await;
        match outcome {
            Ok(Ok(QueueOutcome::Start)) => {
                entry.receiver = None;
                Admission::Slot(self.slot(attempt))
            }
            Ok(Ok(QueueOutcome::Refused(refusal))) => {
                entry.receiver = None;
                Admission::Refused(refusal)
            }
            // Dropping the entry cancels the queued request, or releases the slot if one was
            // granted concurrently. Either way nothing was sent to the backend server.
            Ok(Err(_)) | Err(_) => deadline_refusal(),
        }
    }

    /// Sets whether the gate accepts new requests.
    pub(crate) fn set_condition(&self, condition: GateCondition) {
        let mut state = self.state.lock();
        let actions = state.gate.set_condition(condition, self.clock.now());
        self.apply(&mut state, actions.into_iter());
        drop(state);
        self.changed.notify_one();
    }

    /// Health of the backend server as seen in the outcomes of recent requests.
    pub(crate) fn passive_health(&self) -> PassiveHealth {
        self.state.lock().passive_health
    }

    pub(crate) fn report(&self) -> GateReport {
        self.state.lock().gate.report(self.clock.now())
    }

    /// Advances the gate at each of its deadlines, until the task is aborted.
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
            gate: self.clone(),
            attempt,
            finished: false,
        }
    }

    fn finish(&self, attempt: AttemptId, outcome: SlotOutcome) {
        let mut state = self.state.lock();
        let now = self.clock.now();
        state.passive_health.record(outcome, now);
        let actions = state.gate.finish(attempt, outcome, now);
        self.apply(&mut state, actions.into_iter());
        drop(state);
        self.changed.notify_one();
    }

    /// Notifies the waiting tasks. A slot granted to a task that is gone is released, which may
    /// start another request.
    fn apply(&self, state: &mut GateState, actions: impl Iterator<Item = GateAction>) {
        let mut pending: Vec<GateAction> = actions.collect();
        while let Some(action) = pending.pop() {
            let (attempt, outcome) = match action {
                GateAction::Start(attempt) => (attempt, QueueOutcome::Start),
                GateAction::Refuse {
                    attempt,
                    reason,
                    retry_after,
                } => {
                    let refusal = Refusal::new(reason, retry_after);
                    (attempt, QueueOutcome::Refused(refusal))
                }
            };
            let started = matches!(outcome, QueueOutcome::Start);
            let task = state.waiting.remove(&attempt);
            let received = task.is_some_and(|task| task.send(outcome).is_ok());
            if started && !received {
                let more = state
                    .gate
                    .finish(attempt, SlotOutcome::Abandoned, self.clock.now());
                pending.extend(more);
            }
        }
    }
}

fn deadline_refusal() -> Admission {
    Admission::Refused(Refusal::new(RefusalReason::TooLate, LATE_RETRY_AFTER))
}

/// An entry in the gate's queue. Dropping it cancels the queued request.
struct QueueEntry {
    gate: SharedGate,
    attempt: AttemptId,
    /// `None` once the task has received its outcome.
    receiver: Option<oneshot::Receiver<QueueOutcome>>,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        let mut state = self.gate.state.lock();
        state.waiting.remove(&self.attempt);
        let now = self.gate.clock.now();
        if state.gate.cancel_queued(self.attempt, now) {
            return;
        }
        // The gate admitted the request while the task was being dropped. Without this the slot
        // would leak and permanently reduce the gate's concurrency by one.
        if matches!(receiver.try_recv(), Ok(QueueOutcome::Start)) {
            let actions = state.gate.finish(self.attempt, SlotOutcome::Abandoned, now);
            self.gate.apply(&mut state, actions.into_iter());
        }
    }
}

/// A slot in use. Dropped without [`SlotGuard::finish`], it counts as lost.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    gate: SharedGate,
    attempt: AttemptId,
    finished: bool,
}

impl SlotGuard {
    /// Releases the slot.
    pub(crate) fn finish(mut self, outcome: SlotOutcome) {
        self.finished = true;
        self.gate.finish(self.attempt, outcome);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.gate.finish(self.attempt, SlotOutcome::Lost);
        }
    }
}
