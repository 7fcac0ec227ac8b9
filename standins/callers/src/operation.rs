//! One operation of a caller, with its retries.
//!
//! After the outcome `not-run` a caller waits as long as the response asks for and retries. After an
//! unknown outcome it gives up, except for a filing with a ticket, which it retries with the same
//! ticket.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use lovagelatch_history::{ObservedOutcome, RequestKind};
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

use crate::context::CallerContext;
use crate::exchange::{ExchangeRequest, ExchangeResult, ExchangeScope, ResponseCheck, exchange};
use crate::flow::CallerFlow;
use crate::plan::ServicePlan;
use crate::pool::AddressPool;

/// Limit of attempts per operation.
const MAX_ATTEMPTS: u32 = 4;

/// Upper limit of the delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Delay before a retry if the response does not specify one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Share of filings that are sent over several flows at once.
const CONCURRENT_SHARE: f64 = 0.1;

/// Share of filings that are first sent without a ticket.
const WITHOUT_TICKET_SHARE: f64 = 0.05;

/// Share of status requests that cause a call to the service's dependency.
const DEPENDENT_SHARE: f64 = 0.1;

/// Number of flows of a concurrent filing.
const CONCURRENT_FLOWS: usize = 3;

/// Path that issues a ticket, on every service address.
const TICKET_PATH: &str = "/.well-known/lovagelatch/ticket";

/// Status of a response that asks for a ticket (RFC 6585).
const PRECONDITION_REQUIRED: u16 = 428;

/// Range of the sizes of downloads.
const DOWNLOAD_BYTES: std::ops::Range<usize> = 1_000..120_000;

/// Upper limit of the work of a request, as a multiple of the mean.
const MAX_WORK_FACTOR: f64 = 8.0;

/// An operation on one address of a service.
pub(crate) struct CallerOperation {
    pub(crate) context: Arc<CallerContext>,
    pub(crate) pool: Arc<AddressPool>,
    pub(crate) request: ExchangeRequest,
    /// Whether the filing is sent over several flows at once, if it has a ticket.
    pub(crate) concurrent: bool,
    /// Whether a filing gets a ticket before its first attempt.
    pub(crate) with_ticket: bool,
}

/// Draws the next request to a service.
pub(crate) fn draw_request(
    service: &ServicePlan,
    mean_work_ms: f64,
    number: u64,
    arrived_ms: f64,
    random: &mut StdRng,
) -> ExchangeRequest {
    let draw: f64 = random.random();
    let work = -mean_work_ms * (1.0 - random.random::<f64>()).ln();
    let work_ms = work.clamp(1.0, mean_work_ms * MAX_WORK_FACTOR) as u32;
    let name = format!("{}-{number}", service.name);
    if let Some(path) = service.filing.as_ref().filter(|_| draw < 0.4) {
        let body = json!({"filing": name, "work_ms": work_ms}).to_string();
        return ExchangeRequest {
            kind: RequestKind::Filing,
            method: Method::POST,
            path: path.clone(),
            body: Some(Bytes::from(body)),
            ticket: None,
            filing: Some(name.clone()),
            work_ms,
            arrived_ms,
            check: ResponseCheck::Filing(name),
        };
    }
    let status = service.status && (service.download.is_none() || draw < 0.6);
    let (kind, path, check) = match &service.download {
        Some(path) if !status => {
            let bytes = random.random_range(DOWNLOAD_BYTES);
            let path = format!("{path}/{name}?bytes={bytes}&work_ms={work_ms}");
            (
                RequestKind::Download,
                path,
                ResponseCheck::Download(name, bytes),
            )
        }
        _ => {
            let needs_dependency = service.depends && random.random_bool(DEPENDENT_SHARE);
            let fetch = if needs_dependency { "&fetch=1" } else { "" };
            let path = format!("/status/{name}?work_ms={work_ms}{fetch}");
            (RequestKind::Status, path, ResponseCheck::Status(name))
        }
    };
    ExchangeRequest {
        kind,
        method: Method::GET,
        path,
        body: None,
        ticket: None,
        filing: None,
        work_ms,
        arrived_ms,
        check,
    }
}

/// Draws whether a filing is sent over several flows at once.
pub(crate) fn draw_concurrent(random: &mut StdRng) -> bool {
    random.random_bool(CONCURRENT_SHARE)
}

/// Draws whether a filing gets a ticket before its first attempt.
pub(crate) fn draw_with_ticket(random: &mut StdRng) -> bool {
    !random.random_bool(WITHOUT_TICKET_SHARE)
}

impl CallerOperation {
    /// Runs the operation until it succeeds, must not be retried or the run is over.
    pub(crate) async fn run(mut self) {
        if self.request.kind == RequestKind::Filing && self.with_ticket {
            self.request.ticket = self.obtain_ticket().await;
        }
        if self.concurrent && self.request.ticket.is_some() {
            self.run_concurrently().await;
        } else {
            self.run_attempts(self.request.clone(), false).await;
        }
    }

    async fn run_concurrently(&self) {
        let attempts =
            (0..CONCURRENT_FLOWS).map(|index| self.run_attempts(self.request.clone(), index > 0));
        futures::future::join_all(attempts).await;
    }

    async fn run_attempts(&self, mut request: ExchangeRequest, mut on_new_flow: bool) {
        let mut may_have_run = false;
        for _ in 0..MAX_ATTEMPTS {
            let Some(result) = self.attempt(&request, on_new_flow).await else {
                on_new_flow = true;
                continue;
            };
            match result.outcome {
                ObservedOutcome::Done => return,
                ObservedOutcome::NotRun => {}
                ObservedOutcome::Unknown if request.ticket.is_some() => may_have_run = true,
                ObservedOutcome::Unknown => return,
            }
            on_new_flow = result.outcome == ObservedOutcome::Unknown;
            if result.status == PRECONDITION_REQUIRED {
                // The system treats a new ticket as a new filing, so the caller uses it only if no
                // earlier attempt may have run.
                if may_have_run || self.concurrent || result.ticket.is_none() {
                    return;
                }
                request.ticket = result.ticket;
                continue;
            }
            if !self.wait_for_retry(&result).await {
                return;
            }
        }
    }

    /// Waits as long as the response asks for, with up to 20 % of jitter. Returns `false` if the run
    /// is over.
    async fn wait_for_retry(&self, result: &ExchangeResult) -> bool {
        let delay = result
            .retry_after
            .unwrap_or(DEFAULT_RETRY_DELAY)
            .min(MAX_RETRY_DELAY);
        let jitter = rand::rng().random_range(1.0..1.2);
        tokio::time::sleep(delay.mul_f64(jitter)).await;
        !self.context.is_finished()
    }

    async fn attempt(
        &self,
        request: &ExchangeRequest,
        on_new_flow: bool,
    ) -> Option<ExchangeResult> {
        let flow = self.flow(on_new_flow).await?;
        let result = exchange(&self.context, &flow, self.scope(), request).await;
        if self.uses_tickets()
            && result.status != PRECONDITION_REQUIRED
            && let Some(ticket) = &result.ticket
        {
            self.pool.store_ticket(ticket.clone());
        }
        Some(result)
    }

    async fn flow(&self, on_new_flow: bool) -> Option<Arc<CallerFlow>> {
        if on_new_flow {
            self.pool.new_flow(&self.context).await
        } else {
            self.pool.flow(&self.context).await
        }
    }

    fn scope(&self) -> ExchangeScope<'_> {
        ExchangeScope {
            service: &self.pool.destination.service,
            server_name: &self.pool.destination.server_name,
            agency: self.pool.agency.as_deref(),
        }
    }

    fn uses_tickets(&self) -> bool {
        let services = &self.context.plan.services;
        let is_addressed = |service: &&ServicePlan| service.name == self.pool.destination.service;
        services
            .iter()
            .find(is_addressed)
            .is_some_and(|service| service.filing.is_some())
    }

    async fn obtain_ticket(&self) -> Option<String> {
        if let Some(ticket) = self.pool.take_ticket() {
            return Some(ticket);
        }
        let request = ExchangeRequest {
            kind: RequestKind::Ticket,
            method: Method::GET,
            path: TICKET_PATH.to_owned(),
            body: None,
            ticket: None,
            filing: None,
            work_ms: 0,
            arrived_ms: self.request.arrived_ms,
            check: ResponseCheck::Any,
        };
        let flow = self.flow(false).await?;
        let result = exchange(&self.context, &flow, self.scope(), &request).await;
        result.ticket
    }
}
