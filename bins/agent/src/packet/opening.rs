//! Flows that are opening: where their handshakes were sent.
//!
//! A client's first flight may be several datagrams, and lost ones are sent again. If the
//! decision to hand a flow on were taken anew for each, load that changes in between would send
//! half a handshake to one agent and half to another, and neither could finish it. So the first
//! decision holds for as long as a handshake may take.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

/// How long a decision holds. A client gives a handshake up after about ten seconds.
const HOLD: Duration = Duration::from_secs(10);

/// Decisions remembered. A flood of first packets beyond it costs new flows their stickiness,
/// never memory.
const MAX_OPENINGS: usize = 16 * 1024;

/// How often expired decisions are taken out.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

type FlowKey = SmallVec<[u8; 20]>;

/// Where a flow's handshake goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpeningPlace {
    /// This agent's own endpoint.
    Here,
    /// A peer.
    Peer(AgentAddress),
}

#[derive(Clone, Copy, Debug)]
struct Opening {
    place: OpeningPlace,
    since: Moment,
}

/// The decisions of the last seconds, by the connection ID that the client chose.
#[derive(Debug, Default)]
pub(crate) struct OpeningTable {
    openings: HashMap<FlowKey, Opening>,
    swept: Moment,
}

impl OpeningTable {
    pub(crate) fn find(&mut self, key: &[u8], now: Moment) -> Option<OpeningPlace> {
        self.sweep(now);
        let opening = self.openings.get(key)?;
        (now.since(opening.since) < HOLD).then_some(opening.place)
    }

    pub(crate) fn note(&mut self, key: &[u8], place: OpeningPlace, now: Moment) {
        if self.openings.len() < MAX_OPENINGS {
            let opening = Opening { place, since: now };
            self.openings.insert(FlowKey::from_slice(key), opening);
        }
    }

    fn sweep(&mut self, now: Moment) {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.openings
            .retain(|_, opening| now.since(opening.since) < HOLD);
    }
}
