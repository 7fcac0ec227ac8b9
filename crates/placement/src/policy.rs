//! The interface between a placement policy and its driver.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport, RefusalReason};

/// Where to send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementChoice {
    /// To the gate beside the deciding agent.
    Own,
    /// To the gate of this peer.
    Peer(AgentAddress),
    /// To no gate: the request was not run.
    Refuse {
        /// Why no gate was chosen.
        reason: RefusalReason,
        /// When the caller should retry.
        retry_after: Duration,
    },
}

/// The outcome of an exchange with a peer, as seen by the agent that sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The peer answered.
    Answered {
        /// Time from sending the request to receiving the head of the answer.
        response_time: Duration,
        /// The load report that came with the answer, if any; more recent than any heartbeat.
        report: Option<GateReport>,
    },
    /// The peer's gate refused the request.
    Refused {
        /// Why the gate refused it.
        reason: RefusalReason,
        /// When the gate suggested a retry.
        retry_after: Duration,
    },
    /// No response arrived: the exchange timed out or the connection broke.
    Lost,
}

/// Picks the gate for a new request.
pub trait PlacementPolicy {
    /// Picks a gate. `own` is the current load of the local gate, `peers` holds the latest report
    /// of each peer, and `tried` lists the gates that have already refused this request, possibly
    /// including the local one.
    fn choose(
        &mut self,
        own: &GateReport,
        peers: &[PeerReport],
        tried: &[AgentAddress],
        time_left: Duration,
        now: Moment,
    ) -> PlacementChoice;

    /// Records that a request was sent to a peer.
    fn record_sent(&mut self, peer: AgentAddress, now: Moment);

    /// Records that a request sent to a peer ended, whatever its outcome.
    fn record_ended(&mut self, peer: AgentAddress, now: Moment);

    /// Records the outcome of an exchange with a peer; called in addition to `record_ended`.
    fn record_outcome(&mut self, peer: AgentAddress, outcome: ExchangeOutcome, now: Moment);
}
