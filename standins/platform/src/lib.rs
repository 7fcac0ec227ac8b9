//! A stand-in for the platform's configuration service and instance list, for tests.
//!
//! The system may only read and watch. Tests publish through `/admin`, and can make the
//! configuration service unavailable or stale, and the instance list lag:
//!
//! ```text
//! test --PUT /admin/...--> PlatformState <--GET /v1/...-- balancers, agents
//!                             |
//!                             +-- counts every call; a pending watch is one call
//! ```

mod server;
mod state;

pub use server::{PlatformOptions, new_server};
pub use state::{
    CallCounts, ConfigFault, FaultSettings, PlatformState, PublishedConfig, PublishedRevision,
};
