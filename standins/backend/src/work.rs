//! The work itself: each run is a task of its own, which goes on when its caller leaves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use lovagelatch_history::content_for;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::answer::{AnswerBody, BodyPart, json_answer, mark_answer, streamed_body};
use crate::dependency::{self, DependencyOptions};
use crate::fault::{AnswerFault, FaultBoard};
use crate::request::RequestMarks;
use crate::runs::RunGuard;

/// How long a late answer is held back.
const LATE_ANSWER: Duration = Duration::from_secs(12);

/// The time between the first half of a cut answer and its break.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// Parts of a download's body.
const DOWNLOAD_PARTS: usize = 8;

/// The time between two events of a feed.
const FEED_PERIOD: Duration = Duration::from_millis(200);

/// Parts of a body that may wait for the connection.
const BODY_QUEUE: usize = 16;

/// What a run is for.
#[derive(Clone, Debug)]
pub(crate) enum RunTask {
    Filing { filing: String },
    Status { id: String, fetch: bool },
    Download { id: String, bytes: usize },
}

/// A run's marks and task, which a crossed answer takes from the run before it.
#[derive(Clone, Debug)]
struct AnswerIdentity {
    marks: RequestMarks,
    task: RunTask,
    run: u64,
}

/// Runs requests.
#[derive(Debug)]
pub(crate) struct RequestWorker {
    pub(crate) service: String,
    pub(crate) target: String,
    pub(crate) faults: Arc<FaultBoard>,
    dependency: Option<DependencyOptions>,
    last: Mutex<Option<AnswerIdentity>>,
}

impl RequestWorker {
    pub(crate) fn new(
        service: String,
        target: String,
        faults: Arc<FaultBoard>,
        dependency: Option<DependencyOptions>,
    ) -> Self {
        Self {
            service,
            target,
            faults,
            dependency,
            last: Mutex::default(),
        }
    }

    /// Runs a request; the answer's head comes when it is due. `None` when the run's task was
    /// ended with the server.
    pub(crate) async fn run(
        self: &Arc<Self>,
        guard: RunGuard,
        marks: RequestMarks,
        task: RunTask,
        work_ms: u32,
    ) -> Option<Response<AnswerBody>> {
        let (sender, receiver) = oneshot::channel();
        let worker = Arc::clone(self);
        let work = Duration::from_millis(u64::from(work_ms));
        tokio::spawn(async move { worker.work(guard, marks, task, work, sender).await });
        receiver.await.ok()
    }

    async fn work(
        &self,
        guard: RunGuard,
        marks: RequestMarks,
        task: RunTask,
        work: Duration,
        sender: oneshot::Sender<Response<AnswerBody>>,
    ) {
        let fault = self.faults.draw_answer_fault();
        tokio::time::sleep(self.faults.warming()).await;
        let own = AnswerIdentity {
            marks,
            task,
            run: guard.run,
        };
        let previous = self.last.lock().replace(own.clone());
        let identity = match (fault, previous) {
            (AnswerFault::Crossed, Some(previous)) => previous,
            _ => own,
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
        if fault == AnswerFault::Late {
            tokio::time::sleep(LATE_ANSWER).await;
        }
        let answer = self.small_answer(&identity, fault);
        // A caller that has left takes no answer; the run stands in the history all the same.
        let _ = sender.send(answer);
    }

    /// The answer goes out either way; the history says how the call ended.
    async fn call_dependency(&self, guard: &RunGuard, identity: &AnswerIdentity, id: &str) {
        if let Some(options) = &self.dependency {
            let attempts_left = identity.marks.attempts_left.as_deref();
            let record = dependency::call(options, guard.run, id, attempts_left).await;
            guard.table().write(&record);
        }
    }

    fn small_answer(&self, identity: &AnswerIdentity, fault: AnswerFault) -> Response<AnswerBody> {
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
        let mut answer = json_answer(status, &value);
        if fault == AnswerFault::Cut {
            *answer.body_mut() = cut_body(&value.to_string());
        }
        mark_answer(&mut answer, &identity.marks, &self.service);
        answer
    }

    /// The head comes after half of the work; the body comes in parts over the other half.
    #[allow(clippy::too_many_arguments)]
    async fn download(
        &self,
        guard: RunGuard,
        identity: &AnswerIdentity,
        id: &str,
        bytes: usize,
        work: Duration,
        fault: AnswerFault,
        sender: oneshot::Sender<Response<AnswerBody>>,
    ) {
        tokio::time::sleep(work / 2).await;
        if fault == AnswerFault::Late {
            tokio::time::sleep(LATE_ANSWER).await;
        }
        let (parts, receiver) = mpsc::channel(BODY_QUEUE);
        let mut answer = Response::new(streamed_body(receiver));
        let headers = answer.headers_mut();
        headers.insert(header::CONTENT_LENGTH, bytes.into());
        mark_answer(&mut answer, &identity.marks, &self.service);
        if sender.send(answer).is_ok() {
            send_parts(&parts, content_for(id, bytes), work / 2, fault).await;
        }
        drop(guard);
    }
}

/// A body that breaks off in the middle, some time after its first half was sent.
fn cut_body(text: &str) -> AnswerBody {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let (parts, receiver) = mpsc::channel(BODY_QUEUE);
    tokio::spawn(async move {
        // Without the pause the library would drop the connection before the head is sent.
        let sent = parts.send(Ok(half)).await;
        tokio::time::sleep(CUT_PAUSE).await;
        if sent.is_ok() {
            let _ = parts
                .send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .await;
        }
    });
    streamed_body(receiver)
}

async fn send_parts(
    parts: &mpsc::Sender<BodyPart>,
    content: Vec<u8>,
    time: Duration,
    fault: AnswerFault,
) {
    let content = Bytes::from(content);
    let size = content.len().div_ceil(DOWNLOAD_PARTS).max(1);
    let pause = time / u32::try_from(DOWNLOAD_PARTS).unwrap_or(1);
    let mut start = 0;
    while start < content.len() {
        tokio::time::sleep(pause).await;
        if fault == AnswerFault::Cut && start >= content.len() / 2 {
            let _ = parts
                .send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .await;
            return;
        }
        let end = (start + size).min(content.len());
        if parts.send(Ok(content.slice(start..end))).await.is_err() {
            return;
        }
        start = end;
    }
}

/// Sends events until the caller leaves. Each names its feed, so that a crossed one shows.
pub(crate) async fn send_feed(
    parts: mpsc::Sender<BodyPart>,
    guard: RunGuard,
    feed: String,
    target: String,
) {
    let mut period = tokio::time::interval(FEED_PERIOD);
    for id in 1_u64.. {
        period.tick().await;
        let data = json!({"feed": feed, "target": target});
        let event = Bytes::from(format!("id: {id}\ndata: {data}\n\n"));
        if parts.send(Ok(event)).await.is_err() {
            break;
        }
    }
    drop(guard);
}

/// A channel for a body.
pub(crate) fn body_channel() -> (mpsc::Sender<BodyPart>, mpsc::Receiver<BodyPart>) {
    mpsc::channel(BODY_QUEUE)
}
