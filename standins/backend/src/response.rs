//! Builds responses: headers, buffered bodies and streamed bodies.

use std::io;

use bytes::Bytes;
use futures::Stream;
use http::{Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::request::{ATTEMPT_HEADER, REQUEST_HEADER, RequestMetadata};

/// Response header with the name of the server's service. The history checker compares it with
/// the service that the caller addressed.
const SERVICE_HEADER: &str = "lovagelatch-service";

/// The body type of every response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A chunk of a body, or the error that aborts the body.
pub(crate) type BodyChunk = io::Result<Bytes>;

/// Returns a response with `value` as its JSON body.
pub(crate) fn json_response<V: Serialize>(status: StatusCode, value: &V) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

pub(crate) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Vec::new()));
    *response.status_mut() = status;
    response
}

fn full_body(body: Vec<u8>) -> ResponseBody {
    let body = Full::new(Bytes::from(body));
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that streams the chunks received on a channel.
pub(crate) fn streamed_body(chunks: mpsc::Receiver<BodyChunk>) -> ResponseBody {
    StreamBody::new(body_frames(chunks)).boxed_unsync()
}

fn body_frames(chunks: mpsc::Receiver<BodyChunk>) -> impl Stream<Item = io::Result<Frame<Bytes>>> {
    futures::stream::unfold(chunks, |mut chunks| async {
        let chunk = chunks.recv().await?;
        Some((chunk.map(Frame::data), chunks))
    })
}

/// Copies the ids of the request to its response headers and adds the service name.
pub(crate) fn add_metadata_headers(
    response: &mut Response<ResponseBody>,
    metadata: &RequestMetadata,
    service: &str,
) {
    let values = [
        (ATTEMPT_HEADER, metadata.attempt.as_deref()),
        (REQUEST_HEADER, metadata.request.as_deref()),
        (SERVICE_HEADER, Some(service)),
    ];
    for (name, value) in values {
        let value = value.and_then(|value| header::HeaderValue::from_str(value).ok());
        if let Some(value) = value {
            response.headers_mut().insert(name, value);
        }
    }
}
