//! An answer's body on its way from a peer.

use std::sync::Arc;

use bytes::Bytes;
use lovagelatch_domain::{AgentAddress, AttemptId};
use lovagelatch_wire::RelayMessage;

use crate::exchange::{BODY_CHUNK_TIMEOUT, TruncatedBody};
use crate::relay::client::RelayPool;
use crate::relay::stream::RelayStream;

/// A body that holds its stream until it ended. Dropped before that, it closes the stream, by
/// which the peer knows that nobody waits any more.
#[derive(Debug)]
pub(crate) struct RelayBody {
    stream: Option<RelayStream>,
    peer: AgentAddress,
    attempt: AttemptId,
    pool: Arc<RelayPool>,
    /// Feeds are silent for as long as nothing happens; others may not be.
    quiet_allowed: bool,
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
            quiet_allowed: false,
        }
    }

    /// Whether it may be silent for long.
    #[must_use]
    pub(crate) fn with_quiet_allowed(mut self, quiet_allowed: bool) -> Self {
        self.quiet_allowed = quiet_allowed;
        self
    }

    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        let Some(stream) = self.stream.as_mut() else {
            return Ok(None);
        };
        let message = if self.quiet_allowed {
            stream.receive().await
        } else {
            let waiting = tokio::time::timeout(BODY_CHUNK_TIMEOUT, stream.receive());
            waiting.await.map_err(|_| TruncatedBody)?
        };
        match message {
            Ok(RelayMessage::Chunk(piece)) => Ok(Some(Bytes::from(piece))),
            Ok(RelayMessage::End { attempt, load }) if attempt == self.attempt => {
                self.pool.placement.record_report(self.peer, load);
                if let Some(stream) = self.stream.take() {
                    self.pool.put_back(self.peer, stream);
                }
                Ok(None)
            }
            _ => Err(TruncatedBody),
        }
    }
}
