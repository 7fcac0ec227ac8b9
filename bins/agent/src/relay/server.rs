//! Serves requests that peers relay to this agent's gate or ledger.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use lovagelatch_domain::{AttemptId, GateReport, RefusalReason};
use lovagelatch_keys::FleetKeys;
use lovagelatch_placement::AttemptAllowance;
use lovagelatch_telemetry::{DecisionKind, info};
use lovagelatch_wire::{FrameKind, RelayHead, RelayMessage, RelayRequest, open_message};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::exchange::{AttemptOutcome, AttemptResponse, CallerRequest, Refusal};
use crate::headers;
use crate::once::TICKET_PATH;
use crate::path::normalize_path;
use crate::relay::stream::{RelayStream, StreamError};

/// Serves a stream whose first frame is of kind `Relay`, one request after another.
pub(crate) async fn serve_relay(agent: Arc<Agent>, stream: TcpStream, first: Vec<u8>) {
    let keys: Arc<FleetKeys> = agent.keys.load_full();
    let Ok(mut message) = open_message::<RelayMessage>(FrameKind::Relay, &first, &keys) else {
        agent.metrics.frames_refused.add(1, &[]);
        return;
    };
    let mut stream = RelayStream::new(stream, Arc::clone(&agent.keys));
    loop {
        let RelayMessage::Request(head) = message else {
            return;
        };
        let work = agent.drain.start_work();
        if serve_request(&agent, &mut stream, head).await.is_err() {
            return;
        }
        drop(work);
        match stream.receive().await {
            Ok(next) => message = next,
            Err(_) => return,
        }
    }
}

async fn serve_request(
    agent: &Arc<Agent>,
    stream: &mut RelayStream,
    head: RelayRequest,
) -> Result<(), StreamError> {
    let attempt = head.attempt;
    let arrived = Instant::now();
    if head.service != agent.service {
        let refusal = Refusal::new(RefusalReason::WrongService, std::time::Duration::ZERO);
        send_refusal(stream, attempt, refusal, None).await?;
        // The rest of the request is still in flight; closing the stream discards it.
        return Err(StreamError::Ended);
    }
    stream.send(&RelayMessage::Ready(attempt)).await?;
    let body = receive_body(stream, agent.settings.common.limits.body_bytes).await?;
    info!(agent.log, "request from a peer"; "decision" => DecisionKind::RequestPlaced,
        "attempt" => attempt.to_string(), "holder" => head.holder.to_string(),
        "home" => head.ticket.is_some());
    let ticket = head.ticket.clone();
    let request = to_request(head, body, arrived);
    let running = run_request(agent, request, attempt, ticket);
    tokio::pin!(running);
    // A peer that gives up sends a message or closes the stream; dropping the run then removes
    // it from the queue or cancels it.
    let outcome = tokio::select! {
        outcome = &mut running => outcome,
        aborted = stream.receive() => return aborted.and(Err(StreamError::Ended)),
    };
    send_outcome(agent, stream, attempt, outcome).await
}

async fn run_request(
    agent: &Arc<Agent>,
    request: CallerRequest,
    attempt: AttemptId,
    ticket: Option<String>,
) -> AttemptOutcome {
    if normalize_path(&request.path) == TICKET_PATH {
        return agent.issue_peer_ticket();
    }
    match ticket {
        Some(ticket) => agent.submit_at_home(&ticket, request, attempt).await,
        None => agent.run_at_local_gate(&request, attempt).await,
    }
}

async fn receive_body(stream: &mut RelayStream, limit: usize) -> Result<Bytes, StreamError> {
    let mut body = Vec::new();
    loop {
        match stream.receive().await? {
            RelayMessage::Body(chunk) if body.len() + chunk.len() <= limit => {
                body.extend_from_slice(&chunk);
            }
            RelayMessage::BodyEnd => return Ok(Bytes::from(body)),
            _ => return Err(StreamError::Ended),
        }
    }
}

fn to_request(head: RelayRequest, body: Bytes, arrived: Instant) -> CallerRequest {
    let attempts_left = head
        .headers
        .iter()
        .find(|field| headers::ATTEMPTS_LEFT == field.name.as_str());
    CallerRequest {
        allowance: headers::parse_allowance(attempts_left.map(|field| field.value.as_slice())),
        method: Method::from_bytes(head.method.as_bytes()).unwrap_or_default(),
        path: head.path,
        headers: headers::from_wire(&head.headers),
        body,
        agency: head.agency,
        arrived,
        deadline: arrived + head.time_left,
    }
}

async fn send_outcome(
    agent: &Agent,
    stream: &mut RelayStream,
    attempt: AttemptId,
    outcome: AttemptOutcome,
) -> Result<(), StreamError> {
    match outcome {
        AttemptOutcome::Answered(response) => send_response(agent, stream, attempt, response).await,
        AttemptOutcome::Unknown => stream.send(&RelayMessage::Lost(attempt)).await,
        AttemptOutcome::NotRun(refusal) => {
            let load = Some(agent.gate.report());
            send_refusal(stream, attempt, refusal, load).await
        }
    }
}

async fn send_refusal(
    stream: &mut RelayStream,
    attempt: AttemptId,
    refusal: Refusal,
    load: Option<GateReport>,
) -> Result<(), StreamError> {
    let message = RelayMessage::Refused {
        attempt,
        reason: refusal.reason,
        retry_after: refusal.retry_after,
        attempts_left: refusal.returned.map(AttemptAllowance::left),
        load,
    };
    stream.send(&message).await
}

async fn send_response(
    agent: &Agent,
    stream: &mut RelayStream,
    attempt: AttemptId,
    mut response: AttemptResponse,
) -> Result<(), StreamError> {
    let head = RelayHead {
        attempt,
        status: response.status.as_u16(),
        headers: headers::to_wire(&response.headers),
    };
    stream.send(&RelayMessage::Head(head)).await?;
    loop {
        let chunk = tokio::select! {
            chunk = response.body.next() => chunk,
            aborted = stream.receive() => return aborted.and(Err(StreamError::Ended)),
        };
        match chunk {
            Ok(Some(chunk)) => stream.send_chunks(&chunk, RelayMessage::Chunk).await?,
            Ok(None) => {
                let load = Some(agent.gate.report());
                return stream.send(&RelayMessage::End { attempt, load }).await;
            }
            // Closing the stream without `End` tells the peer that the body is truncated.
            Err(_) => return Err(StreamError::Ended),
        }
    }
}
