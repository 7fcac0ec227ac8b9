//! Which agent a caller's packet goes to.
//!
//! A packet of an open flow names its own agent: the connection ID that it carries was issued
//! by that agent as a sealed token. Only a packet that opens a flow is placed by this process's
//! view of the fleet. So no balancer keeps flow state, and balancers whose views differ still
//! send every packet of an open flow to the same agent.
//!
//! ```text
//! datagram --> PacketView --token--------> the agent it names   (any view, any balancer)
//!                        \--no token-----> rendezvous hashing over the live targets of the
//!                                          service that the address leads to
//! ```
//!
//! The library decides only: it reads no clock and no socket, and a decision allocates nothing.

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

pub use absence::{AbsenceTracker, SUSPICION_LIMIT};
pub use arrival::{ArrivalDecision, ArrivalPacket, FlowHolding};
pub use builder::TableBuilder;
pub use header::{HeaderFault, HeaderForm, QUIC_VERSION_1, QuicHeader};
pub use packet::{MIN_INITIAL_BYTES, PacketFault, PacketView};
pub use ring::{BUCKET_BOUND, RingTarget, ServiceRing};
pub use router::{FlowRouter, RouteDecision, RouteRefusal};
pub use table::RoutingTable;
pub use view::ViewChange;
