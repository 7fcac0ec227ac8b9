//! A randomized fault soak of the real programs on opaque packets.
//!
//! The soak starts balancers and agents as separate processes, each on a loopback address of its
//! own. It provides the callers, backend servers, routers and the store itself. Faults are injected
//! from outside: processes receive signals, and proxies disturb the connections to the store and
//! between processes. The observations of callers and backend servers are checked during the run.
//!
//! ```text
//! clients --UDP--> balancers --UDP--> [proxy] --UDP--> agents --UDP--> targets
//!    ^                 |                                  |
//!    |              [proxy] -- store                      |
//!    +----------------------------------------------------+
//! ```
//!
//! The soak signals only processes that it started, by their process ids.

mod addresses;
mod availability;
mod capacity;
mod check;
mod client;
mod event;
mod fault;
mod fleet;
mod load;
mod load_check;
mod process;
mod proxy;
mod router;
mod run;
mod segment;
mod target;
mod timeline;

pub use addresses::RunNetwork;
pub use check::SoakLog;
pub use event::{LoadFigures, SoakEvent, SoakFinding, StartNumber};
pub use fault::{SOAK_FAULTS, ScheduledFault, SoakFault, SoakPlan};
pub use run::{SoakError, SoakReport, SoakSettings, run_soak};
