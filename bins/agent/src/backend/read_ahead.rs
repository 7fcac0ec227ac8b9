//! Buffers responses ahead of slow callers.
//!
//! Without it, a caller that reads slowly or not at all would hold the slot of its response, and a
//! few such callers of one agency would block the service for competing agencies. The agent
//! therefore reads a response into memory as fast as the backend server sends it, up to a limit,
//! and frees the slot as soon as the backend server is done. Beyond the limit the caller has to
//! keep up: if it reads nothing for `STALL_TIMEOUT`, the rest of the response is dropped.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::backend::body::BackendBody;
use crate::exchange::TruncatedBody;

/// Bytes of one response that may be buffered.
const READ_AHEAD_BYTES: u32 = 256 * 1024;

/// The same limit while `MAX_READ_AHEADS` responses already use the larger one.
const REDUCED_READ_AHEAD_BYTES: u32 = 16 * 1024;

/// Responses that may use the larger limit at the same time; together 16 MB.
const MAX_READ_AHEADS: usize = 64;

/// How long a full buffer may wait for the caller to read.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits the responses that may use the larger buffer; shared by the whole agent.
#[derive(Clone, Debug)]
pub(crate) struct ReadAheadLimit {
    bodies: Arc<Semaphore>,
}

impl Default for ReadAheadLimit {
    fn default() -> Self {
        Self {
            bodies: Arc::new(Semaphore::new(MAX_READ_AHEADS)),
        }
    }
}

#[derive(Debug)]
enum BodyChunk {
    Data(Bytes, OwnedSemaphorePermit),
    End,
}

/// A response body that a background task reads ahead. Dropping it ends the task and the rest
/// of the exchange.
#[derive(Debug)]
pub(crate) struct ReadAheadBody {
    chunks: mpsc::UnboundedReceiver<BodyChunk>,
    ended: bool,
    _permit: Option<OwnedSemaphorePermit>,
}

impl ReadAheadBody {
    pub(crate) fn start(body: BackendBody, limit: &ReadAheadLimit) -> Self {
        let (sender, chunks) = mpsc::unbounded_channel();
        let permit = Arc::clone(&limit.bodies).try_acquire_owned().ok();
        let bytes = if permit.is_some() {
            READ_AHEAD_BYTES
        } else {
            REDUCED_READ_AHEAD_BYTES
        };
        tokio::spawn(pump(body, sender, bytes));
        Self {
            chunks,
            ended: false,
            _permit: permit,
        }
    }

    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        if self.ended {
            return Ok(None);
        }
        match self.chunks.recv().await {
            Some(BodyChunk::Data(data, _permit)) => Ok(Some(data)),
            Some(BodyChunk::End) => {
                self.ended = true;
                Ok(None)
            }
            // The task ended without a complete body.
            None => Err(TruncatedBody),
        }
    }
}

async fn pump(mut body: BackendBody, sender: mpsc::UnboundedSender<BodyChunk>, bytes: u32) {
    let room = Arc::new(Semaphore::new(usize::try_from(bytes).unwrap_or(usize::MAX)));
    loop {
        let chunk = tokio::select! {
            chunk = body.next() => chunk,
            () = sender.closed() => return,
        };
        let Ok(Some(data)) = chunk else {
            if matches!(chunk, Ok(None)) {
                let _ = sender.send(BodyChunk::End);
            }
            return;
        };
        let length = u32::try_from(data.len()).unwrap_or(u32::MAX).min(bytes);
        let waiting = Arc::clone(&room).acquire_many_owned(length);
        let permit = tokio::select! {
            permit = tokio::time::timeout(STALL_TIMEOUT, waiting) => permit,
            () = sender.closed() => return,
        };
        let Ok(Ok(permit)) = permit else {
            return;
        };
        if sender.send(BodyChunk::Data(data, permit)).is_err() {
            return;
        }
    }
}
