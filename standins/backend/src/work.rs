//! Executes runs. Each run is a task that continues after its caller has disconnected.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use lovagelatch_history::content_for;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::dependency::{self, DependencyOptions};
use crate::fault::{FaultInjector, ResponseFault};
use crate::request::RequestMetadata;
use crate::response::{
    BodyChunk, ResponseBody, add_metadata_headers, json_response, streamed_body,
};
use crate::runs::RunGuard;

/// How long a response with [`ResponseFault::Delayed`] is delayed.
const RESPONSE_DELAY: Duration = Duration::from_secs(12);

/// Time between the first half of a truncated body and the abort of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Number of chunks of a download.
const DOWNLOAD_CHUNKS: usize = 8;

/// Interval of the events of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(200);

/// Chunks of a body that are buffered for the connection.
const BODY_QUEUE_CHUNKS: usize = 16;

/// The work of a run.
#[derive(Clone, Debug)]
pub(crate) enum RunTask {
    Filing { filing: String },
    Status { id: String, fetch: bool },
    Download { id: String, bytes: usize },
}

/// What a response says about its run. A crossed response uses the identity of the previous run.
#[derive(Clone, Debug)]
struct ResponseIdentity {
    metadata: RequestMetadata,
    task: RunTask,
    run: u64,
}

/// Executes the runs of a server.
#[derive(Debug)]
pub(crate) struct RequestWorker {
    pub(crate) service: String,
    pub(crate) target: String,
    pub(crate) faults: Arc<FaultInjector>,
    dependency: Option<DependencyOptions>,
    /// The identity of the latest run, for crossed responses.
    previous: Mutex<Option<ResponseIdentity>>,
}

impl RequestWorker {
    pub(crate) fn new(
        service: String,
        target: String,
        faults: Arc<FaultInjector>,
        dependency: Option<DependencyOptions>,
    ) -> Self {
        Self {
            service,
            target,
            faults,
            dependency,
            previous: Mutex::default(),
        }
    }

    /// Runs a request and returns its response as soon as the headers are due. Returns `None` if
    /// the task of the run ended without a response, as when the server stops.
    pub(crate) async fn run(
        self: &Arc<Self>,
        guard: RunGuard,
        metadata: RequestMetadata,
        task: RunTask,
        work_ms: u32,
    ) -> Option<Response<ResponseBody>> {
        let (sender, receiver) = oneshot::channel();
        let worker = Arc::clone(self);
        let work = Duration::from_millis(u64::from(work_ms));
        tokio::spawn(async move { worker.work(guard, metadata, task, work, sender).await });
        receiver.await.ok()
    }

    async fn work(
        &self,
        guard: RunGuard,
        metadata: RequestMetadata,
        task: RunTask,
        work: Duration,
        sender: oneshot::Sender<Response<ResponseBody>>,
    ) {
        let fault = self.faults.draw_response_fault();
        tokio::time::sleep(self.faults.warmup_remaining()).await;
        let current = ResponseIdentity {
            metadata,
            task,
            run: guard.run,
        };
        let previous = self.previous.lock().replace(current.clone());
        let identity = match (fault, previous) {
            (ResponseFault::Crossed, Some(previous)) => previous,
            _ => current,
        };
        if let RunTask::Download { id, bytes } = &identity.task {
            self.download(guard, &identity, id, *bytes, work, fault, sender)
                .await;
            return;
        }
        if let RunTask::Status { id, fetch: true } = &identity.task {
            self.call_dependency(&guard, &identity, id).await;
        }
        tokio::time::sleep(work).await;
        drop(guard);
        if fault == ResponseFault::Delayed {
            tokio::time::sleep(RESPONSE_DELAY).await;
        }
        let response = self.buffered_response(&identity, fault);
        // Sending fails if the caller has disconnected. The history records the run anyway.
        let _ = sender.send(response);
    }

    /// Calls the dependency and records the result in the history. The response of the run does
    /// not depend on it.
    async fn call_dependency(&self, guard: &RunGuard, identity: &ResponseIdentity, id: &str) {
        if let Some(options) = &self.dependency {
            let attempts_left = identity.metadata.attempts_left.as_deref();
            let record = dependency::call(options, guard.run, id, attempts_left).await;
            guard.table().write(&record);
        }
    }

    fn buffered_response(
        &self,
        identity: &ResponseIdentity,
        fault: ResponseFault,
    ) -> Response<ResponseBody> {
        let (status, value) = match &identity.task {
            RunTask::Filing { filing } => (
                StatusCode::CREATED,
                json!({"filing": filing, "run": identity.run}),
            ),
            RunTask::Status { id, .. } | RunTask::Download { id, .. } => (
                StatusCode::OK,
                json!({"id": id, "service": self.service, "target": self.target}),
            ),
        };
        let mut response = json_response(status, &value);
        if fault == ResponseFault::Truncated {
            *response.body_mut() = truncated_body(&value.to_string());
        }
        add_metadata_headers(&mut response, &identity.metadata, &self.service);
        response
    }

    /// Sends the headers after half of the work and the body in chunks over the other half.
    #[allow(clippy::too_many_arguments)]
    async fn download(
        &self,
        guard: RunGuard,
        identity: &ResponseIdentity,
        id: &str,
        bytes: usize,
        work: Duration,
        fault: ResponseFault,
        sender: oneshot::Sender<Response<ResponseBody>>,
    ) {
        tokio::time::sleep(work / 2).await;
        if fault == ResponseFault::Delayed {
            tokio::time::sleep(RESPONSE_DELAY).await;
        }
        let (chunks, receiver) = mpsc::channel(BODY_QUEUE_CHUNKS);
        let mut response = Response::new(streamed_body(receiver));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_LENGTH, bytes.into());
        add_metadata_headers(&mut response, &identity.metadata, &self.service);
        if sender.send(response).is_ok() {
            send_chunks(&chunks, content_for(id, bytes), work / 2, fault).await;
        }
        drop(guard);
    }
}

/// Returns a body that aborts [`TRUNCATION_DELAY`] after its first half was sent.
fn truncated_body(text: &str) -> ResponseBody {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let (chunks, receiver) = mpsc::channel(BODY_QUEUE_CHUNKS);
    tokio::spawn(async move {
        // Without the delay, hyper closes the connection before it sends the headers.
        let sent = chunks.send(Ok(half)).await;
        tokio::time::sleep(TRUNCATION_DELAY).await;
        if sent.is_ok() {
            let _ = chunks
                .send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .await;
        }
    });
    streamed_body(receiver)
}

async fn send_chunks(
    chunks: &mpsc::Sender<BodyChunk>,
    content: Vec<u8>,
    duration: Duration,
    fault: ResponseFault,
) {
    let content = Bytes::from(content);
    let size = content.len().div_ceil(DOWNLOAD_CHUNKS).max(1);
    let delay = duration / u32::try_from(DOWNLOAD_CHUNKS).unwrap_or(1);
    let mut start = 0;
    while start < content.len() {
        tokio::time::sleep(delay).await;
        if fault == ResponseFault::Truncated && start >= content.len() / 2 {
            let _ = chunks
                .send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .await;
            return;
        }
        let end = (start + size).min(content.len());
        if chunks.send(Ok(content.slice(start..end))).await.is_err() {
            return;
        }
        start = end;
    }
}

/// Sends events until the caller disconnects. Each event names its feed, so that callers can
/// detect events of another feed.
pub(crate) async fn send_feed(
    chunks: mpsc::Sender<BodyChunk>,
    guard: RunGuard,
    feed: String,
    target: String,
) {
    let mut interval = tokio::time::interval(FEED_INTERVAL);
    for id in 1_u64.. {
        interval.tick().await;
        let data = json!({"feed": feed, "target": target});
        let event = Bytes::from(format!("id: {id}\ndata: {data}\n\n"));
        if chunks.send(Ok(event)).await.is_err() {
            break;
        }
    }
    drop(guard);
}

/// Returns a channel for the chunks of a streamed body.
pub(crate) fn body_channel() -> (mpsc::Sender<BodyChunk>, mpsc::Receiver<BodyChunk>) {
    mpsc::channel(BODY_QUEUE_CHUNKS)
}
