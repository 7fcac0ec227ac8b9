//! Feeds that are held open over the whole run.

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
use crate::exchange::{AnswerCheck, ExchangeRequest, ExchangeScope, head_of, note_sent};
use crate::flow::CallerFlow;
use crate::judge::{outcome_of, retry_after, text};
use crate::pool::AddressPool;

/// A feed without an event for so long is given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(8);

/// Longest wait for the head of a feed's answer.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// How long after its start a feed that moves goes on from a new address.
const MOVE_AFTER: Duration = Duration::from_millis(1_500);

/// One feed in so many moves.
pub(crate) const MOVING_ONE_IN: u32 = 4;

/// The wait before a feed is opened again.
const REOPEN_WAIT: Duration = Duration::from_millis(300);

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

/// Why a feed's stream ended.
enum FeedStop {
    /// The run is over.
    Over,
    /// Something broke.
    Broken(String),
}

/// Holds one feed open until the run is over; opens it again when it breaks. A feed that
/// `moves` changes its address while it is open.
pub(crate) async fn hold_feed(context: Arc<CallerContext>, pool: Arc<AddressPool>, moves: bool) {
    while !context.is_over() {
        let Some(flow) = pool.fresh_flow(&context).await else {
            tokio::time::sleep(REOPEN_WAIT).await;
            continue;
        };
        let moved = async {
            if moves {
                tokio::time::sleep(MOVE_AFTER).await;
                if let Err(error) = flow.move_address() {
                    eprintln!("flow {} not moved: {error}", flow.number);
                }
            }
            std::future::pending::<()>().await;
        };
        let wait = tokio::select! {
            wait = hold_over(&context, &pool, &flow) => wait,
            () = moved => None,
        };
        if !context.is_over() {
            tokio::time::sleep(wait.unwrap_or(REOPEN_WAIT)).await;
        }
    }
}

/// Holds a feed over one flow; returns how long to wait before the next try, if asked to.
async fn hold_over(
    context: &Arc<CallerContext>,
    pool: &AddressPool,
    flow: &CallerFlow,
) -> Option<Duration> {
    let scope = ExchangeScope {
        service: &pool.target.service,
        server_name: &pool.target.server_name,
        agency: pool.agency.as_deref(),
    };
    let request = feed_request();
    let id = context.new_request_id();
    note_sent(context, flow, scope, &request, &id);
    let _in_flight = flow.note_in_flight();
    let opened = tokio::time::timeout(HEAD_LIMIT, open(flow, scope, &request, &id)).await;
    let (mut end, stream, wait) = match opened {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) => {
            let reason = error.to_string();
            (feed_end(ObservedOutcome::Unknown, Some(reason)), None, None)
        }
        Err(_) => {
            let reason = "no head in time".to_owned();
            (feed_end(ObservedOutcome::Unknown, Some(reason)), None, None)
        }
    };
    if let Some(mut stream) = stream {
        context.counters.feeds.fetch_add(1, Ordering::Relaxed);
        let stop = read_feed(context, &mut stream, &id).await;
        context.counters.feeds.fetch_sub(1, Ordering::Relaxed);
        if let FeedStop::Broken(reason) = stop {
            flow.note_broken(&reason);
            end.reason = Some(reason);
        }
    }
    context.counters.note_outcome(end.outcome);
    context.write(&CallerRecord::RequestEnded {
        request: id,
        time_ms: now_ms(),
        end,
    });
    wait
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
        check: AnswerCheck::Any,
    }
}

fn feed_end(outcome: ObservedOutcome, reason: Option<String>) -> RequestEnd {
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

async fn open(
    flow: &CallerFlow,
    scope: ExchangeScope<'_>,
    request: &ExchangeRequest,
    id: &str,
) -> Result<OpenedFeed, FeedError> {
    let head = head_of(scope, request, id, None)?;
    let mut sender = flow.sender();
    let sent = sender.send_request(head).await;
    let mut stream = match sent {
        Ok(stream) => stream,
        Err(StreamError::RemoteClosing { .. }) => {
            let reason = "going away".to_owned();
            return Ok((feed_end(ObservedOutcome::NotRun, Some(reason)), None, None));
        }
        Err(error) => return Err(error.into()),
    };
    stream.finish().await?;
    let answer = stream.recv_response().await?;
    let headers = answer.headers();
    let mut end = feed_end(outcome_of(&answer), None);
    end.status = answer.status().as_u16();
    end.agent = text(headers, "lovagelatch-agent");
    end.answered_for = text(headers, "lovagelatch-caller-request").filter(|other| other != id);
    let wait = retry_after(headers);
    let accepted = answer.status().is_success();
    Ok((end, accepted.then_some(stream), wait))
}

async fn read_feed(context: &CallerContext, stream: &mut FeedStream, id: &str) -> FeedStop {
    let mut over = context.over.subscribe();
    let mut events = EventReader::default();
    loop {
        let part = tokio::select! {
            _ = over.wait_for(|over| *over) => return FeedStop::Over,
            part = tokio::time::timeout(SILENCE_LIMIT, stream.recv_data()) => part,
        };
        let mut part = match part {
            Ok(Ok(Some(part))) => part,
            Ok(Ok(None)) => return FeedStop::Broken("feed ended".to_owned()),
            Ok(Err(error)) => return FeedStop::Broken(error.to_string()),
            Err(_) => return FeedStop::Broken("feed silent".to_owned()),
        };
        let bytes = part.copy_to_bytes(part.remaining());
        for flaw in events.take(&bytes, id) {
            context.write(&CallerRecord::FeedFlawed {
                request: id.to_owned(),
                time_ms: now_ms(),
                flaw,
            });
        }
    }
}

/// Puts events together from the parts of a body and checks them.
#[derive(Default)]
struct EventReader {
    order: FeedOrder,
    pending: Vec<u8>,
}

impl EventReader {
    fn take(&mut self, bytes: &[u8], id: &str) -> Vec<FeedFlaw> {
        self.pending.extend_from_slice(bytes);
        let mut flaws = Vec::new();
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.pending.drain(..end + 2).collect();
            let event = String::from_utf8_lossy(&event);
            flaws.extend(self.check(&event, id));
        }
        flaws
    }

    fn check(&mut self, event: &str, id: &str) -> Option<FeedFlaw> {
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
