//! A request, and a filing that must run at most once.
//!
//! ```text
//! caller --call--> holder --relay stream--> gate --> backend server
//!                    | ticket names another home: relay to it, its ledger decides
//! ```
//!
//! The fakes hold what the agent's tasks hold (who waits for what, timers, streams, the fake
//! backend server); gates, placement, budgets, ledgers, tickets and frames are the shipped ones.

mod agent;
mod backend;
mod caller;
mod exchange;
mod job;
mod relay;
mod serve;
mod strike;
mod ticket;
mod world;

pub use world::RequestWorld;

use crate::history::MatrixHistory;
use crate::plan::FaultPlan;

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// The relay stream breaks.
    StreamBroken,
    /// What one side of the relay stream sends no longer arrives.
    StreamSilent,
    /// The frames of relay streams come 300 ms late.
    FramesLate,
    /// The holder does not reach the gate, and the other way round it does.
    CutOneWay,
    /// Holder and gate do not reach each other.
    CutBothWays,
    /// The holder stops for longer than the deadline.
    HolderPaused,
    /// The gate's agent stops for longer than the deadline.
    GatePaused,
    /// The holder dies; a successor starts.
    HolderKilled,
    /// The gate's agent dies; a successor starts; the backend server runs on.
    GateKilled,
    /// The gate's backend server dies; another listens at its address at once.
    BackendKilled,
    /// The backend server refuses what its gate lets in.
    BackendSheds,
    /// The backend server needs ten times as long.
    BackendSlow,
    /// Requests reach the backend server 300 ms late.
    HandoverLate,
    /// The next answer bears another attempt's number.
    CrossedAnswer,
    /// The next answer is lost on its way to the agent.
    LostAnswer,
    /// The next answer is lost on its way to the caller.
    UntoldAnswer,
    /// Cancellations are lost.
    LostCancel,
    /// A caller closes its flow while its call is under way.
    CallerGone,
    /// The holder is leaving.
    HolderLeaving,
    /// The gate is leaving.
    GateLeaving,
    /// The gate's address passes to an instance of another service.
    GateMoved,
    /// The home stops as planned and hands its ledger over.
    HomeStops,
    /// As above, and the handover to every second peer is lost.
    HandoverLost,
    /// As above, and the handover comes late and twice.
    HandoverTwice,
    /// The home dies; a successor starts at its address.
    HomeKilled,
    /// The home stops for longer than a ticket lives.
    HomePausedLong,
    /// Relay streams are replayed: all frames come twice.
    FramesTwice,
    /// The key generation of open tickets is no longer valid at the holder.
    KeyDropped,
}

/// What may strike a plain request.
pub const REQUEST_FAULTS: [RequestFault; 21] = [
    RequestFault::StreamBroken,
    RequestFault::StreamSilent,
    RequestFault::FramesLate,
    RequestFault::CutOneWay,
    RequestFault::CutBothWays,
    RequestFault::HolderPaused,
    RequestFault::GatePaused,
    RequestFault::HolderKilled,
    RequestFault::GateKilled,
    RequestFault::BackendKilled,
    RequestFault::BackendSheds,
    RequestFault::BackendSlow,
    RequestFault::HandoverLate,
    RequestFault::CrossedAnswer,
    RequestFault::LostAnswer,
    RequestFault::UntoldAnswer,
    RequestFault::LostCancel,
    RequestFault::CallerGone,
    RequestFault::HolderLeaving,
    RequestFault::GateLeaving,
    RequestFault::GateMoved,
];

/// What may strike a filing.
pub const FILING_FAULTS: [RequestFault; 22] = [
    RequestFault::StreamBroken,
    RequestFault::StreamSilent,
    RequestFault::FramesLate,
    RequestFault::FramesTwice,
    RequestFault::CutOneWay,
    RequestFault::CutBothWays,
    RequestFault::HolderPaused,
    RequestFault::GatePaused,
    RequestFault::HolderKilled,
    RequestFault::GateKilled,
    RequestFault::BackendKilled,
    RequestFault::BackendSlow,
    RequestFault::LostAnswer,
    RequestFault::UntoldAnswer,
    RequestFault::LostCancel,
    RequestFault::CallerGone,
    RequestFault::HomeStops,
    RequestFault::HandoverLost,
    RequestFault::HandoverTwice,
    RequestFault::HomeKilled,
    RequestFault::HomePausedLong,
    RequestFault::KeyDropped,
];

/// The steps of a request, as the world reaches them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// It arrives at the holder.
    Offered,
    /// Its head arrives at a peer.
    Relayed,
    /// The peer's word that it is ready arrives at the holder.
    Ready,
    /// The end of its body arrives at the peer.
    HandedOver,
    /// It waits in a gate.
    Queued,
    /// The backend server starts it.
    Started,
    /// Its answer arrives at the gate's agent.
    Answered,
    /// Its answer starts to arrive at the holder.
    Returned,
    /// The caller is told.
    Told,
}

/// All of them, in order.
pub const REQUEST_STEPS: [RequestStep; 9] = [
    RequestStep::Offered,
    RequestStep::Relayed,
    RequestStep::Ready,
    RequestStep::HandedOver,
    RequestStep::Queued,
    RequestStep::Started,
    RequestStep::Answered,
    RequestStep::Returned,
    RequestStep::Told,
];

/// What keeps the promises; each can be switched off.
#[derive(Clone, Copy, Debug)]
pub struct RequestMechanisms {
    /// The end of the body is sent only after the peer's word that it is ready.
    pub ready: bool,
    /// What may have run is not sent again.
    pub unknown_is_final: bool,
    /// Only a confirmed cancellation is proof of not run.
    pub cancel_proof: bool,
    /// A cancellation is proof only from the server process that was given the request: while
    /// the connection that carried it is whole.
    pub same_server: bool,
    /// Answers are matched by their attempt.
    pub matching: bool,
    /// An answer without its end is told as broken off.
    pub whole_answers: bool,
    /// A gate refuses requests of another service.
    pub service_check: bool,
    /// The ledger decides whether a filing runs.
    pub ledger: bool,
    /// A ledger closes before it is handed over.
    pub closing: bool,
    /// Tickets of a key generation that a holder does not have end unknown.
    pub unread_is_unknown: bool,
}

impl Default for RequestMechanisms {
    fn default() -> Self {
        Self {
            ready: true,
            unknown_is_final: true,
            cancel_proof: true,
            same_server: true,
            matching: true,
            whole_answers: true,
            service_check: true,
            ledger: true,
            closing: true,
            unread_is_unknown: true,
        }
    }
}

/// Plays plain requests under the faults of a plan.
#[must_use]
pub fn play_requests(
    plan: &FaultPlan<RequestFault, RequestStep>,
    mechanisms: RequestMechanisms,
) -> MatrixHistory {
    RequestWorld::new(plan.clone(), mechanisms).play(false)
}

/// Plays filings, each tried several times and from several agents, under the faults of a plan.
#[must_use]
pub fn play_filings(
    plan: &FaultPlan<RequestFault, RequestStep>,
    mechanisms: RequestMechanisms,
) -> MatrixHistory {
    RequestWorld::new(plan.clone(), mechanisms).play(true)
}
