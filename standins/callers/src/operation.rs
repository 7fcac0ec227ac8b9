//! One thing a caller wants, with its retries.
//!
//! A caller told `not-run` waits as long as it was asked to and tries again. One that does not
//! know leaves it at that, but for a filing, which it may try again with the same ticket.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use lovagelatch_history::{ObservedOutcome, RequestKind};
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

use crate::context::CallerContext;
use crate::exchange::{AnswerCheck, ExchangeRequest, ExchangeResult, ExchangeScope, exchange};
use crate::flow::CallerFlow;
use crate::plan::ServicePlan;
use crate::pool::AddressPool;

/// Attempts at one thing wanted.
const MAX_ATTEMPTS: u32 = 4;

/// Longest wait before a retry, and the wait when the answer names none.
const MAX_WAIT: Duration = Duration::from_secs(5);
const DEFAULT_WAIT: Duration = Duration::from_millis(250);

/// The shares of filings that are tried over several flows at once, and sent without a ticket.
const CONCURRENT_SHARE: f64 = 0.1;
const WITHOUT_TICKET_SHARE: f64 = 0.05;

/// The share of statuses that need the service's dependency.
const DEPENDENT_SHARE: f64 = 0.1;

/// Flows of a filing that is tried over several at once.
const CONCURRENT_FLOWS: usize = 3;

/// Path of a ticket on any service address.
const TICKET_PATH: &str = "/.well-known/lovagelatch/ticket";

/// Status of an answer that asks for a ticket (RFC 6585).
const PRECONDITION_REQUIRED: u16 = 428;

/// Sizes of downloads, in bytes.
const DOWNLOAD_BYTES: std::ops::Range<usize> = 1_000..120_000;

/// Longest work of a request, as a multiple of the mean.
const MAX_WORK_FACTOR: f64 = 8.0;

/// A thing wanted from one address of a service.
pub(crate) struct CallerOperation {
    pub(crate) context: Arc<CallerContext>,
    pub(crate) pool: Arc<AddressPool>,
    pub(crate) request: ExchangeRequest,
    pub(crate) concurrent: bool,
    pub(crate) with_ticket: bool,
}

/// Draws what is wanted next from a service.
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
            check: AnswerCheck::Filing(name),
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
                AnswerCheck::Download(name, bytes),
            )
        }
        _ => {
            let needs = service.depends && random.random_bool(DEPENDENT_SHARE);
            let fetch = if needs { "&fetch=1" } else { "" };
            let path = format!("/status/{name}?work_ms={work_ms}{fetch}");
            (RequestKind::Status, path, AnswerCheck::Status(name))
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

/// Whether a filing is tried over several flows at once.
pub(crate) fn draw_concurrent(random: &mut StdRng) -> bool {
    random.random_bool(CONCURRENT_SHARE)
}

/// Whether a filing is sent with a ticket at first.
pub(crate) fn draw_with_ticket(random: &mut StdRng) -> bool {
    !random.random_bool(WITHOUT_TICKET_SHARE)
}

impl CallerOperation {
    /// Tries until it is done, hopeless or over.
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

    async fn run_attempts(&self, mut request: ExchangeRequest, mut fresh: bool) {
        let mut may_have_run = false;
        for _ in 0..MAX_ATTEMPTS {
            let Some(result) = self.attempt(&request, fresh).await else {
                fresh = true;
                continue;
            };
            match result.outcome {
                ObservedOutcome::Done => return,
                ObservedOutcome::NotRun => {}
                ObservedOutcome::Unknown if request.ticket.is_some() => may_have_run = true,
                ObservedOutcome::Unknown => return,
            }
            fresh = result.outcome == ObservedOutcome::Unknown;
            if result.status == PRECONDITION_REQUIRED {
                // A new ticket is a new filing to the system, so it is only taken when no
                // earlier attempt may have run.
                if may_have_run || self.concurrent || result.ticket.is_none() {
                    return;
                }
                request.ticket = result.ticket;
                continue;
            }
            if !self.wait(&result).await {
                return;
            }
        }
    }

    /// Waits as long as the answer asks; false when the run is over.
    async fn wait(&self, result: &ExchangeResult) -> bool {
        let wait = result.retry_after.unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
        let jitter = rand::rng().random_range(1.0..1.2);
        tokio::time::sleep(wait.mul_f64(jitter)).await;
        !self.context.is_over()
    }

    async fn attempt(&self, request: &ExchangeRequest, fresh: bool) -> Option<ExchangeResult> {
        let flow = self.flow(fresh).await?;
        let result = exchange(&self.context, &flow, self.scope(), request).await;
        if self.keeps_tickets()
            && result.status != PRECONDITION_REQUIRED
            && let Some(ticket) = &result.ticket
        {
            self.pool.keep_ticket(ticket.clone());
        }
        Some(result)
    }

    async fn flow(&self, fresh: bool) -> Option<Arc<CallerFlow>> {
        if fresh {
            self.pool.fresh_flow(&self.context).await
        } else {
            self.pool.flow(&self.context).await
        }
    }

    fn scope(&self) -> ExchangeScope<'_> {
        ExchangeScope {
            service: &self.pool.target.service,
            server_name: &self.pool.target.server_name,
            agency: self.pool.agency.as_deref(),
        }
    }

    fn keeps_tickets(&self) -> bool {
        let services = &self.context.plan.services;
        let own = |service: &&ServicePlan| service.name == self.pool.target.service;
        services
            .iter()
            .find(own)
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
            check: AnswerCheck::Any,
        };
        let flow = self.flow(false).await?;
        let result = exchange(&self.context, &flow, self.scope(), &request).await;
        result.ticket
    }
}
