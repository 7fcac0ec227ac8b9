//! Admission control and placement of new requests under load.
//!
//! This library only decides: it reads no clock, opens no socket, and starts no thread. Messages
//! and the time are inputs, actions are outputs.
//!
//! ```text
//!   request --> PeerPlacement -- own --> RequestGate --> backend server
//!                    |                    | exact count of slots
//!                    |                    | one queue per agency, deficit round robin
//!                    +---- peer --------> | refuses what cannot be answered in time
//!                    |                      (relayed; a refusal is proof of not run)
//!   RetryBudget <----+ tries another peer only while the budget lasts
//! ```
//!
//! [`RequestGate`] runs beside one backend server and is the only place that counts its slots.
//! [`PeerPlacement`] picks the gate for a request from the exact load of the local gate and the
//! delayed reports of the peers. [`RetryBudget`] and [`AttemptAllowance`] limit the attempts.
//! [`PlacementPolicy`] is the interface between a placement and its driver; [`baseline`] holds the
//! common policies that it is compared with. [`FairQueue`], [`ServiceEstimate`] and [`SlotLimit`]
//! are public for agents of opaque packets, which share their target between routes.

pub mod baseline;
mod budget;
mod cost;
mod estimate;
mod explain;
mod gate;
mod health;
mod key_queue;
mod limit;
mod peer_stats;
mod peers;
mod policy;
mod queue;
mod retry;
mod settings;
mod subset;
mod verdict;

pub use budget::{AgencyBudgets, AllowanceError, AttemptAllowance, RetryBudget};
pub use estimate::ServiceEstimate;
pub use explain::GateCost;
pub use gate::RequestGate;
pub use health::{HealthStatus, PassiveHealth, trusted_status};
pub use key_queue::QueueKey;
pub use limit::SlotLimit;
pub use peers::PeerPlacement;
pub use policy::{ExchangeOutcome, PlacementChoice, PlacementPolicy};
pub use queue::{DequeueOrder, DequeuedRequest, FairQueue};
pub use settings::{BudgetSettings, GateSettings, PlacementSettings};
pub use subset::{SUBSET_SIZE, peer_subset};
pub use verdict::{GateAction, GateRequest, GateVerdict, SlotOutcome};
