//! One call to a dependency.

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
use crate::relay::{RelayEnd, RelayTerms, unreached};

/// A call as the backend server made it.
pub(crate) struct DependencyCall {
    pub(crate) service: ServiceName,
    /// Its path is the one at the dependency.
    pub(crate) request: CallerRequest,
}

impl Agent {
    /// Calls a dependency: any live target of it, and another one after a refusal, within the
    /// attempts left and the retry budget.
    pub(crate) async fn call(self: &Arc<Self>, call: DependencyCall) -> AttemptOutcome {
        let attempt = new_attempt();
        let view = self.fleet.view();
        if !view.may_call(&self.settings.service, &call.service) {
            info!(self.log, "call refused"; "decision" => DecisionKind::RequestRefused,
                "dependency" => call.service.as_str(), "reason" => "not a dependency");
            let refusal = Refusal::new(RefusalReason::WrongService, std::time::Duration::ZERO);
            return AttemptOutcome::NotRun(refusal);
        }
        if self.is_once_at(&call) {
            return self.file_call(&call, attempt).await;
        }
        self.call_any(call, attempt).await
    }

    async fn call_any(
        self: &Arc<Self>,
        call: DependencyCall,
        attempt: AttemptId,
    ) -> AttemptOutcome {
        let DependencyCall {
            service,
            mut request,
        } = call;
        self.record_request(&request);
        let mut refusal = unreached();
        for target in self.live_targets(&service) {
            info!(self.log, "call relayed"; "decision" => DecisionKind::RequestRelayed,
                "attempt" => attempt.to_string(), "dependency" => service.as_str(),
                "peer" => target.to_string());
            let terms = self.call_terms(&service, attempt, None);
            let end = self.relays.relay(target, &request, terms).await;
            self.metrics.relays.count(end.word());
            match end {
                RelayEnd::Ended(AttemptOutcome::NotRun(refused)) => refusal = refused,
                RelayEnd::Ended(end) => return end,
                RelayEnd::NotHandedOver => {}
            }
            match self.retry_allowance(&request, refusal) {
                Some(allowance) => request.allowance = allowance,
                None => break,
            }
        }
        AttemptOutcome::NotRun(refusal)
    }

    /// A once-only call goes to the home that its ticket names, and nowhere else.
    async fn file_call(
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
        let terms = self.call_terms(&call.service, attempt, Some(key.to_owned()));
        let end = self.relays.relay(ticket.home, &call.request, terms).await;
        self.metrics.relays.count(end.word());
        match end {
            RelayEnd::Ended(end) => end,
            RelayEnd::NotHandedOver => AttemptOutcome::Unknown,
        }
    }

    fn is_once_at(&self, call: &DependencyCall) -> bool {
        let view = self.fleet.view();
        let entry = view.text().service(call.service.as_str());
        let method: &Method = &call.request.method;
        let path = normalize_path(&call.request.path);
        entry.is_some_and(|entry| entry.is_once_only(method.as_str(), &path))
    }

    fn call_terms(
        &self,
        service: &ServiceName,
        attempt: AttemptId,
        ticket: Option<String>,
    ) -> RelayTerms {
        RelayTerms {
            service: service.id(),
            ..self.relay_terms(attempt, ticket)
        }
    }

    /// The dependency's targets that take new work, in random order: this agent hears no load
    /// of another service's gates, and random order spreads the callers over them.
    fn live_targets(&self, service: &ServiceName) -> Vec<AgentAddress> {
        let view = self.fleet.view();
        let targets = view.targets(service.id()).iter();
        let live = targets.filter(|target| target.standing == TargetStanding::Live);
        let mut agents: Vec<AgentAddress> = live.map(|target| target.agent).collect();
        agents.shuffle(&mut rand::rng());
        agents
    }
}
