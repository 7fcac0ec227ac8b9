//! The gateway's HTTP server.

use std::net::SocketAddrV4;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue};
use lovagelatch_domain::ServiceName;
use lovagelatch_placement::AttemptAllowance;
use rocket::data::ToByteUnit;
use rocket::fairing::AdHoc;
use rocket::figment::Figment;
use rocket::http::{Method, Status};
use rocket::response::stream::stream;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Response, Route};
use thiserror::Error;
use tokio::time::Instant;
use tokio_util::io::StreamReader;

use crate::agent::Agent;
use crate::exchange::{AttemptOutcome, AttemptResponse, CallerRequest, Refusal, ResponseBody};
use crate::gateway::call::DependencyCall;
use crate::headers;
use crate::metrics::reason_label;
use crate::reply::ReplyContext;

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

/// Largest response of unannounced length, which is buffered whole.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// The gateway could not start, or its server failed.
#[derive(Debug, Error)]
#[error("dependency gateway failed: {0}")]
pub(crate) struct GatewayError(#[from] Box<rocket::Error>);

#[derive(Clone)]
struct GatewayHandler {
    agent: Arc<Agent>,
}

/// Serves the gateway until the runtime ends; `address` is set once it listens.
pub(crate) async fn serve_gateway(
    agent: Arc<Agent>,
    address: Arc<OnceLock<SocketAddrV4>>,
) -> Result<(), GatewayError> {
    let listen = agent.settings.gateway_listen;
    let settings = Figment::from(rocket::Config::release_default())
        .merge(("address", listen.ip().to_string()))
        .merge(("port", listen.port()))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()));
    let record_address = AdHoc::on_liftoff("address", move |rocket| {
        let port = rocket.config().port;
        let _ = address.set(SocketAddrV4::new(*listen.ip(), port));
        Box::pin(async {})
    });
    let handler = GatewayHandler { agent };
    let routes = METHODS.map(|method| Route::new(method, "/<path..>", handler.clone()));
    let server = rocket::custom(settings)
        .mount("/", routes)
        .attach(record_address);
    server.launch().await.map_err(Box::new)?;
    Ok(())
}

#[rocket::async_trait]
impl Handler for GatewayHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let limit = self.agent.settings.common.limits.body_bytes;
        let body = data.open(limit.bytes()).into_bytes().await;
        let body = match body {
            Ok(body) if body.is_complete() => Bytes::from(body.into_inner()),
            _ => return Outcome::Error(Status::PayloadTooLarge),
        };
        let Some(call) = parse_call(&self.agent, request, body) else {
            return Outcome::Error(Status::NotFound);
        };
        let request = call.request.clone();
        let outcome = self.agent.call(call).await;
        Outcome::Success(to_response(&self.agent, &request, outcome).await)
    }
}

/// Parses a request whose first path segment names the service.
fn parse_call(agent: &Agent, request: &Request<'_>, body: Bytes) -> Option<DependencyCall> {
    let uri = request.uri().to_string();
    let (service, path) = uri.strip_prefix('/')?.split_once('/')?;
    let service: ServiceName = service.parse().ok()?;
    let mut fields = HeaderMap::new();
    for field in request.headers().iter() {
        let name = HeaderName::from_bytes(field.name().as_str().as_bytes());
        let value = HeaderValue::from_str(field.value());
        if let (Ok(name), Ok(value)) = (name, value) {
            fields.append(name, value);
        }
    }
    let arrived = Instant::now();
    let requested =
        headers::parse_number(&fields, &headers::DEADLINE_MS).map(Duration::from_millis);
    let time_left = requested.unwrap_or(agent.settings.common.limits.request_deadline);
    let attempts_left = fields.get(headers::ATTEMPTS_LEFT);
    let allowance = headers::parse_allowance(attempts_left.map(HeaderValue::as_bytes));
    let mut forwarded = headers::end_to_end(&fields);
    forwarded.remove(http::header::HOST);
    forwarded.remove(http::header::CONTENT_LENGTH);
    let request = CallerRequest {
        method: request.method().as_str().parse().ok()?,
        path: format!("/{path}"),
        headers: forwarded,
        body,
        agency: None,
        allowance,
        arrived,
        deadline: arrived + time_left,
    };
    Some(DependencyCall { service, request })
}

async fn to_response<'r>(
    agent: &Agent,
    request: &CallerRequest,
    outcome: AttemptOutcome,
) -> Response<'r> {
    let context = ReplyContext {
        agent: agent.settings.common.name.clone(),
        ticket: None,
    };
    let ticketed = request.headers.contains_key(headers::IDEMPOTENCY_KEY);
    let lost = || empty_response(&context.unknown(request.is_late(), ticketed));
    match outcome {
        AttemptOutcome::Answered(response) if may_stream(&response, request) => {
            let head = context.done(&response);
            streamed_response(&head, response.body)
        }
        AttemptOutcome::Answered(mut response) => {
            match response.body.collect(MAX_BUFFERED_BYTES).await {
                Ok(body) => sized_response(&context.done(&response), body),
                Err(_) => lost(),
            }
        }
        AttemptOutcome::NotRun(refusal) => {
            agent.metrics.refusals.count(reason_label(refusal.reason));
            empty_response(&refusal_head(&context, refusal))
        }
        AttemptOutcome::Unknown => lost(),
    }
}

/// The head of a refusal, with no attempts left. This agent has already decided whether to retry;
/// if every agent up the call chain retried as well, the retries would multiply.
fn refusal_head(context: &ReplyContext, refusal: Refusal) -> http::Response<()> {
    let mut head = context.not_run(refusal);
    let none = HeaderValue::from(u16::from(AttemptAllowance::none().left()));
    head.headers_mut().insert(headers::ATTEMPTS_LEFT, none);
    head
}

/// Whether the backend server would notice that a streamed response is truncated.
///
/// Rocket ends a body that fails as if it were complete, unless its length was announced; then
/// it breaks the connection. A response of unknown length is therefore buffered first. A feed has
/// no regular end that a truncation could be mistaken for.
fn may_stream(response: &AttemptResponse, request: &CallerRequest) -> bool {
    let sized = response.headers.contains_key(http::header::CONTENT_LENGTH);
    sized || request.is_feed()
}

fn start_response<'r>(head: &http::Response<()>) -> rocket::response::Builder<'r> {
    let mut response = Response::build();
    response.status(Status::new(head.status().as_u16()));
    for (name, value) in head.headers() {
        if let Ok(value) = value.to_str() {
            response.raw_header_adjoin(name.as_str().to_owned(), value.to_owned());
        }
    }
    response
}

fn empty_response<'r>(head: &http::Response<()>) -> Response<'r> {
    start_response(head).finalize()
}

fn sized_response<'r>(head: &http::Response<()>, body: Vec<u8>) -> Response<'r> {
    let mut response = start_response(head);
    response.sized_body(body.len(), std::io::Cursor::new(body));
    response.finalize()
}

fn streamed_response<'r>(head: &http::Response<()>, mut body: ResponseBody) -> Response<'r> {
    let chunks = stream! {
        loop {
            match body.next().await {
                Ok(Some(chunk)) => yield Ok(chunk),
                Ok(None) => break,
                Err(error) => {
                    yield Err(std::io::Error::new(std::io::ErrorKind::UnexpectedEof, error));
                    break;
                }
            }
        }
    };
    let mut response = start_response(head);
    response.streamed_body(StreamReader::new(Box::pin(chunks)));
    response.finalize()
}
