//! The body of a response that arrives from a peer.

use std::sync::Arc;

use bytes::Bytes;
use lovagelatch_domain::{AgentAddress, AttemptId};
use lovagelatch_wire::RelayMessage;

use crate::exchange::{BODY_CHUNK_TIMEOUT, TruncatedBody};
use crate::relay::client::RelayPool;
use crate::relay::stream::RelayStream;

/// A body that holds its stream until it ends. Dropping it early closes the stream, which tells
/// the peer to cancel.
#[derive(Debug)]
pub(crate) struct RelayBody {
    stream: Option<RelayStream>,
    peer: AgentAddress,
    attempt: AttemptId,
    pool: Arc<RelayPool>,
    /// Whether the body may be idle indefinitely, as feeds are; other bodies time out.
    idle_allowed: bool,
}

impl RelayBody {
    pub(crate) fn new(
        stream: RelayStream,
        peer: AgentAddress,
        attempt: AttemptId,
        pool: Arc<RelayPool>,
    ) -> Self {
        Self {
            stream: Some(stream),
            peer,
            attempt,
            pool,
            idle_allowed: false,
        }
    }

    /// Sets whether the body may be idle indefinitely.
    #[must_use]
    pub(crate) fn with_idle_allowed(mut self, idle_allowed: bool) -> Self {
        self.idle_allowed = idle_allowed;
        self
    }

    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        let Some(stream) = self.stream.as_mut() else {
            return Ok(None);
        };
        let message = if self.idle_allowed {
            stream.receive().await
        } else {
            let waiting = tokio::time::timeout(BODY_CHUNK_TIMEOUT, stream.receive());
            waiting.await.map_err(|_| TruncatedBody)?
        };
        match message {
            Ok(RelayMessage::Chunk(chunk)) => Ok(Some(Bytes::from(chunk))),
            Ok(RelayMessage::End { attempt, load }) if attempt == self.attempt => {
                self.pool.placement.record_report(self.peer, load);
                if let Some(stream) = self.stream.take() {
                    self.pool.release(self.peer, stream);
                }
                Ok(None)
            }
            _ => Err(TruncatedBody),
        }
    }
}
