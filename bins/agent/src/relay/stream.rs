//! A TCP stream of relay messages.

use std::io;
use std::sync::Arc;

use arc_swap::ArcSwap;
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::{read_frame, write_frame};
use lovagelatch_wire::{
    FrameError, FrameKind, MAX_STREAM_FRAME_BYTES, RelayMessage, open_message, seal_message,
};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Messages read ahead of their use. A slow reader fills it and TCP slows the sender.
const READ_AHEAD: usize = 8;

/// Largest piece of a body in one message, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// Why a stream is of no more use.
#[derive(Debug, Error)]
pub(crate) enum StreamError {
    #[error("stream: {0}")]
    Io(#[from] io::Error),
    #[error("stream: {0}")]
    Frame(#[from] FrameError),
    #[error("stream ended")]
    Ended,
}

/// A stream whose messages are read by a task of their own, so that waiting for one can be
/// given up at any moment without losing half of it.
#[derive(Debug)]
pub(crate) struct RelayStream {
    writer: OwnedWriteHalf,
    messages: mpsc::Receiver<Result<RelayMessage, StreamError>>,
    reader: AbortHandle,
    keys: Arc<ArcSwap<FleetKeys>>,
    /// When it was last used.
    pub(crate) used: Instant,
}

impl RelayStream {
    pub(crate) fn new(stream: TcpStream, keys: Arc<ArcSwap<FleetKeys>>) -> Self {
        let (read_half, writer) = stream.into_split();
        let (sender, messages) = mpsc::channel(READ_AHEAD);
        let reader = tokio::spawn(read_messages(read_half, sender, Arc::clone(&keys)));
        Self {
            writer,
            messages,
            reader: reader.abort_handle(),
            keys,
            used: Instant::now(),
        }
    }

    pub(crate) async fn send(&mut self, message: &RelayMessage) -> Result<(), StreamError> {
        let frame = seal_message(FrameKind::Relay, message, &self.keys.load());
        write_frame(&mut self.writer, &frame).await?;
        Ok(())
    }

    /// Sends a body in pieces, each wrapped by `wrap`.
    pub(crate) async fn send_pieces(
        &mut self,
        bytes: &[u8],
        wrap: fn(Vec<u8>) -> RelayMessage,
    ) -> Result<(), StreamError> {
        for piece in bytes.chunks(PIECE_BYTES) {
            self.send(&wrap(piece.to_vec())).await?;
        }
        Ok(())
    }

    /// The next message. May be given up and called again.
    pub(crate) async fn receive(&mut self) -> Result<RelayMessage, StreamError> {
        let message = self.messages.recv().await;
        message.unwrap_or(Err(StreamError::Ended))
    }

    /// Whether nothing was heard on it, not even its end, since its last use.
    pub(crate) fn is_quiet(&mut self) -> bool {
        matches!(
            self.messages.try_recv(),
            Err(mpsc::error::TryRecvError::Empty)
        )
    }
}

impl Drop for RelayStream {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

async fn read_messages(
    mut half: OwnedReadHalf,
    sender: mpsc::Sender<Result<RelayMessage, StreamError>>,
    keys: Arc<ArcSwap<FleetKeys>>,
) {
    loop {
        let message = read_message(&mut half, &keys).await;
        let failed = message.is_err();
        if sender.send(message).await.is_err() || failed {
            return;
        }
    }
}

async fn read_message(
    half: &mut OwnedReadHalf,
    keys: &ArcSwap<FleetKeys>,
) -> Result<RelayMessage, StreamError> {
    let frame = read_frame(half, MAX_STREAM_FRAME_BYTES).await?;
    let frame = frame.ok_or(StreamError::Ended)?;
    Ok(open_message(FrameKind::Relay, &frame, &keys.load())?)
}
