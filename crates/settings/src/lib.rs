//! Parsers for the operators' service text and the settings file of each process.
//!
//! Both are INI. A parser reports all faults of a text at once, each with its line and remedy, so
//! that an operator who edits a text on a phone does not have to submit it once per fault.

mod block;
mod document;
mod fault;
mod file;
mod opaque;
mod plan;
mod process;
mod reader;
mod text;
mod text_reader;

pub use block::AddressBlock;
pub use document::MAX_SETTINGS_BYTES;
pub use fault::{FaultList, SettingFault, TextFault, TextFaultKind};
pub use file::SettingsFile;
pub use opaque::{
    OpaqueAgentSettings, OpaqueBalancerSettings, OpaqueSettings, TrafficKind, TrafficSettings,
};
pub use plan::{PlanChange, PlanRisk, TextPlan};
pub use process::{
    AgentSettings, BalancerSettings, CommonSettings, IngressKind, LimitSettings, SeedList,
};
pub use reader::FieldName;
pub use text::{MAX_TEXT_BYTES, OnceRoute, ServiceAddress, ServiceEntry, ServiceText};
