//! Simulated requests, and filings, which must run at most once.
//!
//! ```text
//! caller --call--> holder --relay stream--> gate --> backend server
//!                    | the ticket names another home: relay there, its ledger decides
//! ```
//!
//! The fakes replace the agent's tasks: waiters, timers, streams and the backend server. Gates,
//! placement, budgets, ledgers, tickets and frames are those of the shipped libraries.

mod agent;
mod backend;
mod caller;
mod exchange;
mod fault;
mod job;
mod relay;
mod serve;
mod ticket;
mod world;

pub use world::RequestWorld;

use crate::history::MatrixHistory;
use crate::plan::FaultPlan;

/// A fault that can be injected into a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// A relay stream breaks.
    StreamBroken,
    /// Frames from one side of a relay stream no longer arrive.
    StreamSilent,
    /// The frames of relay streams are delayed by 300 ms.
    FramesDelayed,
    /// The holder cannot reach the gate, but the gate can reach the holder.
    PartitionOneWay,
    /// The holder and the gate cannot reach each other.
    PartitionBothWays,
    /// The holder pauses for longer than the deadline.
    HolderPaused,
    /// The gate's agent pauses for longer than the deadline.
    GatePaused,
    /// The holder is killed and restarts.
    HolderKilled,
    /// The gate's agent is killed and restarts, while its backend server keeps running.
    GateKilled,
    /// The gate's backend server is killed; another one listens at its address at once.
    BackendKilled,
    /// The backend server sheds the requests that its gate admits.
    BackendSheds,
    /// Backend servers take ten times as long.
    BackendSlow,
    /// Requests reach the backend servers 300 ms late.
    BackendRequestsDelayed,
    /// The next response carries the number of another attempt.
    CrossedResponse,
    /// The next response is lost on its way from the backend server to the agent.
    LostBackendResponse,
    /// The next response is lost on its way from the agent to the caller.
    LostCallerResponse,
    /// Cancellations are lost.
    LostCancel,
    /// A caller closes its flow while its call is in flight.
    CallerGone,
    /// The holder starts leaving.
    HolderLeaving,
    /// The gate starts leaving.
    GateLeaving,
    /// The gate's agent and backend server are replaced by an instance of another service at the
    /// same address.
    GateAddressReused,
    /// The home shuts down gracefully, hands its ledger over, and later does so again.
    HomeShutdown,
    /// As `HomeShutdown`, and both handovers to every second peer are lost.
    LedgerHandoverLost,
    /// As `HomeShutdown`, and both handovers arrive late and twice.
    LedgerHandoverDuplicated,
    /// As `HomeShutdown`, and the second handover to every second peer is lost.
    LedgerRepeatLost,
    /// As `LedgerRepeatLost`, and the first handover arrives late and twice.
    LedgerLateAndRepeatLost,
    /// The home is killed and restarts at its address.
    HomeKilled,
    /// The home pauses for longer than the lifetime of a ticket.
    HomePausedLong,
    /// All frames of relay streams are delivered twice, as in a replay.
    FramesDuplicated,
    /// The key generation of issued tickets is dropped by every agent except the home.
    KeyGenerationDropped,
}

/// The faults that are injected into plain requests.
pub const REQUEST_FAULTS: [RequestFault; 21] = [
    RequestFault::StreamBroken,
    RequestFault::StreamSilent,
    RequestFault::FramesDelayed,
    RequestFault::PartitionOneWay,
    RequestFault::PartitionBothWays,
    RequestFault::HolderPaused,
    RequestFault::GatePaused,
    RequestFault::HolderKilled,
    RequestFault::GateKilled,
    RequestFault::BackendKilled,
    RequestFault::BackendSheds,
    RequestFault::BackendSlow,
    RequestFault::BackendRequestsDelayed,
    RequestFault::CrossedResponse,
    RequestFault::LostBackendResponse,
    RequestFault::LostCallerResponse,
    RequestFault::LostCancel,
    RequestFault::CallerGone,
    RequestFault::HolderLeaving,
    RequestFault::GateLeaving,
    RequestFault::GateAddressReused,
];

/// The faults that are injected into filings.
pub const FILING_FAULTS: [RequestFault; 24] = [
    RequestFault::StreamBroken,
    RequestFault::StreamSilent,
    RequestFault::FramesDelayed,
    RequestFault::FramesDuplicated,
    RequestFault::PartitionOneWay,
    RequestFault::PartitionBothWays,
    RequestFault::HolderPaused,
    RequestFault::GatePaused,
    RequestFault::HolderKilled,
    RequestFault::GateKilled,
    RequestFault::BackendKilled,
    RequestFault::BackendSlow,
    RequestFault::LostBackendResponse,
    RequestFault::LostCallerResponse,
    RequestFault::LostCancel,
    RequestFault::CallerGone,
    RequestFault::HomeShutdown,
    RequestFault::LedgerHandoverLost,
    RequestFault::LedgerHandoverDuplicated,
    RequestFault::HomeKilled,
    RequestFault::HomePausedLong,
    RequestFault::KeyGenerationDropped,
    RequestFault::LedgerRepeatLost,
    RequestFault::LedgerLateAndRepeatLost,
];

/// A step of a request before which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// The request arrives at the holder.
    Arrived,
    /// Its head arrives at a peer.
    Relayed,
    /// The peer's `Ready` frame arrives at the holder.
    Ready,
    /// The end of its body arrives at the peer.
    BodyReceived,
    /// The request is queued in a gate.
    Queued,
    /// The backend server starts the request.
    Started,
    /// Its response arrives at the gate's agent.
    Responded,
    /// The head of its response arrives at the holder.
    ResponseRelayed,
    /// The outcome arrives at the caller.
    Completed,
}

/// Every [`RequestStep`], in the order in which a request reaches them.
pub const REQUEST_STEPS: [RequestStep; 9] = [
    RequestStep::Arrived,
    RequestStep::Relayed,
    RequestStep::Ready,
    RequestStep::BodyReceived,
    RequestStep::Queued,
    RequestStep::Started,
    RequestStep::Responded,
    RequestStep::ResponseRelayed,
    RequestStep::Completed,
];

/// The mechanisms that the guarantees depend on.
///
/// Tests disable them one at a time to verify that the checks detect it.
#[derive(Clone, Copy, Debug)]
pub struct RequestMechanisms {
    /// The end of the body is sent only after the peer's `Ready` frame.
    pub await_ready: bool,
    /// A request that may have run is not retried.
    pub unknown_is_final: bool,
    /// Only a confirmed cancellation proves that a request has not run.
    pub confirmed_cancel: bool,
    /// A cancellation counts only if it is confirmed by the server process that received the
    /// request, over the connection that carried it.
    pub same_server_cancel: bool,
    /// Responses are matched to requests by their attempt.
    pub attempt_matching: bool,
    /// A response without its end is reported to the caller as truncated.
    pub complete_responses: bool,
    /// A gate refuses requests of another service.
    pub service_check: bool,
    /// The ledger of the home decides whether a filing runs.
    pub ledger: bool,
    /// A ledger is closed before it is handed over.
    pub close_before_handover: bool,
    /// A filing whose ticket is sealed with a key generation that the holder lacks ends with an
    /// unknown outcome.
    pub unreadable_is_unknown: bool,
}

impl Default for RequestMechanisms {
    fn default() -> Self {
        Self {
            await_ready: true,
            unknown_is_final: true,
            confirmed_cancel: true,
            same_server_cancel: true,
            attempt_matching: true,
            complete_responses: true,
            service_check: true,
            ledger: true,
            close_before_handover: true,
            unreadable_is_unknown: true,
        }
    }
}

/// Simulates plain requests while injecting the faults of a plan.
#[must_use]
pub fn run_requests(
    plan: &FaultPlan<RequestFault, RequestStep>,
    mechanisms: RequestMechanisms,
) -> MatrixHistory {
    RequestWorld::new(plan.clone(), mechanisms).run(false)
}

/// Simulates filings besides the plain requests while injecting the faults of a plan. Each filing
/// is submitted several times and through several agents.
#[must_use]
pub fn run_filings(
    plan: &FaultPlan<RequestFault, RequestStep>,
    mechanisms: RequestMechanisms,
) -> MatrixHistory {
    RequestWorld::new(plan.clone(), mechanisms).run(true)
}
