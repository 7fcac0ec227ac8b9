//! Reading answers ahead of their callers.
//!
//! What goes wrong without it: a caller that reads slowly, or not at all, holds the slot that
//! its answer came from, and a few such callers of one agency stop the service for its rivals.
//! So an answer is read into memory as fast as the backend server gives it, up to a bound, and
//! the slot is free as soon as the backend server is done. Beyond the bound a caller has to keep
//! up: one that takes nothing for long loses the rest of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::backend::body::BackendBody;
use crate::exchange::TruncatedBody;

/// Bytes of one answer that may wait for their caller.
const AHEAD_BYTES: u32 = 256 * 1024;

/// The same while too many other answers wait.
const SCARCE_BYTES: u32 = 16 * 1024;

/// Answers that may use the larger bound at a time; together 16 MB.
const MAX_AHEAD: usize = 64;

/// Longest that a caller may take nothing while its answer waits.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The room for answers that wait, shared by all of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AheadRoom {
    bodies: Arc<Semaphore>,
}

impl Default for AheadRoom {
    fn default() -> Self {
        Self {
            bodies: Arc::new(Semaphore::new(MAX_AHEAD)),
        }
    }
}

#[derive(Debug)]
enum Piece {
    Data(Bytes, OwnedSemaphorePermit),
    End,
}

/// An answer's body that is read ahead by a task of its own. Dropped, it ends the task, and with
/// it what is left of the exchange.
#[derive(Debug)]
pub(crate) struct AheadBody {
    pieces: mpsc::UnboundedReceiver<Piece>,
    ended: bool,
    _room: Option<OwnedSemaphorePermit>,
}

impl AheadBody {
    pub(crate) fn start(body: BackendBody, room: &AheadRoom) -> Self {
        let (sender, pieces) = mpsc::unbounded_channel();
        let room = Arc::clone(&room.bodies).try_acquire_owned().ok();
        let bytes = if room.is_some() {
            AHEAD_BYTES
        } else {
            SCARCE_BYTES
        };
        tokio::spawn(pump(body, sender, bytes));
        Self {
            pieces,
            ended: false,
            _room: room,
        }
    }

    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        if self.ended {
            return Ok(None);
        }
        match self.pieces.recv().await {
            Some(Piece::Data(data, _room)) => Ok(Some(data)),
            Some(Piece::End) => {
                self.ended = true;
                Ok(None)
            }
            // The task ended without saying that the body is whole.
            None => Err(TruncatedBody),
        }
    }
}

async fn pump(mut body: BackendBody, sender: mpsc::UnboundedSender<Piece>, bytes: u32) {
    let room = Arc::new(Semaphore::new(usize::try_from(bytes).unwrap_or(usize::MAX)));
    loop {
        let piece = tokio::select! {
            piece = body.next() => piece,
            () = sender.closed() => return,
        };
        let Ok(Some(data)) = piece else {
            if matches!(piece, Ok(None)) {
                let _ = sender.send(Piece::End);
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
        if sender.send(Piece::Data(data, permit)).is_err() {
            return;
        }
    }
}
