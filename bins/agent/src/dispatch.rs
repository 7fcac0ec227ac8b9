//! Running a request: at the own gate or at a peer's, and once more elsewhere when a gate has
//! proved that it did not run.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, AttemptId, GateCondition, RefusalReason};
use lovagelatch_placement::{
    AttemptAllowance, ExchangeOutcome as PeerEnd, GateRequest, PlacementChoice,
};
use lovagelatch_telemetry::{DecisionKind, info};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::backend::{CancelEnd, ExchangeEnd};
use crate::exchange::{AttemptEnd, CallerRequest, Refusal};
use crate::gate::{Admission, SlotGuard, SlotOutcome};
use crate::handed::{HandedOver, SentNote};
use crate::metrics::reason_word;
use crate::relay::{RelayEnd, RelayTerms, unreached};

/// Gates that one request is offered to at most, as an expectation for its list of them.
const MAX_GATES: usize = 4;

/// How long the end of a dead backend server's connection may take to be noticed. It is on this
/// instance, so its death is known as soon as the runtime has turned once.
const CLOSE_NOTICE: Duration = Duration::from_millis(5);

/// When to come back to a backend server that cannot be reached.
const UNREACHED_RETRY: Duration = Duration::from_secs(1);

impl Agent {
    /// Runs the request at the gate of least expected wait; tries another one only after a
    /// proof that it did not run, while the retry budget and the deadline last.
    pub(crate) async fn dispatch(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> AttemptEnd {
        self.note_request(request);
        let mut request = request.clone();
        let mut tried: SmallVec<[AgentAddress; MAX_GATES]> = SmallVec::new();
        loop {
            let (gate, end) = match self.choose(&request, &tried) {
                PlacementChoice::Own => (self.address(), self.run_own(&request, attempt).await),
                PlacementChoice::Peer(peer) => {
                    (peer, self.run_at_peer(peer, &request, attempt).await)
                }
                PlacementChoice::Refuse {
                    reason,
                    retry_after,
                } => return AttemptEnd::NotRun(Refusal::new(reason, retry_after)),
            };
            let AttemptEnd::NotRun(refusal) = end else {
                return end;
            };
            tried.push(gate);
            info!(self.log, "gate refused"; "decision" => DecisionKind::RequestRefused,
                "attempt" => attempt.to_string(), "gate" => gate.to_string(),
                "reason" => reason_word(refusal.reason));
            match self.retry_allowance(&request, refusal) {
                Some(allowance) => request.allowance = allowance,
                None => return AttemptEnd::NotRun(refusal),
            }
        }
    }

    /// The allowance of one more attempt, if it may be made: time is left, neither the request
    /// nor what refused it has used up its attempts, and the agency's budget pays for it.
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
        let paid = self.budgets.lock().try_spend(agency, self.clock.now());
        paid.then_some(left)
    }

    /// Counts a request's first attempt, by which its agency saves for further ones.
    pub(crate) fn note_request(&self, request: &CallerRequest) {
        let agency = request.agency.as_ref();
        self.budgets.lock().record_request(agency, self.clock.now());
    }

    fn choose(&self, request: &CallerRequest, tried: &[AgentAddress]) -> PlacementChoice {
        let own = self.gate.report();
        let peers = self.fleet.peer_reports();
        let untried = !tried.contains(&self.address());
        // A feed holds no slot, so the gate's load says nothing about it.
        let feed_here = request.is_feed() && own.condition == GateCondition::Open;
        if untried && (feed_here || peers.is_empty()) {
            return PlacementChoice::Own;
        }
        self.placement
            .choose(&own, &peers, tried, request.time_left())
    }

    /// Runs the request through the own gate.
    pub(crate) async fn run_own(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> AttemptEnd {
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
            Admission::Refused(refusal) => AttemptEnd::NotRun(refusal),
            Admission::Duplicate => AttemptEnd::Unknown,
        }
    }

    async fn run_backend(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
        slot: Option<SlotGuard>,
    ) -> AttemptEnd {
        let handed = HandedOver {
            link: Arc::clone(&self.backend),
            attempt,
            slot,
            open: true,
        };
        let kept = request.cancel_reserve();
        let limit = request.deadline - kept;
        let exchange = self.backend.exchange(request, attempt);
        tokio::pin!(exchange);
        match tokio::time::timeout_at(limit, &mut exchange).await {
            Ok(end) => self.settle(handed, end),
            Err(_) => self.cancel_in_flight(handed, exchange, kept).await,
        }
    }

    fn settle(&self, mut handed: HandedOver, end: ExchangeEnd) -> AttemptEnd {
        match end {
            ExchangeEnd::Answered(answer) => AttemptEnd::Answered(handed.into_answer(answer)),
            ExchangeEnd::NotHandedOver => {
                handed.close(SlotOutcome::Lost);
                let refusal = Refusal::new(RefusalReason::NoTarget, UNREACHED_RETRY);
                AttemptEnd::NotRun(refusal)
            }
            ExchangeEnd::Shed(refusal) => {
                handed.close(SlotOutcome::Shed);
                AttemptEnd::NotRun(refusal)
            }
            ExchangeEnd::Lost(reason) => {
                self.metrics.answers.count("discarded");
                info!(self.log, "answer lost"; "attempt" => handed.attempt.to_string(),
                    "reason" => format!("{reason:?}"));
                handed.abandon(SlotOutcome::Lost);
                AttemptEnd::Unknown
            }
        }
    }

    /// Asks the backend server to cancel a request whose deadline has come; only its
    /// confirmation makes the attempt not run.
    ///
    /// A confirmation counts only while the connection that carried the request is whole. A
    /// server that started the request and died may have a successor at its address, which
    /// never heard of the attempt and confirms that it did not start. The death closes the
    /// connection, and the exchange then ends by itself.
    async fn cancel_in_flight(
        &self,
        mut handed: HandedOver,
        mut exchange: Pin<&mut impl Future<Output = ExchangeEnd>>,
        limit: Duration,
    ) -> AttemptEnd {
        let cancelling = tokio::time::timeout(limit, self.backend.cancel(handed.attempt));
        let cancelled = tokio::select! {
            biased;
            end = &mut exchange => return self.settle(handed, end),
            cancelled = cancelling => cancelled.unwrap_or(CancelEnd::NoAnswer),
        };
        if cancelled == CancelEnd::Cancelled
            && let Ok(end) = tokio::time::timeout(CLOSE_NOTICE, &mut exchange).await
        {
            return self.settle(handed, end);
        }
        handed.close(match cancelled {
            CancelEnd::Cancelled | CancelEnd::Refused => SlotOutcome::Abandoned,
            CancelEnd::NoAnswer => SlotOutcome::Lost,
        });
        if cancelled == CancelEnd::Cancelled {
            AttemptEnd::NotRun(Refusal::new(RefusalReason::TooLate, UNREACHED_RETRY))
        } else {
            AttemptEnd::Unknown
        }
    }

    /// Relays the request to a peer's gate.
    async fn run_at_peer(
        self: &Arc<Self>,
        peer: AgentAddress,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> AttemptEnd {
        info!(self.log, "request relayed"; "decision" => DecisionKind::RequestRelayed,
            "attempt" => attempt.to_string(), "peer" => peer.to_string());
        let sent = Instant::now();
        let _noted = SentNote::new(self, peer);
        let terms = self.relay_terms(attempt, None);
        let end = self.relays.relay(peer, request, terms).await;
        self.metrics.relays.count(end.word());
        let reached = !matches!(end, RelayEnd::NotHandedOver);
        self.fleet.record_exchange(peer, reached);
        let end = match end {
            RelayEnd::Ended(end) => end,
            RelayEnd::NotHandedOver => {
                self.observe(peer, PeerEnd::Lost);
                return AttemptEnd::NotRun(unreached());
            }
        };
        let seen = match &end {
            AttemptEnd::Answered(_) => PeerEnd::Answered {
                response_time: sent.elapsed(),
                report: None,
            },
            AttemptEnd::NotRun(refusal) => PeerEnd::Refused {
                reason: refusal.reason,
                retry_after: refusal.retry_after,
            },
            AttemptEnd::Unknown => PeerEnd::Lost,
        };
        self.observe(peer, seen);
        end
    }

    pub(crate) fn relay_terms(&self, attempt: AttemptId, ticket: Option<String>) -> RelayTerms {
        RelayTerms {
            attempt,
            service: self.service,
            revision: self.fleet.view().revision(),
            holder: self.address(),
            ticket,
        }
    }

    fn observe(&self, peer: AgentAddress, end: PeerEnd) {
        self.placement.observed(peer, end);
    }
}
