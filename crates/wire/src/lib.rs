//! Messages between the system's own processes.
//!
//! Every message travels in a *frame*: over UDP one frame a datagram, over TCP one frame after
//! the other, each behind its length. A frame names its wire version, so that old and new
//! processes can run side by side during an upgrade, and carries a tag made with the fleet
//! key, so that nobody else can speak to our processes.
//!
//! ```text
//! version 1 | kind 1 | key generation 1 | payload (postcard, then raw bytes) | tag 16
//! ```
//!
//! The sender's address, where it matters, stands in the payload: the source address of a
//! datagram is never trusted, since a gateway may stand between.

mod forward;
mod frame;
mod relay;

pub use forward::{ForwardHeader, MAX_DATAGRAM_BYTES, open_forward, seal_forward};
pub use frame::{
    FRAME_OVERHEAD_BYTES, FrameError, FrameKind, MAX_STREAM_FRAME_BYTES, OpenedFrame, WIRE_VERSION,
    open_frame, open_message, seal_frame, seal_message,
};
pub use relay::{RelayHead, RelayMessage, RelayRequest, WireHeader};
