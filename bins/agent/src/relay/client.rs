//! Relays requests to peers' gates.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use http::{HeaderMap, StatusCode};
use lovagelatch_domain::{
    AgentAddress, AttemptId, ConfigRevision, GateReport, RefusalReason, ServiceId,
};
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::StreamPath;
use lovagelatch_placement::AttemptAllowance;
use lovagelatch_wire::{RelayHead, RelayMessage, RelayRequest, WireHeader};
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::exchange::{AttemptOutcome, AttemptResponse, CallerRequest, Refusal, ResponseBody};
use crate::headers;
use crate::placement::SharedPlacement;
use crate::relay::body::RelayBody;
use crate::relay::stream::{RelayStream, StreamError};

/// Idle streams kept for each peer.
const MAX_IDLE_PER_PEER: usize = 8;

/// How long an idle stream may be reused. A stream can go silent for good while new ones still
/// work; a request sent on it would wait until its deadline and end unknown.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long to wait for a peer to acknowledge the head of a request.
const READY_TIMEOUT: Duration = Duration::from_millis(250);

/// How long after the deadline to wait for the peer's response. The peer ends its attempt before
/// the deadline, so its response has normally arrived by then.
const RESPONSE_GRACE: Duration = Duration::from_millis(20);

/// Retry delay after a refusal that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How a relay ended.
#[derive(Debug)]
pub(crate) enum RelayOutcome {
    /// The request was sent to the peer; the attempt ended like this.
    Ended(AttemptOutcome),
    /// The peer never received the whole request: no stream could be opened, or it is dead.
    PeerUnreachable,
}

impl RelayOutcome {
    /// The value of the metric attribute.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Ended(AttemptOutcome::Answered(_)) => "answered",
            Self::Ended(AttemptOutcome::NotRun(_)) => "refused",
            Self::Ended(AttemptOutcome::Unknown) => "unknown",
            Self::PeerUnreachable => "unreached",
        }
    }
}

/// A pool of idle streams to peers.
#[derive(Debug)]
pub(crate) struct RelayPool {
    path: StreamPath,
    keys: Arc<ArcSwap<FleetKeys>>,
    idle: Mutex<HashMap<AgentAddress, Vec<RelayStream>>>,
    /// Receives the load reports that peers send with their responses.
    pub(crate) placement: Arc<SharedPlacement>,
}

/// What is sent along with a relayed request.
#[derive(Clone, Debug)]
pub(crate) struct RelayContext {
    pub(crate) attempt: AttemptId,
    pub(crate) service: ServiceId,
    pub(crate) revision: ConfigRevision,
    pub(crate) holder: AgentAddress,
    /// The ticket, if the peer is the request's home.
    pub(crate) ticket: Option<String>,
}

impl RelayPool {
    pub(crate) fn new(
        path: StreamPath,
        keys: Arc<ArcSwap<FleetKeys>>,
        placement: Arc<SharedPlacement>,
    ) -> Self {
        Self {
            path,
            keys,
            idle: Mutex::default(),
            placement,
        }
    }

    /// Sends the request to a peer and waits for the head of its response.
    pub(crate) async fn relay(
        self: &Arc<Self>,
        peer: AgentAddress,
        request: &CallerRequest,
        context: RelayContext,
    ) -> RelayOutcome {
        let attempt = context.attempt;
        let stream = match self.take_idle(peer) {
            Some(stream) => Some(stream),
            None => self.open(peer, request).await,
        };
        let Some(mut stream) = stream else {
            return RelayOutcome::PeerUnreachable;
        };
        let timeout = READY_TIMEOUT.min(request.time_left());
        let offering = offer(&mut stream, request, context);
        match tokio::time::timeout(timeout, offering).await {
            Ok(Ok(OfferOutcome::Ready)) => {}
            Ok(Ok(OfferOutcome::Refused(refusal))) => {
                return RelayOutcome::Ended(AttemptOutcome::NotRun(refusal));
            }
            // The peer starts nothing before it has received the end of the body.
            Ok(Err(_)) | Err(_) => return RelayOutcome::PeerUnreachable,
        }
        let exchange = async {
            stream.send(&RelayMessage::BodyEnd).await?;
            receive_response(&mut stream, attempt).await
        };
        let limit = request.deadline + RESPONSE_GRACE;
        let Ok(Ok(response)) = tokio::time::timeout_at(limit, exchange).await else {
            return RelayOutcome::Ended(AttemptOutcome::Unknown);
        };
        let idle_allowed = request.is_feed();
        RelayOutcome::Ended(self.handle_response(peer, attempt, response, stream, idle_allowed))
    }

    /// Returns a stream to the pool after a complete response.
    pub(crate) fn release(&self, peer: AgentAddress, mut stream: RelayStream) {
        stream.last_used = Instant::now();
        let mut idle = self.idle.lock();
        let streams = idle.entry(peer).or_default();
        streams.retain(|stream| stream.last_used.elapsed() < MAX_IDLE_TIME);
        if streams.len() < MAX_IDLE_PER_PEER {
            streams.push(stream);
        }
    }

    fn take_idle(&self, peer: AgentAddress) -> Option<RelayStream> {
        let mut idle = self.idle.lock();
        let streams = idle.get_mut(&peer)?;
        while let Some(mut stream) = streams.pop() {
            if stream.last_used.elapsed() < MAX_IDLE_TIME && stream.is_idle() {
                return Some(stream);
            }
        }
        idle.remove(&peer);
        None
    }

    async fn open(&self, peer: AgentAddress, request: &CallerRequest) -> Option<RelayStream> {
        let timeout = CONNECT_TIMEOUT.min(request.time_left());
        let connecting = tokio::time::timeout(timeout, self.path.connect(peer.0));
        let stream = connecting.await.ok()?.ok()?;
        Some(RelayStream::new(stream, Arc::clone(&self.keys)))
    }

    fn handle_response(
        self: &Arc<Self>,
        peer: AgentAddress,
        attempt: AttemptId,
        response: PeerResponse,
        stream: RelayStream,
        idle_allowed: bool,
    ) -> AttemptOutcome {
        match response {
            PeerResponse::Refused(refusal, load) => {
                self.placement.record_report(peer, load);
                self.release(peer, stream);
                AttemptOutcome::NotRun(refusal)
            }
            PeerResponse::Lost => {
                self.release(peer, stream);
                AttemptOutcome::Unknown
            }
            PeerResponse::Head(status, headers) => {
                let body = RelayBody::new(stream, peer, attempt, Arc::clone(self))
                    .with_idle_allowed(idle_allowed);
                AttemptOutcome::Answered(AttemptResponse {
                    status,
                    headers,
                    body: ResponseBody::Relay(Box::new(body)),
                })
            }
        }
    }
}

/// What a peer sent after the whole request.
enum PeerResponse {
    Refused(Refusal, Option<GateReport>),
    Lost,
    Head(StatusCode, HeaderMap),
}

/// What a peer sent before the end of the request's body.
enum OfferOutcome {
    Ready,
    Refused(Refusal),
}

/// Sends the request without the end marker of its body and waits for the peer to acknowledge it.
async fn offer(
    stream: &mut RelayStream,
    request: &CallerRequest,
    context: RelayContext,
) -> Result<OfferOutcome, StreamError> {
    let expected = context.attempt;
    let mut fields = headers::to_wire(&request.headers);
    fields.push(WireHeader {
        name: headers::ATTEMPTS_LEFT.as_str().to_owned(),
        value: request.allowance.left().to_string().into_bytes(),
    });
    let head = RelayRequest {
        attempt: context.attempt,
        service: context.service,
        revision: context.revision,
        holder: context.holder,
        agency: request.agency.clone(),
        time_left: request.time_left(),
        ticket: context.ticket,
        method: request.method.as_str().to_owned(),
        path: request.path.clone(),
        headers: fields,
    };
    stream.send(&RelayMessage::Request(head)).await?;
    stream
        .send_chunks(&request.body, RelayMessage::Body)
        .await?;
    match stream.receive().await? {
        RelayMessage::Ready(attempt) if attempt == expected => Ok(OfferOutcome::Ready),
        RelayMessage::Refused {
            attempt,
            reason,
            retry_after,
            ..
        } if attempt == expected => Ok(OfferOutcome::Refused(Refusal::new(reason, retry_after))),
        _ => Err(StreamError::Ended),
    }
}

async fn receive_response(
    stream: &mut RelayStream,
    expected: AttemptId,
) -> Result<PeerResponse, StreamError> {
    match stream.receive().await? {
        RelayMessage::Refused {
            attempt,
            reason,
            retry_after,
            attempts_left,
            load,
        } if attempt == expected => {
            let refusal = Refusal::new(reason, retry_after)
                .with_returned(attempts_left.map(AttemptAllowance::from_left));
            Ok(PeerResponse::Refused(refusal, load))
        }
        RelayMessage::Head(head) if head.attempt == expected => Ok(to_response(&head)),
        RelayMessage::Lost(attempt) if attempt == expected => Ok(PeerResponse::Lost),
        _ => Err(StreamError::Ended),
    }
}

fn to_response(head: &RelayHead) -> PeerResponse {
    match StatusCode::from_u16(head.status) {
        Ok(status) => PeerResponse::Head(status, headers::from_wire(&head.headers)),
        Err(_) => PeerResponse::Lost,
    }
}

/// The refusal of a request for which no peer was reachable.
pub(crate) fn no_reachable_peer() -> Refusal {
    Refusal::new(RefusalReason::NoTarget, DEFAULT_RETRY_AFTER)
}
