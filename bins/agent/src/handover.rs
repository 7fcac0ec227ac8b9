//! Passing the ledger of a stopping agent to a peer.

use std::io;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, PeerReport};
use lovagelatch_ledger::{HandoverState, LedgerHandover};
use lovagelatch_membership::TargetStanding;
use lovagelatch_network::{StreamPath, read_frame, write_frame};
use lovagelatch_telemetry::{info, warn};
use lovagelatch_wire::{FrameKind, MAX_STREAM_FRAME_BYTES, seal_message};

use crate::agent::Agent;

/// Longest time for one peer to take it.
const HANDOVER_WAIT: Duration = Duration::from_secs(1);

/// Peers that get it. Each that has it answers for the tickets itself, so nobody has to ask
/// where the ledger went; several may have it, since none of them ever runs a filing of it.
const MAX_PEERS: usize = 16;

/// Closes the ledger and sends it to the peers that do not leave themselves. Without any it is
/// lost with the process, and its tickets end unknown. An empty ledger is sent too: only with it
/// can a peer say of an unused ticket that nothing ran.
pub(crate) async fn hand_over(agent: &Agent) {
    if !agent.has_once_routes() {
        return;
    }
    let mut handover = agent.once.hand_over();
    let frame = seal_within_limit(agent, &mut handover);
    let sending = successors(agent).into_iter().map(|peer| {
        let sent = tokio::time::timeout(HANDOVER_WAIT, send(agent, peer, &frame));
        async move { matches!(sent.await, Ok(Ok(()))) }
    });
    let sent = futures::future::join_all(sending).await;
    let taken = sent.iter().filter(|taken| **taken).count();
    if taken > 0 {
        info!(agent.log, "ledger handed over"; "peers" => taken,
            "entries" => handover.entries.len());
    } else {
        warn!(agent.log, "ledger not handed over"; "entries" => handover.entries.len());
    }
}

/// All peers that stay: those whose reports are known and those that are only listed. A
/// replacement that was just started, or whose backend server is still starting, takes no new
/// work yet, and yet callers file at it a moment later; without the ledger it can only tell them
/// "unknown" for as long as the list names the home that has ended.
fn successors(agent: &Agent) -> Vec<AgentAddress> {
    let reports = agent.fleet.peer_reports();
    let stays =
        |peer: &&PeerReport| !peer.suspected && peer.report.condition != GateCondition::Leaving;
    let mut peers: Vec<_> = reports
        .iter()
        .filter(stays)
        .map(|peer| peer.agent)
        .collect();
    let view = agent.fleet.view();
    let listed = view.targets(agent.service).iter();
    let unheard = listed.filter(|target| {
        let heard = reports.iter().any(|peer| peer.agent == target.agent);
        target.standing == TargetStanding::Live && target.agent != agent.address() && !heard
    });
    peers.extend(unheard.map(|target| target.agent));
    peers.truncate(MAX_PEERS);
    peers
}

/// A handover travels whole: a successor that held a part of it would say "never run" of the
/// rest. When the answers make it too long for a frame, they are left out; such requests end
/// unknown instead of replayed, and still never run again.
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
    let confirmed = read_frame(&mut stream, MAX_STREAM_FRAME_BYTES).await?;
    if confirmed.as_deref() == Some(frame) {
        Ok(())
    } else {
        Err(io::ErrorKind::InvalidData.into())
    }
}
