//! What a process knows of the fleet, and how that knowledge spreads.
//!
//! This library decides; it reads no clock, opens no socket and starts no thread. Messages and
//! the time come in, messages to send and changes of the view come out.

mod view;

pub use view::{FleetView, TargetStanding, ViewTarget};
