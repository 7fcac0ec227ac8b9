//! Relaying a request to a peer's gate.

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

/// How long an idle stream is trusted. A stream can go silent for good while new ones work;
/// a request sent on such a one would wait until its deadline and end unknown.
const IDLE_TRUST: Duration = Duration::from_secs(2);

/// Longest an attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a peer to show that it has the head of a request.
const READY_WAIT: Duration = Duration::from_millis(250);

/// How long after the deadline the peer's own verdict is waited for. The peer ends its attempt
/// before the deadline, so its word is normally here by then.
const VERDICT_WAIT: Duration = Duration::from_millis(20);

/// When to come back after a refusal that names no time.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// How a relay ended.
#[derive(Debug)]
pub(crate) enum RelayEnd {
    /// The peer had it, and this came of it.
    Ended(AttemptOutcome),
    /// It was never handed to the peer: no stream could be opened, or the stream is dead.
    NotHandedOver,
}

impl RelayEnd {
    /// The word in the metrics.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Self::Ended(AttemptOutcome::Answered(_)) => "answered",
            Self::Ended(AttemptOutcome::NotRun(_)) => "refused",
            Self::Ended(AttemptOutcome::Unknown) => "unknown",
            Self::NotHandedOver => "unreached",
        }
    }
}

/// Streams to peers that wait for their next request.
#[derive(Debug)]
pub(crate) struct RelayPool {
    path: StreamPath,
    keys: Arc<ArcSwap<FleetKeys>>,
    idle: Mutex<HashMap<AgentAddress, Vec<RelayStream>>>,
    /// Takes the loads that peers send along.
    pub(crate) placement: Arc<SharedPlacement>,
}

/// What goes with a request besides itself.
#[derive(Clone, Debug)]
pub(crate) struct RelayTerms {
    pub(crate) attempt: AttemptId,
    pub(crate) service: ServiceId,
    pub(crate) revision: ConfigRevision,
    pub(crate) holder: AgentAddress,
    /// The ticket, when the peer is the request's home.
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

    /// Sends the request to a peer and waits for the start of its answer.
    pub(crate) async fn relay(
        self: &Arc<Self>,
        peer: AgentAddress,
        request: &CallerRequest,
        terms: RelayTerms,
    ) -> RelayEnd {
        let attempt = terms.attempt;
        let stream = match self.take_idle(peer) {
            Some(stream) => Some(stream),
            None => self.open(peer, request).await,
        };
        let Some(mut stream) = stream else {
            return RelayEnd::NotHandedOver;
        };
        let limit = READY_WAIT.min(request.time_left());
        let offering = offer(&mut stream, request, terms);
        match tokio::time::timeout(limit, offering).await {
            Ok(Ok(Offer::Ready)) => {}
            Ok(Ok(Offer::Refused(refusal))) => {
                return RelayEnd::Ended(AttemptOutcome::NotRun(refusal));
            }
            // The peer runs nothing before it has the end of the body.
            Ok(Err(_)) | Err(_) => return RelayEnd::NotHandedOver,
        }
        let exchange = async {
            stream.send(&RelayMessage::BodyEnd).await?;
            receive_verdict(&mut stream, attempt).await
        };
        let limit = request.deadline + VERDICT_WAIT;
        let Ok(Ok(verdict)) = tokio::time::timeout_at(limit, exchange).await else {
            return RelayEnd::Ended(AttemptOutcome::Unknown);
        };
        let quiet_allowed = request.is_feed();
        RelayEnd::Ended(self.conclude(peer, attempt, verdict, stream, quiet_allowed))
    }

    /// Keeps a stream whose last answer ended whole.
    pub(crate) fn put_back(&self, peer: AgentAddress, mut stream: RelayStream) {
        stream.used = Instant::now();
        let mut idle = self.idle.lock();
        let streams = idle.entry(peer).or_default();
        streams.retain(|stream| stream.used.elapsed() < IDLE_TRUST);
        if streams.len() < MAX_IDLE_PER_PEER {
            streams.push(stream);
        }
    }

    fn take_idle(&self, peer: AgentAddress) -> Option<RelayStream> {
        let mut idle = self.idle.lock();
        let streams = idle.get_mut(&peer)?;
        while let Some(mut stream) = streams.pop() {
            if stream.used.elapsed() < IDLE_TRUST && stream.is_quiet() {
                return Some(stream);
            }
        }
        idle.remove(&peer);
        None
    }

    async fn open(&self, peer: AgentAddress, request: &CallerRequest) -> Option<RelayStream> {
        let limit = CONNECT_TIMEOUT.min(request.time_left());
        let connecting = tokio::time::timeout(limit, self.path.connect(peer.0));
        let stream = connecting.await.ok()?.ok()?;
        Some(RelayStream::new(stream, Arc::clone(&self.keys)))
    }

    fn conclude(
        self: &Arc<Self>,
        peer: AgentAddress,
        attempt: AttemptId,
        verdict: Verdict,
        stream: RelayStream,
        quiet_allowed: bool,
    ) -> AttemptOutcome {
        match verdict {
            Verdict::Refused(refusal, load) => {
                self.placement.record_report(peer, load);
                self.put_back(peer, stream);
                AttemptOutcome::NotRun(refusal)
            }
            Verdict::Lost => {
                self.put_back(peer, stream);
                AttemptOutcome::Unknown
            }
            Verdict::Head(status, headers) => {
                let body = RelayBody::new(stream, peer, attempt, Arc::clone(self))
                    .with_quiet_allowed(quiet_allowed);
                AttemptOutcome::Answered(AttemptResponse {
                    status,
                    headers,
                    body: ResponseBody::Relay(Box::new(body)),
                })
            }
        }
    }
}

enum Verdict {
    Refused(Refusal, Option<GateReport>),
    Lost,
    Head(StatusCode, HeaderMap),
}

enum Offer {
    Ready,
    Refused(Refusal),
}

/// Sends all but the end of the request's body and waits until the peer shows that it has it.
async fn offer(
    stream: &mut RelayStream,
    request: &CallerRequest,
    terms: RelayTerms,
) -> Result<Offer, StreamError> {
    let expected = terms.attempt;
    let mut fields = headers::to_wire(&request.headers);
    fields.push(WireHeader {
        name: headers::ATTEMPTS_LEFT.as_str().to_owned(),
        value: request.allowance.left().to_string().into_bytes(),
    });
    let head = RelayRequest {
        attempt: terms.attempt,
        service: terms.service,
        revision: terms.revision,
        holder: terms.holder,
        agency: request.agency.clone(),
        time_left: request.time_left(),
        ticket: terms.ticket,
        method: request.method.as_str().to_owned(),
        path: request.path.clone(),
        headers: fields,
    };
    stream.send(&RelayMessage::Request(head)).await?;
    stream
        .send_pieces(&request.body, RelayMessage::Body)
        .await?;
    match stream.receive().await? {
        RelayMessage::Ready(attempt) if attempt == expected => Ok(Offer::Ready),
        RelayMessage::Refused {
            attempt,
            reason,
            retry_after,
            ..
        } if attempt == expected => Ok(Offer::Refused(Refusal::new(reason, retry_after))),
        _ => Err(StreamError::Ended),
    }
}

async fn receive_verdict(
    stream: &mut RelayStream,
    expected: AttemptId,
) -> Result<Verdict, StreamError> {
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
            Ok(Verdict::Refused(refusal, load))
        }
        RelayMessage::Head(head) if head.attempt == expected => Ok(verdict_of(&head)),
        RelayMessage::Lost(attempt) if attempt == expected => Ok(Verdict::Lost),
        _ => Err(StreamError::Ended),
    }
}

fn verdict_of(head: &RelayHead) -> Verdict {
    match StatusCode::from_u16(head.status) {
        Ok(status) => Verdict::Head(status, headers::from_wire(&head.headers)),
        Err(_) => Verdict::Lost,
    }
}

/// The refusal of a request that no peer could be reached for.
pub(crate) fn unreached() -> Refusal {
    Refusal::new(RefusalReason::NoTarget, DEFAULT_RETRY)
}
