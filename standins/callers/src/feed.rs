//! Feeds that stay open for the whole run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::client::RequestStream;
use h3::error::StreamError;
use http::Method;
use lovagelatch_history::{
    CallerRecord, FeedFlaw, FeedOrder, ObservedOutcome, RequestEnd, RequestKind,
};
use serde::Deserialize;
use thiserror::Error;

use crate::context::{CallerContext, now_ms};
use crate::exchange::{ExchangeRequest, ExchangeScope, ResponseCheck, build_head, record_sent};
use crate::flow::CallerFlow;
use crate::pool::AddressPool;
use crate::response::{header_text, response_outcome, retry_after};

/// Time without an event after which a feed counts as broken.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout of the response headers of a feed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long after its start a migrating feed changes its address.
const MIGRATION_DELAY: Duration = Duration::from_millis(1_500);

/// Every n-th feed migrates to a new address while it is open.
pub(crate) const FEEDS_PER_MIGRATION: u32 = 4;

/// Delay before a feed is reopened, unless the server asks for another.
const REOPEN_DELAY: Duration = Duration::from_millis(300);

type FeedStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

#[derive(Deserialize)]
struct EventData {
    feed: String,
}

/// Why a feed was not opened.
#[derive(Debug, Error)]
enum FeedError {
    #[error("{0}")]
    Head(#[from] http::Error),
    #[error("{0}")]
    Stream(#[from] StreamError),
}

/// Why the stream of a feed ended.
enum FeedEnd {
    /// The run is over.
    Finished,
    /// The stream failed, ended or stayed silent, with the reason.
    Broken(String),
}

/// Keeps one feed open until the run is over, and reopens it when it breaks. A feed that `migrates`
/// changes its address while it is open.
pub(crate) async fn hold_feed(context: Arc<CallerContext>, pool: Arc<AddressPool>, migrates: bool) {
    while !context.is_finished() {
        let Some(flow) = pool.new_flow(&context).await else {
            tokio::time::sleep(REOPEN_DELAY).await;
            continue;
        };
        let migration = async {
            if migrates {
                tokio::time::sleep(MIGRATION_DELAY).await;
                if let Err(error) = flow.migrate() {
                    eprintln!("flow {} not moved: {error}", flow.number);
                }
            }
            std::future::pending::<()>().await;
        };
        let delay = tokio::select! {
            delay = hold_on_flow(&context, &pool, &flow) => delay,
            () = migration => None,
        };
        if !context.is_finished() {
            tokio::time::sleep(delay.unwrap_or(REOPEN_DELAY)).await;
        }
    }
}

/// Keeps a feed open over one flow. Returns the delay before the next attempt if the server asked
/// for one.
async fn hold_on_flow(
    context: &Arc<CallerContext>,
    pool: &AddressPool,
    flow: &CallerFlow,
) -> Option<Duration> {
    let scope = ExchangeScope {
        service: &pool.destination.service,
        server_name: &pool.destination.server_name,
        agency: pool.agency.as_deref(),
    };
    let request = feed_request();
    let id = context.new_request_id();
    record_sent(context, flow, scope, &request, &id);
    let _in_flight = flow.track_in_flight();
    let opened = tokio::time::timeout(HEAD_TIMEOUT, open_feed(flow, scope, &request, &id)).await;
    let (mut end, stream, delay) = match opened {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) => {
            let reason = error.to_string();
            (
                request_end(ObservedOutcome::Unknown, Some(reason)),
                None,
                None,
            )
        }
        Err(_) => {
            let reason = "no head in time".to_owned();
            (
                request_end(ObservedOutcome::Unknown, Some(reason)),
                None,
                None,
            )
        }
    };
    if let Some(mut stream) = stream {
        context.counters.feeds.fetch_add(1, Ordering::Relaxed);
        let feed_end = read_feed(context, &mut stream, &id).await;
        context.counters.feeds.fetch_sub(1, Ordering::Relaxed);
        if let FeedEnd::Broken(reason) = feed_end {
            flow.record_broken(&reason);
            end.reason = Some(reason);
        }
    }
    context.counters.record_outcome(end.outcome);
    context.write(&CallerRecord::RequestEnded {
        request: id,
        time_ms: now_ms(),
        end,
    });
    delay
}

fn feed_request() -> ExchangeRequest {
    ExchangeRequest {
        kind: RequestKind::Feed,
        method: Method::GET,
        path: "/feed".to_owned(),
        body: None,
        ticket: None,
        filing: None,
        work_ms: 0,
        arrived_ms: now_ms(),
        check: ResponseCheck::Any,
    }
}

fn request_end(outcome: ObservedOutcome, reason: Option<String>) -> RequestEnd {
    RequestEnd {
        outcome,
        status: 0,
        flaw: None,
        answered_for: None,
        agent: None,
        reason,
    }
}

type OpenedFeed = (RequestEnd, Option<FeedStream>, Option<Duration>);

async fn open_feed(
    flow: &CallerFlow,
    scope: ExchangeScope<'_>,
    request: &ExchangeRequest,
    id: &str,
) -> Result<OpenedFeed, FeedError> {
    let head = build_head(scope, request, id, None)?;
    let mut sender = flow.sender();
    let sent = sender.send_request(head).await;
    let mut stream = match sent {
        Ok(stream) => stream,
        Err(StreamError::RemoteClosing { .. }) => {
            let reason = "going away".to_owned();
            return Ok((
                request_end(ObservedOutcome::NotRun, Some(reason)),
                None,
                None,
            ));
        }
        Err(error) => return Err(error.into()),
    };
    stream.finish().await?;
    let response = stream.recv_response().await?;
    let headers = response.headers();
    let mut end = request_end(response_outcome(&response), None);
    end.status = response.status().as_u16();
    end.agent = header_text(headers, "lovagelatch-agent");
    end.answered_for =
        header_text(headers, "lovagelatch-caller-request").filter(|other| other != id);
    let delay = retry_after(headers);
    let accepted = response.status().is_success();
    Ok((end, accepted.then_some(stream), delay))
}

async fn read_feed(context: &CallerContext, stream: &mut FeedStream, id: &str) -> FeedEnd {
    let mut finished = context.finished.subscribe();
    let mut events = EventReader::default();
    loop {
        let chunk = tokio::select! {
            _ = finished.wait_for(|finished| *finished) => return FeedEnd::Finished,
            chunk = tokio::time::timeout(SILENCE_TIMEOUT, stream.recv_data()) => chunk,
        };
        let mut chunk = match chunk {
            Ok(Ok(Some(chunk))) => chunk,
            Ok(Ok(None)) => return FeedEnd::Broken("feed ended".to_owned()),
            Ok(Err(error)) => return FeedEnd::Broken(error.to_string()),
            Err(_) => return FeedEnd::Broken("feed silent".to_owned()),
        };
        let bytes = chunk.copy_to_bytes(chunk.remaining());
        for flaw in events.push(&bytes, id) {
            context.write(&CallerRecord::FeedFlawed {
                request: id.to_owned(),
                time_ms: now_ms(),
                flaw,
            });
        }
    }
}

/// Assembles events from the chunks of a body and checks them.
#[derive(Default)]
struct EventReader {
    order: FeedOrder,
    pending: Vec<u8>,
}

impl EventReader {
    /// Appends a chunk and returns the flaws of the events that it completes.
    fn push(&mut self, bytes: &[u8], id: &str) -> Vec<FeedFlaw> {
        self.pending.extend_from_slice(bytes);
        let mut flaws = Vec::new();
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.pending.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            flaws.extend(self.check_event(&event, id));
        }
        flaws
    }

    fn check_event(&mut self, event: &str, id: &str) -> Option<FeedFlaw> {
        let field = |name: &str| {
            let line = event.lines().find(|line| line.starts_with(name))?;
            Some(line[name.len()..].trim())
        };
        let data = field("data:").and_then(|data| serde_json::from_str::<EventData>(data).ok());
        if data.is_none_or(|data| data.feed != id) {
            return Some(FeedFlaw::Crossed);
        }
        let number = field("id:")?.parse().ok()?;
        self.order.check_event(number)
    }
}
