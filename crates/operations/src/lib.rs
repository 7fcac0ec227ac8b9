//! The HTTP interface for operators that every process serves on its operations address.
//!
//! | path | response |
//! |---|---|
//! | `/health` | 200 while serving, 503 while starting or leaving; the state as JSON |
//! | `/status` | [`ProcessStatus`] as JSON |
//! | `/explain/flow?address=IP:PORT&key=HEX` | [`FlowExplanation`] as JSON |
//! | `/explain/request` | an agent's [`GateCost`](lovagelatch_placement::GateCost)s as JSON, the lowest first |
//! | `/metrics` | all metrics as Prometheus text |
//! | `/` | the status page for phones: the fleet as this instance knows it, and a form to check a service text |
//!
//! There is no central control instance: each instance reports what it knows and how old that
//! knowledge is. The interface is read-only: the page shows what a text would change, but the
//! text takes effect only when it is stored at the platform.

mod explain;
mod opaque;
mod page;
mod ready;
mod reload;
mod server;
mod start;
mod status;

pub use explain::{FlowCandidate, FlowExplanation};
pub use opaque::{OpaqueError, bind_datagram_socket, serve_opaque, start_packet_thread};
pub use ready::{OpaqueInspector, ReadyFlag};
pub use reload::SettingsWatcher;
pub use server::{OperationsError, OperationsServer};
pub use start::{ignore_hangup, run_on_one_thread, run_on_threads};
pub use status::{ProcessIdentity, ProcessPhase, ProcessStatus, ServiceStatus};
