//! What a task holds while its request is at the backend server or at a peer, given back
//! whatever becomes of the task.

use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, AttemptId};

use crate::agent::Agent;
use crate::backend::{AheadBody, BackendLink};
use crate::exchange::{Answer, AnswerBody};
use crate::gate::{SlotGuard, SlotOutcome};

/// A request that the backend server may have. Dropped while open, because its caller left, it
/// is cancelled and its slot given back.
pub(crate) struct HandedOver {
    pub(crate) link: Arc<BackendLink>,
    pub(crate) attempt: AttemptId,
    pub(crate) slot: Option<SlotGuard>,
    pub(crate) open: bool,
}

impl HandedOver {
    /// Nothing of it remains at the backend server, as far as can be known.
    pub(crate) fn close(&mut self, end: SlotOutcome) {
        self.open = false;
        if let Some(slot) = self.slot.take() {
            slot.finish(end);
        }
    }

    /// Its end is not known: the backend server is asked to cancel it, and the slot is given back
    /// once that is answered, as `end`.
    pub(crate) fn abandon(mut self, end: SlotOutcome) {
        self.open = false;
        self.link
            .cancel_later(self.attempt, self.slot.take(), Some(end));
    }

    /// From here on the answer's body holds the slot. A feed has none and is passed on as it
    /// comes.
    pub(crate) fn into_answer(mut self, mut answer: Answer) -> Answer {
        self.open = false;
        let slot = self.slot.take();
        let has_slot = slot.is_some();
        if let AnswerBody::Backend(mut body) = answer.body {
            body.hold_slot(slot);
            answer.body = if has_slot {
                AnswerBody::Ahead(AheadBody::start(*body, &self.link.room))
            } else {
                AnswerBody::Backend(body)
            };
        }
        answer
    }
}

impl Drop for HandedOver {
    fn drop(&mut self) {
        if self.open {
            self.link.cancel_later(self.attempt, self.slot.take(), None);
        }
    }
}

/// Counts a request as sent to a peer for as long as it is under way there, so that a burst
/// between two heartbeats does not all go to the peer that looked free.
pub(crate) struct SentNote<'a> {
    agent: &'a Agent,
    peer: AgentAddress,
}

impl<'a> SentNote<'a> {
    pub(crate) fn new(agent: &'a Agent, peer: AgentAddress) -> Self {
        agent.placement.sent(peer);
        Self { agent, peer }
    }
}

impl Drop for SentNote<'_> {
    fn drop(&mut self) {
        self.agent.placement.ended(self.peer);
    }
}
