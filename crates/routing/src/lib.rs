//! Chooses the agent that each caller's packet is forwarded to.
//!
//! A packet of an open flow names its agent: its connection ID is a sealed token issued by that
//! agent. Only a packet that opens a flow is placed with this process's view of the fleet.
//! Balancers therefore keep no flow state, and balancers with different views still send all
//! packets of an open flow to the same agent.
//!
//! ```text
//! datagram --> PacketView --token--------> the agent it names   (any view, any balancer)
//!                        \--no token-----> rendezvous hashing over the live targets of the
//!                                          service at the destination address
//! ```
//!
//! This library only makes decisions: it reads no clock and no socket, and a decision allocates
//! nothing.

mod absence;
mod arrival;
mod buckets;
mod builder;
mod directory;
mod hasher;
mod header;
mod packet;
mod ring;
mod router;
mod score;
mod table;
mod view;

pub use absence::{AbsenceTracker, SUSPICION_TIMEOUT};
pub use arrival::{ArrivalDecision, ArrivalPacket, FlowAdmission};
pub use builder::TableBuilder;
pub use header::{HeaderError, HeaderForm, QUIC_VERSION_1, QuicHeader};
pub use packet::{MIN_INITIAL_BYTES, PacketError, PacketView};
pub use ring::{MAX_SCANNED_TARGETS, RingTarget, ServiceRing};
pub use router::{FlowRouter, RouteDecision, RouteRefusal};
pub use table::RoutingTable;
pub use view::ViewChange;
