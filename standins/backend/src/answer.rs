//! Answers: their heads, and bodies that come in pieces.

use std::io;

use bytes::Bytes;
use futures::Stream;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::request::{ATTEMPT_HEADER, REQUEST_HEADER, RequestMarks};

/// Header that names the answering server's service, for the history checker.
const SERVICE_HEADER: &str = "lovagelatch-service";

/// The body of every answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// A part of a body, or the error that cuts it off.
pub(crate) type BodyPart = io::Result<Bytes>;

/// A plain JSON answer.
pub(crate) fn json_answer<V: Serialize>(status: StatusCode, value: &V) -> Response<AnswerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(whole_body(body));
    *answer.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

pub(crate) fn empty_answer(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(whole_body(Vec::new()));
    *answer.status_mut() = status;
    answer
}

fn whole_body(body: Vec<u8>) -> AnswerBody {
    let body = Full::new(Bytes::from(body));
    body.map_err(|never| match never {}).boxed_unsync()
}

/// A body whose parts come through a channel.
pub(crate) fn streamed_body(parts: mpsc::Receiver<BodyPart>) -> AnswerBody {
    StreamBody::new(frames_of(parts)).boxed_unsync()
}

fn frames_of(parts: mpsc::Receiver<BodyPart>) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
    futures::stream::unfold(parts, |mut parts| async {
        let part = parts.recv().await?;
        Some((part.map(Frame::data), parts))
    })
}

/// Puts the marks of a request, and the service, on its answer.
pub(crate) fn mark_answer(answer: &mut Response<AnswerBody>, marks: &RequestMarks, service: &str) {
    let values = [
        (ATTEMPT_HEADER, marks.attempt.as_deref()),
        (REQUEST_HEADER, marks.request.as_deref()),
        (SERVICE_HEADER, Some(service)),
    ];
    for (name, value) in values {
        let value = value.and_then(|value| header::HeaderValue::from_str(value).ok());
        if let Some(value) = value {
            answer.headers_mut().insert(name, value);
        }
    }
}
