//! TCP streams from other processes on the control address.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_ledger::LedgerHandover;
use lovagelatch_network::read_frame;
use lovagelatch_telemetry::{info, warn};
use lovagelatch_wire::{FrameKind, MAX_STREAM_FRAME_BYTES, open_frame, open_message};
use tokio::net::{TcpListener, TcpStream};

use crate::agent::Agent;
use crate::relay::serve_relay;

/// Timeout for the first frame of a stream.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Backoff after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts streams until the task is aborted.
pub(crate) async fn accept_streams(agent: Arc<Agent>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_stream(Arc::clone(&agent), stream));
            }
            Err(error) => {
                warn!(agent.log, "accepting a control stream failed"; "error" => error.to_string());
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Dispatches a stream by the kind of its first frame.
async fn serve_stream(agent: Arc<Agent>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let reading = read_frame(&mut stream, MAX_STREAM_FRAME_BYTES);
    let Ok(Ok(Some(first))) = tokio::time::timeout(FIRST_FRAME_TIMEOUT, reading).await else {
        return;
    };
    let kind = open_frame(&first, &agent.keys.load()).map(|frame| frame.kind);
    match kind {
        Ok(FrameKind::Relay) => serve_relay(agent, stream, first).await,
        Ok(FrameKind::Membership) => agent.fleet.accept_stream(stream, first).await,
        Ok(FrameKind::Ledger) => adopt_ledger(&agent, &mut stream, &first).await,
        Ok(FrameKind::Forward) | Err(_) => agent.metrics.frames_refused.add(1, &[]),
    }
}

/// Adopts a leaving peer's ledger and acknowledges it by echoing the frame.
async fn adopt_ledger(agent: &Agent, stream: &mut TcpStream, first: &[u8]) {
    let handover = open_message::<LedgerHandover>(FrameKind::Ledger, first, &agent.keys.load());
    let Ok(handover) = handover else {
        agent.metrics.frames_refused.add(1, &[]);
        return;
    };
    info!(agent.log, "ledger of a stopping peer adopted"; "home" => handover.home.to_string(),
        "entries" => handover.entries.len());
    agent.once.take_over(handover);
    let _ = lovagelatch_network::write_frame(stream, first).await;
}
