//! How a process reaches others: directly, or through a gateway that every packet leaves by.
//!
//! On some networks an instance's packets leave through a gateway that must be told where they
//! go and from which address they shall appear to come; an agent that answers from a service
//! address it does not own needs one. The gateway is told by a PROXY protocol version 2
//! header, put before each datagram and at the start of each TCP stream:
//!
//! ```text
//! without:  process --------------- datagram ---------------> destination
//! with:     process -- PROXY v2 (source, destination) + datagram --> gateway --> destination
//! ```

mod header;
mod path;
mod stream;

pub use header::{HEADER_BYTES, HeaderError, PacketEnds, open_header, write_header};
pub use path::{DatagramPath, StreamPath};
pub use stream::{read_frame, write_frame};
