//! What every process serves to operators by HTTP on its operations address.
//!
//! | path | answer |
//! |---|---|
//! | `/health` | 200 while serving, 503 while starting or leaving; the state as JSON |
//! | `/status` | [`ProcessStatus`] as JSON |
//! | `/explain/flow?address=IP:PORT&key=HEX` | [`FlowExplanation`] as JSON |
//! | `/explain/request` | an agent's [`GateCost`](lovagelatch_placement::GateCost)s as JSON, the least first |
//! | `/metrics` | all metrics as Prometheus text |
//! | `/` | the phone page: the fleet as this instance knows it, and a check of a text |
//!
//! No instance is set aside for control, so any of them answers for what it knows and says how
//! old that knowledge is. Nothing here changes anything: the page shows what accepting a text
//! would do, and accepting happens at the platform.

mod carrier;
mod explain;
mod page;
mod ready;
mod reload;
mod server;
mod start;
mod status;

pub use carrier::{CarrierError, open_datagrams, serve_carrier, start_packet_thread};
pub use explain::{FlowCandidate, FlowExplanation};
pub use ready::{CarrierAnswers, ReadyFlag};
pub use reload::SettingsWatch;
pub use server::{OperationsError, OperationsServer};
pub use start::{ignore_hangup, run_on_one_thread, run_on_threads};
pub use status::{ProcessIdentity, ProcessPhase, ProcessStatus, ServiceStatus};
