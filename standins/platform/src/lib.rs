//! A stand-in for the platform's configuration service and instance list, for tests.
//!
//! The system may only read and watch here. Tests publish through `/admin`, and make the
//! service down, stale or slow to list instances:
//!
//! ```text
//! test --PUT /admin/...--> PlatformState <--GET /v1/...-- balancers, agents
//!                             |
//!                             +-- counts every call; a waiting watch is one
//! ```

mod server;
mod state;

pub use server::{PlatformOptions, new_server};
pub use state::{
    CallCounts, ConfigFault, FaultSettings, PlatformState, PublishedConfig, PublishedRevision,
};
