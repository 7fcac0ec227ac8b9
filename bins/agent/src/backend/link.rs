//! Sending a request to the backend server and judging what comes back.

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
use crate::backend::control::CancelEnd;
use crate::backend::read_ahead::AheadRoom;
use crate::exchange::{AttemptResponse, CallerRequest, Refusal, ResponseBody};
use crate::gate::{SlotGuard, SlotOutcome};
use crate::headers;

/// Connections kept for reuse.
const MAX_IDLE: usize = 32;

/// How long an unused connection is trusted. One that went silent meanwhile would hold a
/// request until its deadline.
const IDLE_TRUST: Duration = Duration::from_secs(5);

/// When to come back after a refusal that names no time.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// The agent's way to its backend server.
#[derive(Debug)]
pub(crate) struct BackendLink {
    address: SocketAddrV4,
    idle: Mutex<Vec<BackendConnection>>,
    /// Room for answers that wait for their callers.
    pub(crate) room: AheadRoom,
}

/// How an exchange with the backend server ended.
#[derive(Debug)]
pub(crate) enum ExchangeEnd {
    /// An answer to this very attempt has started.
    Answered(AttemptResponse),
    /// Nothing of the request was written.
    NotHandedOver,
    /// The backend server refused it before its start.
    Shed(Refusal),
    /// It may run or have run; no answer that can be trusted came back.
    Lost(LostReason),
}

/// Why an answer is not to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LostReason {
    /// The connection broke after the request was written.
    Broken,
    /// The answer names another attempt, or none.
    Crossed,
}

impl BackendLink {
    pub(crate) fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            room: AheadRoom::default(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Sends the request; the caller of this function watches the deadline. A future dropped
    /// before its end closes the connection.
    pub(crate) async fn exchange(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
    ) -> ExchangeEnd {
        let mut message = self.to_http(request, attempt);
        let is_feed = request.is_feed();
        // An idle connection may have been closed by the other side while nobody looked. As
        // long as the library hands the request back unwritten, a fresh one may be tried.
        let kept = if is_feed { None } else { self.take_idle() };
        if let Some(mut connection) = kept {
            match connection.sender.try_send_request(message).await {
                Ok(response) => return self.judge(request, attempt, response, connection),
                Err(mut error) => match error.take_message() {
                    Some(unwritten) => message = unwritten,
                    None => return ExchangeEnd::Lost(LostReason::Broken),
                },
            }
        }
        let opened = if is_feed {
            BackendConnection::open_for_feed(self.address).await
        } else {
            BackendConnection::open(self.address).await
        };
        let Ok(mut connection) = opened else {
            return ExchangeEnd::NotHandedOver;
        };
        match connection.sender.try_send_request(message).await {
            Ok(response) => self.judge(request, attempt, response, connection),
            Err(mut error) => match error.take_message() {
                Some(_) => ExchangeEnd::NotHandedOver,
                None => ExchangeEnd::Lost(LostReason::Broken),
            },
        }
    }

    /// Keeps a connection whose last answer ended whole.
    pub(crate) fn put_back(&self, mut connection: BackendConnection) {
        connection.used = tokio::time::Instant::now();
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Cancels an attempt whose caller left, then gives its slot back.
    ///
    /// A caller that leaves says nothing about the server. Counted as lost answers, a few of
    /// them in a row would make the gate take the server for broken and close its slots to
    /// everybody else; so only a server that does not answer the cancellation counts as such.
    /// `end` says how the slot ended where that is known already.
    pub(crate) fn cancel_later(
        self: &Arc<Self>,
        attempt: AttemptId,
        slot: Option<SlotGuard>,
        end: Option<SlotOutcome>,
    ) {
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let link = Arc::clone(self);
        runtime.spawn(async move {
            let cancelled = match link.cancel(attempt).await {
                CancelEnd::Cancelled | CancelEnd::Refused => SlotOutcome::Abandoned,
                CancelEnd::NoAnswer => SlotOutcome::Lost,
            };
            if let Some(slot) = slot {
                slot.finish(end.unwrap_or(cancelled));
            }
        });
    }

    fn take_idle(&self) -> Option<BackendConnection> {
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_usable(IDLE_TRUST) {
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
            fields.insert(header::HOST, text_value(&self.address.to_string()));
        }
        fields.insert(headers::ATTEMPT, text_value(&attempt.to_string()));
        let attempts = request.allowance.left().to_string();
        fields.insert(headers::ATTEMPTS_LEFT, text_value(&attempts));
        let left = request.time_left().as_millis();
        fields.insert(headers::DEADLINE_MS, text_value(&left.to_string()));
        message
    }

    fn judge(
        self: &Arc<Self>,
        request: &CallerRequest,
        attempt: AttemptId,
        response: Response<Incoming>,
        connection: BackendConnection,
    ) -> ExchangeEnd {
        let (head, incoming) = response.into_parts();
        let named = head.headers.get(headers::ATTEMPT);
        let expected = attempt.to_string();
        // An answer that belongs to another request would show one citizen another's claim.
        if named.map(HeaderValue::as_bytes) != Some(expected.as_bytes()) {
            return ExchangeEnd::Lost(LostReason::Crossed);
        }
        let outcome = head.headers.get(headers::OUTCOME);
        let not_run = outcome.is_some_and(|value| value.as_bytes() == b"not-run");
        if head.status == StatusCode::SERVICE_UNAVAILABLE && not_run {
            let retry_after = retry_after_of(&head.headers);
            let refusal = Refusal::new(RefusalReason::Shed, retry_after)
                .with_returned(headers::returned_allowance(&head.headers));
            return ExchangeEnd::Shed(refusal);
        }
        let head_only = request.method == Method::HEAD;
        let body = BackendBody::new(
            (head.status, &head.headers, incoming),
            head_only,
            attempt,
            Arc::clone(self),
            connection,
        );
        ExchangeEnd::Answered(AttemptResponse {
            status: head.status,
            headers: headers::end_to_end(&head.headers),
            body: ResponseBody::Backend(Box::new(body)),
        })
    }
}

fn retry_after_of(fields: &http::HeaderMap) -> Duration {
    let millis = headers::parse_number(fields, &headers::RETRY_AFTER_MS).map(Duration::from_millis);
    let seconds = || headers::parse_number(fields, &header::RETRY_AFTER).map(Duration::from_secs);
    millis.or_else(seconds).unwrap_or(DEFAULT_RETRY)
}

/// A field value of digits, letters and punctuation made here.
pub(crate) fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
