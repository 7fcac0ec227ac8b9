//! Which request does what.

use std::sync::Arc;

use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use lovagelatch_history::{BackendRecord, unix_millis};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::answer::{AnswerBody, empty_answer, json_answer, mark_answer, streamed_body};
use crate::fault::FaultChange;
use crate::request::{FilingBody, RequestMarks, download_bytes, needs_dependency, work_ms};
use crate::runs::RunTable;
use crate::work::{RequestWorker, RunTask, body_channel, send_feed};

/// Prefix of the routes that the agent uses for itself.
const OWN_PREFIX: &str = "/.well-known/lovagelatch/";

/// The largest body that is read.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Serves every route.
#[derive(Debug)]
pub(crate) struct RequestRouter {
    pub(crate) runs: Arc<RunTable>,
    pub(crate) worker: Arc<RequestWorker>,
}

impl RequestRouter {
    /// Answers a request; `None` when there is to be no answer at all.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Option<Response<AnswerBody>> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        if let Some(own) = path.strip_prefix(OWN_PREFIX) {
            return self.answer_own(own);
        }
        let mut segments = path.trim_matches('/').splitn(2, '/');
        let route = segments.next().unwrap_or_default();
        let id = segments.next().unwrap_or_default().to_owned();
        let task = match (&parts.method, route) {
            (&Method::PUT, "admin") => return Some(self.put_fault(body).await),
            (&Method::POST, "claims" | "reports") => return self.file(&parts, body).await,
            (&Method::GET, "feed") => return Some(self.open_feed(&parts)),
            (&Method::GET, "status") => RunTask::Status {
                id,
                fetch: needs_dependency(&parts),
            },
            (&Method::GET, "certificates" | "maps") => {
                let bytes = download_bytes(&parts);
                RunTask::Download { id, bytes }
            }
            _ => return Some(empty_answer(StatusCode::NOT_FOUND)),
        };
        let marks = RequestMarks::new(&parts.headers);
        self.start(marks, task, work_ms(&parts)).await
    }

    async fn file(&self, parts: &Parts, body: Incoming) -> Option<Response<AnswerBody>> {
        let Some(body) = read_json::<FilingBody>(body).await else {
            return Some(empty_answer(StatusCode::BAD_REQUEST));
        };
        let mut marks = RequestMarks::new(&parts.headers);
        marks.filing = Some(body.filing.clone());
        let work_ms = body.work_ms();
        let task = RunTask::Filing {
            filing: body.filing,
        };
        self.start(marks, task, work_ms).await
    }

    async fn start(
        &self,
        marks: RequestMarks,
        task: RunTask,
        work_ms: u32,
    ) -> Option<Response<AnswerBody>> {
        match self.runs.start(&marks) {
            Ok(guard) => self.worker.run(guard, marks, task, work_ms).await,
            Err(_) => {
                self.runs.note_shed(&marks);
                Some(self.shed_answer(&marks))
            }
        }
    }

    fn shed_answer(&self, marks: &RequestMarks) -> Response<AnswerBody> {
        let mut answer = empty_answer(StatusCode::SERVICE_UNAVAILABLE);
        let headers = answer.headers_mut();
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
        headers.insert("lovagelatch-outcome", HeaderValue::from_static("not-run"));
        mark_answer(&mut answer, marks, &self.worker.service);
        answer
    }

    fn open_feed(&self, parts: &Parts) -> Response<AnswerBody> {
        let mut marks = RequestMarks::new(&parts.headers);
        marks.feed = true;
        let Ok(guard) = self.runs.start(&marks) else {
            return self.shed_answer(&marks);
        };
        let (sender, receiver) = body_channel();
        let feed = marks.request.clone().unwrap_or_default();
        tokio::spawn(send_feed(sender, guard, feed, self.worker.target.clone()));
        let mut answer = Response::new(streamed_body(receiver));
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert(header::CONTENT_TYPE, kind);
        mark_answer(&mut answer, &marks, &self.worker.service);
        answer
    }

    async fn put_fault(&self, body: Incoming) -> Response<AnswerBody> {
        let Some(change) = read_json::<FaultChange>(body).await else {
            return empty_answer(StatusCode::BAD_REQUEST);
        };
        if self.worker.faults.apply(&change) {
            let time_ms = unix_millis();
            self.runs.write(&BackendRecord::Leaving { time_ms });
        }
        json_answer(StatusCode::OK, &change)
    }

    fn answer_own(&self, route: &str) -> Option<Response<AnswerBody>> {
        if let Some(attempt) = route.strip_prefix("cancel/") {
            return self.cancel(attempt);
        }
        let faults = &self.worker.faults;
        let value = match route {
            "health" => {
                let (state, warming) = faults.shown_health();
                json!({"state": state, "warming_ms": warming.as_millis() as u64})
            }
            "load" => {
                let slots = self.runs.slots();
                let in_use = faults.shown_load(self.runs.in_use(), slots);
                json!({"in_use": in_use, "slots": slots})
            }
            _ => return Some(empty_answer(StatusCode::NOT_FOUND)),
        };
        Some(json_answer(StatusCode::OK, &value))
    }

    fn cancel(&self, attempt: &str) -> Option<Response<AnswerBody>> {
        let cancelled = self.runs.cancel(attempt);
        if self.worker.faults.loses_cancellations() {
            return None;
        }
        let status = if cancelled {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        Some(json_answer(status, &json!({"cancelled": cancelled})))
    }
}

async fn read_json<V: DeserializeOwned>(body: Incoming) -> Option<V> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
