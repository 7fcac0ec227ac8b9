//! What people write: the operators' service text and the settings of each process.
//!
//! Both are INI. Every fault of a text is reported at once, each with its line and with what to
//! write instead, because an operator who mends a text from a phone should not have to send it
//! five times to hear of five faults.

mod document;
mod fault;
mod plan;
mod process;
mod text;

pub use document::MAX_SETTINGS_BYTES;
pub use fault::{FaultList, SettingFault, TextFault, TextFaultKind};
pub use plan::{PlanChange, PlanRisk, TextPlan};
pub use process::{
    AddressBlock, AgentSettings, BalancerSettings, CommonSettings, FieldName, IngressKind,
    LimitSettings, read_settings,
};
pub use text::{MAX_TEXT_BYTES, OnceRoute, ServiceAddress, ServiceEntry, ServiceText};
