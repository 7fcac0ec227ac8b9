//! The seam between a placement and whoever drives it.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport, RefusalReason};

/// Where a request shall go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementChoice {
    /// To the gate beside the agent that decides.
    Own,
    /// To the gate of this peer.
    Peer(AgentAddress),
    /// Nowhere: it was not run.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// How an exchange with a peer ended, as measured by the agent that sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The peer answered.
    Answered {
        /// Time from sending the request to the head of the answer.
        took: Duration,
        /// The peer's load, when it came with the answer: younger than any heartbeat's.
        report: Option<GateReport>,
    },
    /// The peer's gate refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When it said to come back.
        retry_after: Duration,
    },
    /// Nothing came back: a timeout or a broken connection.
    Lost,
}

/// A way to pick the gate for a new request.
pub trait PlacementPolicy {
    /// Picks a gate. `own` is the own gate's load now; `peers` holds each peer's newest report;
    /// `tried` lists the gates that refused this request already, the own one included.
    fn choose(
        &mut self,
        own: &GateReport,
        peers: &[PeerReport],
        tried: &[AgentAddress],
        time_left: Duration,
        now: Moment,
    ) -> PlacementChoice;

    /// Notes that a request was sent to a peer.
    fn sent(&mut self, peer: AgentAddress, now: Moment);

    /// Notes that a request sent to a peer ended, however.
    fn ended(&mut self, peer: AgentAddress, now: Moment);

    /// Notes how an exchange with a peer ended; called besides `ended`.
    fn observed(&mut self, peer: AgentAddress, end: ExchangeEnd, now: Moment);
}
