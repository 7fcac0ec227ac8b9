//! What people write: the operators' service text and the settings of each process.
//!
//! Both are INI. Every fault of a text is reported at once, each with its line and with what to
//! write instead, because an operator who mends a text from a phone should not have to send it
//! five times to hear of five faults.

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
