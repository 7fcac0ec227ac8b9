//! Guards for requests in flight at the backend server or at a peer. They clean up even if the
//! task that holds them is dropped.

use std::sync::Arc;

use lovagelatch_domain::{AgentAddress, AttemptId};

use crate::agent::Agent;
use crate::backend::{BackendLink, ReadAheadBody};
use crate::exchange::{AttemptResponse, ResponseBody};
use crate::gate::{SlotGuard, SlotOutcome};

/// A request that the backend server may have received. Dropped while open, because its caller
/// disconnected, it is cancelled and its slot is released.
pub(crate) struct BackendAttempt {
    pub(crate) link: Arc<BackendLink>,
    pub(crate) attempt: AttemptId,
    pub(crate) slot: Option<SlotGuard>,
    pub(crate) open: bool,
}

impl BackendAttempt {
    /// Releases the slot with `outcome`. Nothing of the request is known to remain at the backend
    /// server.
    pub(crate) fn close(&mut self, outcome: SlotOutcome) {
        self.open = false;
        if let Some(slot) = self.slot.take() {
            slot.finish(outcome);
        }
    }

    /// Requests a cancellation, because the result is unknown. The slot is released with `outcome`
    /// once the backend server has answered the cancellation.
    pub(crate) fn abandon(mut self, outcome: SlotOutcome) {
        self.open = false;
        self.link
            .spawn_cancel(self.attempt, self.slot.take(), Some(outcome));
    }

    /// Moves the slot into the response body. A feed has no slot and is forwarded without
    /// reading ahead.
    pub(crate) fn into_response(mut self, mut response: AttemptResponse) -> AttemptResponse {
        self.open = false;
        let slot = self.slot.take();
        let has_slot = slot.is_some();
        if let ResponseBody::Backend(mut body) = response.body {
            body.hold_slot(slot);
            response.body = if has_slot {
                ResponseBody::ReadAhead(ReadAheadBody::start(*body, &self.link.read_ahead))
            } else {
                ResponseBody::Backend(body)
            };
        }
        response
    }
}

impl Drop for BackendAttempt {
    fn drop(&mut self) {
        if self.open {
            self.link.spawn_cancel(self.attempt, self.slot.take(), None);
        }
    }
}

/// Counts a request as in flight at a peer until it is dropped, so that a burst between two
/// heartbeats does not go entirely to the peer that reported the least load.
pub(crate) struct PeerAttempt<'a> {
    agent: &'a Agent,
    peer: AgentAddress,
}

impl<'a> PeerAttempt<'a> {
    pub(crate) fn new(agent: &'a Agent, peer: AgentAddress) -> Self {
        agent.placement.record_sent(peer);
        Self { agent, peer }
    }
}

impl Drop for PeerAttempt<'_> {
    fn drop(&mut self) {
        self.agent.placement.record_ended(self.peer);
    }
}
