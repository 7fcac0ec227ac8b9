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

/// Messages buffered for the reader. When a slow reader lets the buffer fill, TCP flow control
/// slows the sender.
const MAX_BUFFERED_MESSAGES: usize = 8;

/// Largest part of a body in one message.
const CHUNK_BYTES: usize = 64 * 1024;

/// Why a stream is unusable.
#[derive(Debug, Error)]
pub(crate) enum StreamError {
    #[error("relay stream failed: {0}")]
    Io(#[from] io::Error),
    #[error("invalid frame on relay stream: {0}")]
    Frame(#[from] FrameError),
    #[error("relay stream closed")]
    Ended,
}

/// A stream whose messages are read by a background task, so that `receive` is safe to cancel:
/// no half-read message is lost.
#[derive(Debug)]
pub(crate) struct RelayStream {
    writer: OwnedWriteHalf,
    messages: mpsc::Receiver<Result<RelayMessage, StreamError>>,
    reader: AbortHandle,
    keys: Arc<ArcSwap<FleetKeys>>,
    pub(crate) last_used: Instant,
}

impl RelayStream {
    pub(crate) fn new(stream: TcpStream, keys: Arc<ArcSwap<FleetKeys>>) -> Self {
        let (read_half, writer) = stream.into_split();
        let (sender, messages) = mpsc::channel(MAX_BUFFERED_MESSAGES);
        let reader = tokio::spawn(read_messages(read_half, sender, Arc::clone(&keys)));
        Self {
            writer,
            messages,
            reader: reader.abort_handle(),
            keys,
            last_used: Instant::now(),
        }
    }

    pub(crate) async fn send(&mut self, message: &RelayMessage) -> Result<(), StreamError> {
        let frame = seal_message(FrameKind::Relay, message, &self.keys.load());
        write_frame(&mut self.writer, &frame).await?;
        Ok(())
    }

    /// Sends a body in chunks, each wrapped by `wrap`.
    pub(crate) async fn send_chunks(
        &mut self,
        bytes: &[u8],
        wrap: fn(Vec<u8>) -> RelayMessage,
    ) -> Result<(), StreamError> {
        for chunk in bytes.chunks(CHUNK_BYTES) {
            self.send(&wrap(chunk.to_vec())).await?;
        }
        Ok(())
    }

    /// Receives the next message. Safe to cancel and call again.
    pub(crate) async fn receive(&mut self) -> Result<RelayMessage, StreamError> {
        let message = self.messages.recv().await;
        message.unwrap_or(Err(StreamError::Ended))
    }

    /// Whether nothing arrived since the last use, neither a message nor the end of the stream.
    pub(crate) fn is_idle(&mut self) -> bool {
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
