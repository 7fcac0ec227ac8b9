//! What the users' store publishes, and how balancers learn it.
//!
//! This library decides; it reads no clock, opens no socket and starts no thread. Answers of the
//! store, messages and the time come in; calls, messages and new catalogs go out.
//!
//! ```text
//! store --(two readers, drawn by lot)--> balancer <--heads, asks, answers--> balancer
//!                                           |
//!                                        Catalog: routes, targets, evacuated zones
//! ```
//!
//! Only balancers are members. An agent needs no catalog: each frame that it may have to pass on
//! names the agents to try next.

mod answer;
mod catalog;
mod member;
mod message;
mod peers;
mod reading;
mod record;
mod stops;
mod table;

pub use answer::{StoreAnswer, StoreCall, StoreEvent, StoreFailure};
pub use catalog::{Catalog, CatalogChanges, CatalogError, CatalogKeeper};
pub use member::{
    CatalogAction, CatalogMember, CatalogNotice, CatalogStatus, MEMBER_TICK, MemberSettings,
};
pub use message::{CatalogDelta, CatalogHead, CatalogMessage, ConfigDelta, HeadMessage};
pub use reading::{RETRY_LIMIT, RETURN_SPAN, WATCH_WAIT};
pub use record::{
    EvacuatedZone, PublishedConfig, PublishedRoute, PublishedTarget, RouteShare, TargetName,
    TargetRow, TargetStart, WarmupRule,
};
pub use stops::{AgentStop, RESTART_SPAN, StopList, StopNews};
