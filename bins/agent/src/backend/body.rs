//! The body of a response that arrives from the backend server.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use lovagelatch_domain::AttemptId;

use crate::backend::connection::BackendConnection;
use crate::backend::link::BackendLink;
use crate::exchange::{BODY_CHUNK_TIMEOUT, TruncatedBody};
use crate::gate::{SlotGuard, SlotOutcome};

/// How the end of a body is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    /// The body has exactly this many bytes.
    Length(u64),
    /// A final chunk marks the end.
    Chunked,
    /// The end of the connection ends the body, so a truncated body looks complete.
    UntilClose,
}

impl BodyFraming {
    fn from_head(status: StatusCode, headers: &HeaderMap, head_only: bool) -> Self {
        let informational = status.is_informational();
        let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if head_only || informational || bodiless {
            return Self::Length(0);
        }
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Self::Chunked;
        }
        let length = crate::headers::parse_number(headers, &header::CONTENT_LENGTH);
        length.map_or(Self::UntilClose, Self::Length)
    }
}

/// A body that holds its connection and the request's slot until it ends.
///
/// Dropping it early closes the connection and cancels the attempt.
#[derive(Debug)]
pub(crate) struct BackendBody {
    incoming: Incoming,
    framing: BodyFraming,
    received: u64,
    ended: bool,
    /// Whether the body may be idle indefinitely, as feeds are; other bodies time out.
    idle_allowed: bool,
    attempt: AttemptId,
    link: Arc<BackendLink>,
    /// `None` after it was returned to the pool or closed.
    connection: Option<BackendConnection>,
    /// `None` for a feed.
    slot: Option<SlotGuard>,
}

impl BackendBody {
    pub(crate) fn new(
        response: (StatusCode, &HeaderMap, Incoming),
        head_only: bool,
        attempt: AttemptId,
        link: Arc<BackendLink>,
        connection: BackendConnection,
    ) -> Self {
        let (status, headers, incoming) = response;
        Self {
            incoming,
            framing: BodyFraming::from_head(status, headers, head_only),
            received: 0,
            ended: false,
            idle_allowed: false,
            attempt,
            link,
            connection: Some(connection),
            slot: None,
        }
    }

    /// Holds the slot until the body ends. A body without a slot is a feed and may be idle.
    pub(crate) fn hold_slot(&mut self, slot: Option<SlotGuard>) {
        self.idle_allowed = slot.is_none();
        self.slot = slot;
    }

    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        if self.ended {
            return Ok(None);
        }
        let chunk = self.next_chunk().await;
        if chunk.is_err() {
            self.abandon();
        }
        chunk
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        loop {
            let Some(frame) = self.next_frame().await? else {
                return self.finish();
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.received += data.len() as u64;
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
    }

    /// Drops the failed connection and reports the loss to the gate.
    fn abandon(&mut self) {
        self.connection = None;
        if let Some(slot) = self.slot.take() {
            slot.finish(SlotOutcome::Lost);
        }
    }

    async fn next_frame(&mut self) -> Result<Option<hyper::body::Frame<Bytes>>, TruncatedBody> {
        let frame = if self.idle_allowed {
            self.incoming.frame().await
        } else {
            let next = tokio::time::timeout(BODY_CHUNK_TIMEOUT, self.incoming.frame());
            next.await.map_err(|_| TruncatedBody)?
        };
        frame.transpose().map_err(|_| TruncatedBody)
    }

    fn finish(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        let complete = match self.framing {
            BodyFraming::Length(length) => self.received == length,
            BodyFraming::Chunked => true,
            BodyFraming::UntilClose => false,
        };
        if !complete {
            return Err(TruncatedBody);
        }
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.link.release(connection);
        }
        if let Some(slot) = self.slot.take() {
            slot.finish(SlotOutcome::Served);
        }
        Ok(None)
    }
}

impl Drop for BackendBody {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        // Closing the connection alone does not stop the request: the backend server would keep
        // its slot in use and refuse the next request, although the gate counts the slot as free.
        drop(self.connection.take());
        let slot = self.slot.take();
        if slot.is_some() {
            self.link.spawn_cancel(self.attempt, slot, None);
        }
    }
}
