//! The catalog of routes and targets that the users' store publishes, and its distribution among
//! balancers.
//!
//! The crate does no I/O: it reads no clock, opens no socket and starts no thread. Its inputs are
//! store answers, messages and the time; its outputs are store calls, messages and new catalogs.
//!
//! ```text
//! store ----(two elected readers)----> balancer <---Head, Ask, Answer----> balancer
//!                                           |
//!                                        Catalog: routes, targets, evacuated zones
//! ```
//!
//! Only balancers are members. An agent needs no catalog: each frame that it may have to forward
//! lists the agents to try next.

mod answer;
mod catalog;
mod era;
mod member;
mod message;
mod peers;
mod reader;
mod record;
mod stops;
mod table;
mod unusable;
mod verification;

pub use answer::{StoreAnswer, StoreCall, StoreEvent, StoreFailure};
pub use catalog::{Catalog, CatalogChanges, CatalogError, CatalogTables};
pub use member::{
    CatalogAction, CatalogMember, CatalogNotice, CatalogStatus, MAX_REFUSED_NOTICES, MEMBER_TICK,
    MemberSettings,
};
pub use message::{
    CatalogDelta, CatalogHead, CatalogMessage, ConfigDelta, HeadMessage, MessageError,
};
pub use reader::{MAX_RETRY_BACKOFF, RECOVERY_WINDOW, ReadReason, WATCH_WAIT};
pub use record::{
    EvacuatedZone, PublishedConfig, PublishedRoute, PublishedTarget, RequestPolicy, RouteShare,
    TargetName, TargetRow, TargetStart, WarmupRule,
};
pub use stops::{AgentStop, RESTART_GRACE, STOP_REPEAT_WINDOW, StopList, StopUpdate};
pub use unusable::{MAX_UNUSABLE_VALUES, UnusableValue, ValueDefault, ValueOwner};
