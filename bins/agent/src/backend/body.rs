//! An answer's body on its way from the backend server.

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

/// How the length of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFraming {
    /// It has exactly this many bytes.
    Length(u64),
    /// A last chunk marks its end.
    Chunked,
    /// It ends when the connection does, which looks the same as a cut.
    Unmarked,
}

impl BodyFraming {
    fn of(status: StatusCode, headers: &HeaderMap, head_only: bool) -> Self {
        let informational = status.is_informational();
        let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if head_only || informational || bodiless {
            return Self::Length(0);
        }
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Self::Chunked;
        }
        let length = crate::headers::parse_number(headers, &header::CONTENT_LENGTH);
        length.map_or(Self::Unmarked, Self::Length)
    }
}

/// A body that holds its connection, and the request's slot, until it ended.
///
/// Dropped before its end, it closes the connection and cancels the attempt.
#[derive(Debug)]
pub(crate) struct BackendBody {
    incoming: Incoming,
    framing: BodyFraming,
    received: u64,
    ended: bool,
    /// Feeds are silent for as long as nothing happens; others may not be.
    quiet_allowed: bool,
    attempt: AttemptId,
    link: Arc<BackendLink>,
    /// `None` once it went back to the pool or was closed.
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
            framing: BodyFraming::of(status, headers, head_only),
            received: 0,
            ended: false,
            quiet_allowed: false,
            attempt,
            link,
            connection: Some(connection),
            slot: None,
        }
    }

    /// Holds the slot until the body ended; without one it may be silent for long.
    pub(crate) fn hold_slot(&mut self, slot: Option<SlotGuard>) {
        self.quiet_allowed = slot.is_none();
        self.slot = slot;
    }

    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        if self.ended {
            return Ok(None);
        }
        let piece = self.next_piece().await;
        if piece.is_err() {
            self.fail();
        }
        piece
    }

    async fn next_piece(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
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

    /// The backend server broke off: its connection is of no more use, and its gate shall know.
    fn fail(&mut self) {
        self.connection = None;
        if let Some(slot) = self.slot.take() {
            slot.finish(SlotOutcome::Lost);
        }
    }

    async fn next_frame(&mut self) -> Result<Option<hyper::body::Frame<Bytes>>, TruncatedBody> {
        let frame = if self.quiet_allowed {
            self.incoming.frame().await
        } else {
            let waiting = tokio::time::timeout(BODY_CHUNK_TIMEOUT, self.incoming.frame());
            waiting.await.map_err(|_| TruncatedBody)?
        };
        frame.transpose().map_err(|_| TruncatedBody)
    }

    fn finish(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        let whole = match self.framing {
            BodyFraming::Length(length) => self.received == length,
            BodyFraming::Chunked => true,
            BodyFraming::Unmarked => false,
        };
        if !whole {
            return Err(TruncatedBody);
        }
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.link.put_back(connection);
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
        // Closing the connection alone leaves the backend server running the request and its
        // slot in use; the next request would then be refused though the gate counts it free.
        drop(self.connection.take());
        let slot = self.slot.take();
        if slot.is_some() {
            self.link.cancel_later(self.attempt, slot, None);
        }
    }
}
