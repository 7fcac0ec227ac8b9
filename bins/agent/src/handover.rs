//! Hands the ledger of a stopping agent over to its peers.

use std::io;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, PeerReport};
use lovagelatch_ledger::{HandoverState, LedgerHandover};
use lovagelatch_membership::TargetStanding;
use lovagelatch_network::{StreamPath, read_frame, write_frame};
use lovagelatch_telemetry::{info, warn};
use lovagelatch_wire::{FrameKind, MAX_STREAM_FRAME_BYTES, seal_message};

use crate::agent::Agent;

/// Timeout for a handover to one peer.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers that receive the ledger. Each of them answers for its tickets, so
/// callers need not find out where the ledger went. Several copies are safe, because no peer ever
/// runs a filing from an adopted ledger.
const MAX_SUCCESSORS: usize = 16;

/// Closes the ledger and sends it to the peers that are not leaving. Without such a peer it is
/// lost with the process, and its tickets end unknown. An empty ledger is sent too: only with it
/// can a peer prove that nothing ran for an unused ticket.
pub(crate) async fn hand_over_ledger(agent: &Agent) {
    if !agent.has_once_routes() {
        return;
    }
    let mut handover = agent.once.hand_over();
    let frame = seal_within_limit(agent, &mut handover);
    let sending = successors(agent).into_iter().map(|peer| {
        let sent = tokio::time::timeout(HANDOVER_TIMEOUT, send(agent, peer, &frame));
        async move { matches!(sent.await, Ok(Ok(()))) }
    });
    let sent = futures::future::join_all(sending).await;
    let adopted = sent.iter().filter(|adopted| **adopted).count();
    if adopted > 0 {
        info!(agent.log, "ledger handed over"; "peers" => adopted,
            "entries" => handover.entries.len());
    } else {
        warn!(agent.log, "ledger not handed over"; "entries" => handover.entries.len());
    }
}

/// The peers that are not leaving, including those that are listed but have sent no report yet. A
/// replacement that has just started, or whose backend server is still starting, accepts no work
/// yet, but callers send filings to it soon after. Without the ledger it would answer "unknown" for
/// as long as the list names the stopped home.
fn successors(agent: &Agent) -> Vec<AgentAddress> {
    let reports = agent.fleet.peer_reports();
    let remains =
        |peer: &&PeerReport| !peer.suspected && peer.report.condition != GateCondition::Leaving;
    let mut peers: Vec<_> = reports
        .iter()
        .filter(remains)
        .map(|peer| peer.agent)
        .collect();
    let view = agent.fleet.view();
    let listed = view.targets(agent.service).iter();
    let without_report = listed.filter(|target| {
        let reported = reports.iter().any(|peer| peer.agent == target.agent);
        target.standing == TargetStanding::Live && target.agent != agent.address() && !reported
    });
    peers.extend(without_report.map(|target| target.agent));
    peers.truncate(MAX_SUCCESSORS);
    peers
}

/// Seals the handover into a single frame: a successor with only a part of the ledger would report
/// "never run" for the rest. If the stored responses make it too long for a frame, they are
/// omitted. Such requests end unknown instead of being replayed, and still never run again.
fn seal_within_limit(agent: &Agent, handover: &mut LedgerHandover) -> Vec<u8> {
    let keys = agent.keys.load();
    let frame = seal_message(FrameKind::Ledger, handover, &keys);
    if frame.len() <= MAX_STREAM_FRAME_BYTES {
        return frame;
    }
    let adopted = handover.adopted.iter_mut();
    for entry in adopted.flat_map(|inner| &mut inner.entries) {
        entry.state = HandoverState::Unknown;
    }
    for entry in &mut handover.entries {
        entry.state = HandoverState::Unknown;
    }
    seal_message(FrameKind::Ledger, handover, &keys)
}

async fn send(agent: &Agent, peer: AgentAddress, frame: &[u8]) -> io::Result<()> {
    let common = &agent.settings.common;
    let path = StreamPath::new(common.control.0, common.gateway);
    let mut stream = path.connect(peer.0).await?;
    write_frame(&mut stream, frame).await?;
    let echo = read_frame(&mut stream, MAX_STREAM_FRAME_BYTES).await?;
    if echo.as_deref() == Some(frame) {
        Ok(())
    } else {
        Err(io::ErrorKind::InvalidData.into())
    }
}
