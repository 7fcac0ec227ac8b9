//! Sends packets to other processes, directly or through a gateway.
//!
//! On some networks an instance's packets leave through a gateway that needs their destination
//! and the source address they should carry. An agent that answers from a service address it
//! does not own needs such a gateway. Both addresses are in a PROXY protocol version 2 header
//! before each datagram and at the start of each TCP stream:
//!
//! ```text
//! without:  process --------------- datagram ---------------> destination
//! with:     process -- PROXY v2 (source, destination) + datagram --> gateway --> destination
//! ```

mod address;
mod batch;
mod header;
mod http;
mod option;
mod path;
mod stream;
mod wait;

pub use crate::http::{HttpClient, HttpError};
pub use address::{empty_sockaddr, from_sockaddr, sockaddr_length};
pub use batch::{
    BATCH_DATAGRAMS, BUFFER_BYTES, ReceiveBatch, ReceivedDatagram, SendBatch,
    enable_destination_info,
};
pub use header::{HEADER_BYTES, HeaderError, PacketEnds, parse_header, write_header};
pub use option::enable_option;
pub use path::{DatagramPath, StreamPath};
pub use stream::{read_frame, write_frame};
pub use wait::wait_readable;
