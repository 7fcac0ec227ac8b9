//! Calls of the backend server to its dependencies.

use std::sync::Arc;

use http::Method;
use lovagelatch_domain::{AgentAddress, AttemptId, RefusalReason, ServiceName};
use lovagelatch_keys::RequestTicket;
use lovagelatch_membership::TargetStanding;
use lovagelatch_telemetry::{DecisionKind, info};
use rand::seq::SliceRandom;

use crate::agent::Agent;
use crate::exchange::{AttemptOutcome, CallerRequest, Refusal, new_attempt};
use crate::headers;
use crate::path::normalize_path;
use crate::relay::{RelayContext, RelayOutcome, no_reachable_peer};

/// A call from the backend server.
pub(crate) struct DependencyCall {
    pub(crate) service: ServiceName,
    /// The request with the path as the dependency sees it.
    pub(crate) request: CallerRequest,
}

impl Agent {
    /// Calls any live target of a dependency. After a refusal, retries at another target within the
    /// remaining attempts and the retry budget.
    pub(crate) async fn call(self: &Arc<Self>, call: DependencyCall) -> AttemptOutcome {
        let attempt = new_attempt();
        let view = self.fleet.view();
        if !view.may_call(&self.settings.service, &call.service) {
            info!(self.log, "call refused"; "decision" => DecisionKind::RequestRefused,
                "dependency" => call.service.as_str(), "reason" => "not a dependency");
            let refusal = Refusal::new(RefusalReason::WrongService, std::time::Duration::ZERO);
            return AttemptOutcome::NotRun(refusal);
        }
        if self.is_once_only_call(&call) {
            return self.call_home(&call, attempt).await;
        }
        self.call_any_target(call, attempt).await
    }

    async fn call_any_target(
        self: &Arc<Self>,
        call: DependencyCall,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let DependencyCall {
            service,
            mut request,
        } = call;
        self.record_request(&request);
        let mut refusal = no_reachable_peer();
        for target in self.live_targets(&service) {
            info!(self.log, "call relayed"; "decision" => DecisionKind::RequestRelayed,
                "attempt" => attempt.to_string(), "dependency" => service.as_str(),
                "peer" => target.to_string());
            let context = self.call_context(&service, attempt, None);
            let outcome = self.relays.relay(target, &request, context).await;
            self.metrics.relays.count(outcome.label());
            match outcome {
                RelayOutcome::Ended(AttemptOutcome::NotRun(refused)) => refusal = refused,
                RelayOutcome::Ended(outcome) => return outcome,
                RelayOutcome::PeerUnreachable => {}
            }
            match self.retry_allowance(&request, refusal) {
                Some(allowance) => request.allowance = allowance,
                None => break,
            }
        }
        AttemptOutcome::NotRun(refusal)
    }

    /// Sends a once-only call to the home that its ticket names, and to no other target.
    async fn call_home(
        self: &Arc<Self>,
        call: &DependencyCall,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let key = call.request.headers.get(headers::IDEMPOTENCY_KEY);
        let key = key.and_then(|key| key.to_str().ok());
        let ticket = key.and_then(|key| RequestTicket::open(key, &self.keys.load()).ok());
        let ticket = ticket.filter(|ticket| ticket.service == call.service.id());
        let (Some(key), Some(ticket)) = (key, ticket) else {
            let refusal = Refusal::new(RefusalReason::TicketNeeded, std::time::Duration::ZERO);
            return AttemptOutcome::NotRun(refusal);
        };
        let context = self.call_context(&call.service, attempt, Some(key.to_owned()));
        let outcome = self.relays.relay(ticket.home, &call.request, context).await;
        self.metrics.relays.count(outcome.label());
        match outcome {
            RelayOutcome::Ended(outcome) => outcome,
            RelayOutcome::PeerUnreachable => AttemptOutcome::Unknown,
        }
    }

    fn is_once_only_call(&self, call: &DependencyCall) -> bool {
        let view = self.fleet.view();
        let entry = view.text().service(call.service.as_str());
        let method: &Method = &call.request.method;
        let path = normalize_path(&call.request.path);
        entry.is_some_and(|entry| entry.is_once_only(method.as_str(), &path))
    }

    fn call_context(
        &self,
        service: &ServiceName,
        attempt: AttemptId,
        ticket: Option<String>,
    ) -> RelayContext {
        RelayContext {
            service: service.id(),
            ..self.relay_context(attempt, ticket)
        }
    }

    /// The dependency's live targets, in random order. This agent receives no load reports from
    /// another service's gates; the random order spreads the calls over them.
    fn live_targets(&self, service: &ServiceName) -> Vec<AgentAddress> {
        let view = self.fleet.view();
        let targets = view.targets(service.id()).iter();
        let live = targets.filter(|target| target.standing == TargetStanding::Live);
        let mut agents: Vec<AgentAddress> = live.map(|target| target.agent).collect();
        agents.shuffle(&mut rand::rng());
        agents
    }
}
