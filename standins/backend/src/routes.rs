//! Routes requests to their handlers.

use std::sync::Arc;

use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use lovagelatch_history::{BackendRecord, unix_millis};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::fault::FaultChange;
use crate::request::{FilingBody, RequestMetadata, download_bytes, needs_dependency, work_ms};
use crate::response::{
    ResponseBody, add_metadata_headers, empty_response, json_response, streamed_body,
};
use crate::runs::RunTable;
use crate::work::{RequestWorker, RunTask, body_channel, send_feed};

/// Prefix of the routes that only the agent beside the server uses.
const RESERVED_PREFIX: &str = "/.well-known/lovagelatch/";

/// Limit of a request body; larger ones are refused as bad requests.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Handles the requests of all connections.
#[derive(Debug)]
pub(crate) struct RequestRouter {
    pub(crate) runs: Arc<RunTable>,
    pub(crate) worker: Arc<RequestWorker>,
}

impl RequestRouter {
    /// Handles a request. Returns `None` if the connection must close without a response.
    pub(crate) async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Option<Response<ResponseBody>> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        if let Some(reserved) = path.strip_prefix(RESERVED_PREFIX) {
            return self.handle_reserved(reserved);
        }
        let mut segments = path.trim_matches('/').splitn(2, '/');
        let route = segments.next().unwrap_or_default();
        let id = segments.next().unwrap_or_default().to_owned();
        let task = match (&parts.method, route) {
            (&Method::PUT, "admin") => return Some(self.put_fault(body).await),
            (&Method::POST, "claims" | "reports") => return self.submit_filing(&parts, body).await,
            (&Method::GET, "feed") => return Some(self.open_feed(&parts)),
            (&Method::GET, "status") => RunTask::Status {
                id,
                fetch: needs_dependency(&parts),
            },
            (&Method::GET, "certificates" | "maps") => {
                let bytes = download_bytes(&parts);
                RunTask::Download { id, bytes }
            }
            _ => return Some(empty_response(StatusCode::NOT_FOUND)),
        };
        let metadata = RequestMetadata::new(&parts.headers);
        self.start_run(metadata, task, work_ms(&parts)).await
    }

    async fn submit_filing(&self, parts: &Parts, body: Incoming) -> Option<Response<ResponseBody>> {
        let Some(body) = read_json::<FilingBody>(body).await else {
            return Some(empty_response(StatusCode::BAD_REQUEST));
        };
        let mut metadata = RequestMetadata::new(&parts.headers);
        metadata.filing = Some(body.filing.clone());
        let work_ms = body.work_ms();
        let task = RunTask::Filing {
            filing: body.filing,
        };
        self.start_run(metadata, task, work_ms).await
    }

    async fn start_run(
        &self,
        metadata: RequestMetadata,
        task: RunTask,
        work_ms: u32,
    ) -> Option<Response<ResponseBody>> {
        match self.runs.start(&metadata) {
            Ok(guard) => self.worker.run(guard, metadata, task, work_ms).await,
            Err(_) => {
                self.runs.record_shed(&metadata);
                Some(self.shed_response(&metadata))
            }
        }
    }

    fn shed_response(&self, metadata: &RequestMetadata) -> Response<ResponseBody> {
        let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        headers.insert("lovagelatch-outcome", HeaderValue::from_static("not-run"));
        add_metadata_headers(&mut response, metadata, &self.worker.service);
        response
    }

    fn open_feed(&self, parts: &Parts) -> Response<ResponseBody> {
        let mut metadata = RequestMetadata::new(&parts.headers);
        metadata.feed = true;
        let Ok(guard) = self.runs.start(&metadata) else {
            return self.shed_response(&metadata);
        };
        let (sender, receiver) = body_channel();
        let feed = metadata.request.clone().unwrap_or_default();
        tokio::spawn(send_feed(sender, guard, feed, self.worker.target.clone()));
        let mut response = Response::new(streamed_body(receiver));
        let content_type = HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
        add_metadata_headers(&mut response, &metadata, &self.worker.service);
        response
    }

    async fn put_fault(&self, body: Incoming) -> Response<ResponseBody> {
        let Some(change) = read_json::<FaultChange>(body).await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if self.worker.faults.apply(&change) {
            let time_ms = unix_millis();
            self.runs.write(&BackendRecord::Leaving { time_ms });
        }
        json_response(StatusCode::OK, &change)
    }

    fn handle_reserved(&self, route: &str) -> Option<Response<ResponseBody>> {
        if let Some(attempt) = route.strip_prefix("cancel/") {
            return self.cancel(attempt);
        }
        let faults = &self.worker.faults;
        let value = match route {
            "health" => {
                let (state, remaining) = faults.reported_health();
                json!({"state": state, "warming_ms": remaining.as_millis() as u64})
            }
            "load" => {
                let slots = self.runs.slots();
                let in_use = faults.reported_load(self.runs.in_use(), slots);
                json!({"in_use": in_use, "slots": slots})
            }
            _ => return Some(empty_response(StatusCode::NOT_FOUND)),
        };
        Some(json_response(StatusCode::OK, &value))
    }

    fn cancel(&self, attempt: &str) -> Option<Response<ResponseBody>> {
        let cancelled = self.runs.cancel(attempt);
        if self.worker.faults.loses_cancellations() {
            return None;
        }
        let status = if cancelled {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        Some(json_response(status, &json!({"cancelled": cancelled})))
    }
}

async fn read_json<V: DeserializeOwned>(body: Incoming) -> Option<V> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
