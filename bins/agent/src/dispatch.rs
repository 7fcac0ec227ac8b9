//! Runs a request at the local gate or at a peer's, and retries it at another gate after a proof
//! that it did not run.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, AttemptId, GateCondition, RefusalReason};
use lovagelatch_placement::{
    AttemptAllowance, ExchangeOutcome as PeerOutcome, GateRequest, PlacementChoice,
};
use lovagelatch_telemetry::{DecisionKind, info};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::backend::{BackendOutcome, CancelOutcome};
use crate::exchange::{AttemptOutcome, CallerRequest, Refusal};
use crate::gate::{Admission, SlotGuard, SlotOutcome};
use crate::in_flight::{BackendAttempt, PeerAttempt};
use crate::metrics::reason_label;
use crate::relay::{RelayContext, RelayOutcome, no_reachable_peer};

/// Inline capacity of the list of gates that a request has tried.
const INLINE_GATES: usize = 4;

/// How long to wait for the closed connection of a dead backend server to show. The server runs
/// on this instance, so one turn of the runtime is enough to see it.
const CLOSE_DETECTION_TIMEOUT: Duration = Duration::from_millis(5);

/// Retry-after when the backend server is unreachable or has cancelled a late request.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Agent {
    /// Runs the request at the gate with the least expected wait. Tries another gate only after a
    /// proof that the request did not run, and only within the retry budget and the deadline.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        self.record_request(request);
        let mut request = request.clone();
        let mut tried: SmallVec<[AgentAddress; INLINE_GATES]> = SmallVec::new();
        loop {
            let (gate, outcome) = match self.choose(&request, &tried) {
                PlacementChoice::Own => (
                    self.address(),
                    self.run_at_local_gate(&request, attempt).await,
                ),
                PlacementChoice::Peer(peer) => {
                    (peer, self.run_at_peer(peer, &request, attempt).await)
                }
                PlacementChoice::Refuse {
                    reason,
                    retry_after,
                } => return AttemptOutcome::NotRun(Refusal::new(reason, retry_after)),
            };
            let AttemptOutcome::NotRun(refusal) = outcome else {
                return outcome;
            };
            tried.push(gate);
            info!(self.log, "gate refused"; "decision" => DecisionKind::RequestRefused,
                "attempt" => attempt.to_string(), "gate" => gate.to_string(),
                "reason" => reason_label(refusal.reason));
            match self.retry_allowance(&request, refusal) {
                Some(allowance) => request.allowance = allowance,
                None => return AttemptOutcome::NotRun(refusal),
            }
        }
    }

    /// The allowance for one more attempt. `None` when no time is left, when the request or the
    /// refusing dependency has used up its attempts, or when the agency's retry budget is spent.
    pub(crate) fn retry_allowance(
        &self,
        request: &CallerRequest,
        refusal: Refusal,
    ) -> Option<AttemptAllowance> {
        if request.is_late() {
            return None;
        }
        let allowance = request.allowance;
        let left = refusal
            .returned
            .map_or(allowance, |returned| allowance.capped_by(returned));
        let left = left.for_retry()?;
        let agency = request.agency.as_ref();
        let granted = self.budgets.lock().try_spend(agency, self.clock.now());
        granted.then_some(left)
    }

    /// Counts the first attempt of a request, which adds to its agency's retry budget.
    pub(crate) fn record_request(&self, request: &CallerRequest) {
        let agency = request.agency.as_ref();
        self.budgets.lock().record_request(agency, self.clock.now());
    }

    fn choose(&self, request: &CallerRequest, tried: &[AgentAddress]) -> PlacementChoice {
        let local = self.gate.report();
        let peers = self.fleet.peer_reports();
        let untried = !tried.contains(&self.address());
        // A feed occupies no slot, so the gate's load is irrelevant to it.
        let feed_here = request.is_feed() && local.condition == GateCondition::Open;
        if untried && (feed_here || peers.is_empty()) {
            return PlacementChoice::Own;
        }
        self.placement
            .choose(&local, &peers, tried, request.time_left())
    }

    /// Runs the request through the gate of the local backend server.
    pub(crate) async fn run_at_local_gate(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        if request.is_feed() {
            return self.run_backend(request, attempt, None).await;
        }
        let gate_request = GateRequest {
            attempt,
            agency: request.agency.clone(),
            arrived: self.clock.moment(request.arrived),
            deadline: self.clock.moment(request.deadline),
        };
        match self.gate.admit(gate_request).await {
            Admission::Slot(slot) => self.run_backend(request, attempt, Some(slot)).await,
            Admission::Refused(refusal) => AttemptOutcome::NotRun(refusal),
            Admission::Duplicate => AttemptOutcome::Unknown,
        }
    }

    async fn run_backend(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
        slot: Option<SlotGuard>,
    ) -> AttemptOutcome {
        let in_flight = BackendAttempt {
            link: Arc::clone(&self.backend),
            attempt,
            slot,
            open: true,
        };
        let reserve = request.cancel_reserve();
        let limit = request.deadline - reserve;
        let exchange = self.backend.exchange(request, attempt);
        tokio::pin!(exchange);
        match tokio::time::timeout_at(limit, &mut exchange).await {
            Ok(outcome) => self.conclude(in_flight, outcome),
            Err(_) => self.cancel_in_flight(in_flight, exchange, reserve).await,
        }
    }

    /// Closes the attempt according to how its exchange with the backend server ended.
    fn conclude(&self, mut in_flight: BackendAttempt, outcome: BackendOutcome) -> AttemptOutcome {
        match outcome {
            BackendOutcome::Answered(response) => {
                AttemptOutcome::Answered(in_flight.into_response(response))
            }
            BackendOutcome::NotSent => {
                in_flight.close(SlotOutcome::Lost);
                let refusal = Refusal::new(RefusalReason::NoTarget, UNREACHABLE_RETRY_AFTER);
                AttemptOutcome::NotRun(refusal)
            }
            BackendOutcome::Shed(refusal) => {
                in_flight.close(SlotOutcome::Shed);
                AttemptOutcome::NotRun(refusal)
            }
            BackendOutcome::Lost(reason) => {
                self.metrics.answers.count("discarded");
                info!(self.log, "answer lost"; "attempt" => in_flight.attempt.to_string(),
                    "reason" => format!("{reason:?}"));
                in_flight.abandon(SlotOutcome::Lost);
                AttemptOutcome::Unknown
            }
        }
    }

    /// Asks the backend server to cancel a request that has only its cancellation reserve left
    /// before the deadline. The attempt counts as not run only if the server confirms the
    /// cancellation within `limit`.
    ///
    /// A confirmation is valid only while the connection that carried the request is open. If the
    /// server started the request and crashed, a restarted server at the same address does not
    /// know the attempt and confirms that it did not start. The crash also closes the connection,
    /// which ends the exchange.
    async fn cancel_in_flight(
        &self,
        mut in_flight: BackendAttempt,
        mut exchange: Pin<&mut impl Future<Output = BackendOutcome>>,
        limit: Duration,
    ) -> AttemptOutcome {
        let cancelling = tokio::time::timeout(limit, self.backend.cancel(in_flight.attempt));
        let cancelled = tokio::select! {
            biased;
            outcome = &mut exchange => return self.conclude(in_flight, outcome),
            cancelled = cancelling => cancelled.unwrap_or(CancelOutcome::NoResponse),
        };
        if cancelled == CancelOutcome::Cancelled
            && let Ok(outcome) = tokio::time::timeout(CLOSE_DETECTION_TIMEOUT, &mut exchange).await
        {
            return self.conclude(in_flight, outcome);
        }
        in_flight.close(match cancelled {
            CancelOutcome::Cancelled | CancelOutcome::AlreadyStarted => SlotOutcome::Abandoned,
            CancelOutcome::NoResponse => SlotOutcome::Lost,
        });
        if cancelled == CancelOutcome::Cancelled {
            AttemptOutcome::NotRun(Refusal::new(
                RefusalReason::TooLate,
                UNREACHABLE_RETRY_AFTER,
            ))
        } else {
            AttemptOutcome::Unknown
        }
    }

    /// Relays the request to a peer's gate.
    async fn run_at_peer(
        self: &Arc<Self>,
        peer: AgentAddress,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        info!(self.log, "request relayed"; "decision" => DecisionKind::RequestRelayed,
            "attempt" => attempt.to_string(), "peer" => peer.to_string());
        let sent = Instant::now();
        let _in_flight = PeerAttempt::new(self, peer);
        let context = self.relay_context(attempt, None);
        let outcome = self.relays.relay(peer, request, context).await;
        self.metrics.relays.count(outcome.label());
        let reached = !matches!(outcome, RelayOutcome::PeerUnreachable);
        self.fleet.record_exchange(peer, reached);
        let outcome = match outcome {
            RelayOutcome::Ended(outcome) => outcome,
            RelayOutcome::PeerUnreachable => {
                self.record_peer_outcome(peer, PeerOutcome::Lost);
                return AttemptOutcome::NotRun(no_reachable_peer());
            }
        };
        let peer_outcome = match &outcome {
            AttemptOutcome::Answered(_) => PeerOutcome::Answered {
                response_time: sent.elapsed(),
                report: None,
            },
            AttemptOutcome::NotRun(refusal) => PeerOutcome::Refused {
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            },
            AttemptOutcome::Unknown => PeerOutcome::Lost,
        };
        self.record_peer_outcome(peer, peer_outcome);
        outcome
    }

    pub(crate) fn relay_context(&self, attempt: AttemptId, ticket: Option<String>) -> RelayContext {
        RelayContext {
            attempt,
            service: self.service,
            revision: self.fleet.view().revision(),
            holder: self.address(),
            ticket,
        }
    }

    fn record_peer_outcome(&self, peer: AgentAddress, outcome: PeerOutcome) {
        self.placement.record_outcome(peer, outcome);
    }
}
