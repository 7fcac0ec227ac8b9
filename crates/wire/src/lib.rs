//! Messages between the processes of the fleet.
//!
//! Every message is sent in a *frame*: one frame per datagram over UDP, length-prefixed frames over
//! TCP. A frame carries its wire version, so that old and new processes can run side by side during
//! an upgrade, and a tag made with the fleet key, so that only processes of the fleet can send
//! valid frames.
//!
//! ```text
//! version 1 | kind 1 | key generation 1 | payload (postcard, then raw bytes) | tag 16
//! ```
//!
//! Where the sender's address matters, it is part of the payload. The source address of a datagram
//! is never trusted, because a gateway may be in between.

mod forward;
mod frame;
mod relay;

pub use forward::{ForwardHeader, MAX_DATAGRAM_BYTES, open_forward, seal_forward};
pub use frame::{
    FRAME_OVERHEAD_BYTES, FrameError, FrameKind, MAX_STREAM_FRAME_BYTES, OpenedFrame, WIRE_VERSION,
    open_frame, open_message, seal_frame, seal_message,
};
pub use relay::{RelayHead, RelayMessage, RelayRequest, WireHeader};
