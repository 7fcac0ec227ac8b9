//! Sends requests to the backend server and validates the responses.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use lovagelatch_domain::{AttemptId, RefusalReason};
use parking_lot::Mutex;

use crate::backend::body::BackendBody;
use crate::backend::connection::BackendConnection;
use crate::backend::control::CancelOutcome;
use crate::backend::read_ahead::ReadAheadLimit;
use crate::exchange::{AttemptResponse, CallerRequest, Refusal, ResponseBody};
use crate::gate::{SlotGuard, SlotOutcome};
use crate::headers;

/// Idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// How long an idle connection may be reused. A request on a connection that went silent while
/// idle would hang until its deadline.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Retry delay after a refusal that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The agent's link to its backend server.
#[derive(Debug)]
pub(crate) struct BackendLink {
    address: SocketAddrV4,
    idle: Mutex<Vec<BackendConnection>>,
    /// Limits the responses that are buffered for their callers.
    pub(crate) read_ahead: ReadAheadLimit,
}

/// How an exchange with the backend server ended.
#[derive(Debug)]
pub(crate) enum BackendOutcome {
    /// A response to this attempt has started.
    Answered(AttemptResponse),
    /// No byte of the request was written.
    NotSent,
    /// The backend server refused the request before starting it.
    Shed(Refusal),
    /// The request may be running or have run; no valid response arrived.
    Lost(LostReason),
}

/// Why a response is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LostReason {
    /// The connection broke after the request was written.
    Broken,
    /// The response names another attempt, or none.
    Crossed,
}

impl BackendLink {
    pub(crate) fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            read_ahead: ReadAheadLimit::default(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// The caller of this function enforces the deadline. Dropping the future before it completes
    /// closes the connection.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> BackendOutcome {
        let mut message = self.to_http(request, attempt);
        let is_feed = request.is_feed();
        // The backend server may have closed an idle connection unnoticed. While hyper returns the
        // request unwritten, it is safe to send it on a new connection.
        let idle = if is_feed { None } else { self.take_idle() };
        if let Some(mut connection) = idle {
            match connection.sender.try_send_request(message).await {
                Ok(response) => {
                    return self.check_response(request, attempt, response, connection);
                }
                Err(mut error) => match error.take_message() {
                    Some(unwritten) => message = unwritten,
                    None => return BackendOutcome::Lost(LostReason::Broken),
                },
            }
        }
        let opened = if is_feed {
            BackendConnection::open_for_feed(self.address).await
        } else {
            BackendConnection::open(self.address).await
        };
        let Ok(mut connection) = opened else {
            return BackendOutcome::NotSent;
        };
        match connection.sender.try_send_request(message).await {
            Ok(response) => self.check_response(request, attempt, response, connection),
            Err(mut error) => match error.take_message() {
                Some(_) => BackendOutcome::NotSent,
                None => BackendOutcome::Lost(LostReason::Broken),
            },
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn release(&self, mut connection: BackendConnection) {
        connection.last_used = tokio::time::Instant::now();
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Cancels an attempt, then releases its slot, in a background task.
    ///
    /// `known` is the outcome of the slot if it is already known. It is `None` if the caller left,
    /// which is no evidence about the server. If such responses counted as lost, a few in a row
    /// would make the gate consider the server broken and close its slots to all other callers; so
    /// the slot counts as lost only if the server does not respond to the cancellation.
    pub(crate) fn spawn_cancel(
        self: &Arc<Self>,
        attempt: AttemptId,
        slot: Option<SlotGuard>,
        known: Option<SlotOutcome>,
    ) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let link = Arc::clone(self);
        runtime.spawn(async move {
            let cancelled = match link.cancel(attempt).await {
                CancelOutcome::Cancelled | CancelOutcome::AlreadyStarted => SlotOutcome::Abandoned,
                CancelOutcome::NoResponse => SlotOutcome::Lost,
            };
            if let Some(slot) = slot {
                slot.finish(known.unwrap_or(cancelled));
            }
        });
    }

    fn take_idle(&self) -> Option<BackendConnection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_usable(MAX_IDLE_TIME) {
                return Some(connection);
            }
        }
        None
    }

    fn to_http(&self, request: &CallerRequest, attempt: AttemptId) -> Request<Full<Bytes>> {
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.path.parse().unwrap_or_default();
        let fields = message.headers_mut();
        *fields = request.headers.clone();
        if !fields.contains_key(header::HOST) {
            fields.insert(header::HOST, to_header_value(&self.address.to_string()));
        }
        fields.insert(headers::ATTEMPT, to_header_value(&attempt.to_string()));
        let attempts_left = request.allowance.left().to_string();
        fields.insert(headers::ATTEMPTS_LEFT, to_header_value(&attempts_left));
        let time_left = request.time_left().as_millis();
        fields.insert(
            headers::DEADLINE_MS,
            to_header_value(&time_left.to_string()),
        );
        message
    }

    fn check_response(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
        response: Response<Incoming>,
        connection: BackendConnection,
    ) -> BackendOutcome {
        let (head, incoming) = response.into_parts();
        let named = head.headers.get(headers::ATTEMPT);
        let expected = attempt.to_string();
        // Another attempt's response would show one citizen another citizen's claim.
        if named.map(HeaderValue::as_bytes) != Some(expected.as_bytes()) {
            return BackendOutcome::Lost(LostReason::Crossed);
        }
        let outcome = head.headers.get(headers::OUTCOME);
        let not_run = outcome.is_some_and(|value| value.as_bytes() == b"not-run");
        if head.status == StatusCode::SERVICE_UNAVAILABLE && not_run {
            let retry_after = parse_retry_after(&head.headers);
            let refusal = Refusal::new(RefusalReason::Shed, retry_after)
                .with_returned(headers::returned_allowance(&head.headers));
            return BackendOutcome::Shed(refusal);
        }
        let head_only = request.method == Method::HEAD;
        let body = BackendBody::new(
            (head.status, &head.headers, incoming),
            head_only,
            attempt,
            Arc::clone(self),
            connection,
        );
        BackendOutcome::Answered(AttemptResponse {
            status: head.status,
            headers: headers::end_to_end(&head.headers),
            body: ResponseBody::Backend(Box::new(body)),
        })
    }
}

fn parse_retry_after(fields: &http::HeaderMap) -> Duration {
    let millis = headers::parse_number(fields, &headers::RETRY_AFTER_MS).map(Duration::from_millis);
    let seconds = || headers::parse_number(fields, &header::RETRY_AFTER).map(Duration::from_secs);
    millis.or_else(seconds).unwrap_or(DEFAULT_RETRY_AFTER)
}

/// Converts text generated by the agent to a header value; invalid text becomes empty.
pub(crate) fn to_header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
