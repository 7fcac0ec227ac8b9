//! Decisions about new requests under load.
//!
//! This library decides; it reads no clock, opens no socket and starts no thread. Messages and
//! the time come in, actions go out.
//!
//! ```text
//!   request --> PeerPlacement -- own --> RequestGate --> backend server
//!                    |                    | exact count of slots
//!                    |                    | one queue per agency, deficit round robin
//!                    +---- peer --------> | refuses what cannot be met in time
//!                    |                      (relayed; a refusal is proof of not run)
//!   RetryBudget <----+ tries another peer only while the budget lasts
//! ```
//!
//! [`RequestGate`] stands beside one backend server and is the only place that counts its
//! slots. [`PeerPlacement`] picks the gate for a request from the own gate's exact load and the
//! peers' old reports. [`RetryBudget`] and [`AttemptAllowance`] bound the attempts.
//! [`PlacementPolicy`] is the seam between a placement and whoever drives it; [`baseline`]
//! holds the common policies that it is measured against.

pub mod baseline;
mod budget;
mod class;
mod estimate;
mod evidence;
mod explain;
mod gate;
mod health;
mod limit;
mod peers;
mod policy;
mod queue;
mod retry;
mod settings;
mod subset;
mod verdict;
mod weigh;

pub use budget::{AgencyBudgets, AllowanceError, AttemptAllowance, RetryBudget};
pub use explain::GateCost;
pub use gate::RequestGate;
pub use health::{HealthWord, RequestEvidence, believed_word};
pub use peers::PeerPlacement;
pub use policy::{ExchangeEnd, PlacementChoice, PlacementPolicy};
pub use settings::{BudgetSettings, GateSettings, PlacementSettings};
pub use subset::{SUBSET_SIZE, peer_subset};
pub use verdict::{GateAction, GateRequest, GateVerdict, SlotEnd};
