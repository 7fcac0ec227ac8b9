//! Runs the membership library in a process: reads from the platform, exchanges messages with
//! peers, and publishes the latest view for all threads.
//!
//! ```text
//! platform (read only) --HTTP--> FleetClient <--UDP, TCP--> peers
//!                                    |
//!                                    v
//!                          Arc<FleetView>, replaced atomically
//! ```

mod client;
mod clock;
mod exchange;
mod inbox;
mod notice;
mod platform;
mod traffic;

pub use client::{FleetClient, FleetRole, FleetSetup};
pub use clock::ProcessClock;
pub use lovagelatch_membership::FleetStatus;
pub use platform::{PlatformError, PlatformReader, PublishedConfig};
pub use traffic::TrafficKind;
