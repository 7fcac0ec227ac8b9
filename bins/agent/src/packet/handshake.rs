//! Records where the handshakes of new flows are sent.
//!
//! A client's first flight may consist of several datagrams, and lost ones are retransmitted. If
//! each were routed anew, a load change in between would send half a handshake to one agent and
//! half to another, and neither could complete it. So the first decision holds for as long as a
//! handshake may take.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

/// How long a decision holds. A client abandons a handshake after about ten seconds.
const HANDSHAKE_TTL: Duration = Duration::from_secs(10);

/// Largest number of recorded decisions. Under a flood of first packets, the decisions of further
/// new flows are not recorded; memory stays bounded.
const MAX_HANDSHAKES: usize = 16 * 1024;

/// How often expired decisions are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

type FlowKey = SmallVec<[u8; 20]>;

/// Where a flow's handshake is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandshakeRoute {
    /// This agent's endpoint.
    Local,
    /// A peer that the agent forwards the flow to.
    Peer(AgentAddress),
}

#[derive(Clone, Copy, Debug)]
struct HandshakeEntry {
    route: HandshakeRoute,
    recorded_at: Moment,
}

/// The recent decisions, by the connection ID that the client chose.
#[derive(Debug, Default)]
pub(crate) struct HandshakeTable {
    handshakes: HashMap<FlowKey, HandshakeEntry>,
    last_sweep: Moment,
}

impl HandshakeTable {
    pub(crate) fn find(&mut self, key: &[u8], now: Moment) -> Option<HandshakeRoute> {
        self.sweep(now);
        let entry = self.handshakes.get(key)?;
        (now.since(entry.recorded_at) < HANDSHAKE_TTL).then_some(entry.route)
    }

    pub(crate) fn record(&mut self, key: &[u8], route: HandshakeRoute, now: Moment) {
        if self.handshakes.len() < MAX_HANDSHAKES {
            let entry = HandshakeEntry {
                route,
                recorded_at: now,
            };
            self.handshakes.insert(FlowKey::from_slice(key), entry);
        }
    }

    fn sweep(&mut self, now: Moment) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.handshakes
            .retain(|_, entry| now.since(entry.recorded_at) < HANDSHAKE_TTL);
    }
}
