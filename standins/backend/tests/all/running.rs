//! A running server with a minimal HTTP client.

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use lovagelatch_backend::{BackendOptions, BackendServer};
use lovagelatch_history::{BackendRecord, read_history};
use tokio::net::TcpStream;

/// A server that runs until the end of the test.
pub(crate) struct RunningServer {
    address: std::net::SocketAddr,
    history: PathBuf,
}

/// A response as the client received it.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// `None` if the body was truncated.
    pub(crate) body: Option<Bytes>,
}

impl RunningServer {
    pub(crate) async fn start(name: &str, slots: u16, cold_start: Duration) -> Self {
        let process = std::process::id();
        let file = format!("lovagelatch-backend-{process}-{name}.jsonl");
        let history = std::env::temp_dir().join(file);
        let server = BackendServer::bind(BackendOptions {
            listen: "127.0.0.1:0".parse().expect("an address"),
            service: "claims".to_owned(),
            target: "claims-1".to_owned(),
            slots,
            cold_start,
            history: history.clone(),
            dependency: None,
        })
        .await
        .expect("a free port");
        let address = server.address().expect("a bound listener");
        tokio::spawn(server.serve());
        Self { address, history }
    }

    /// Sends a request. Returns `None` if the connection closed without a response.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<ReceivedResponse> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "claims");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        let response = sender.send_request(request.ok()?).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .ok()
            .map(http_body_util::Collected::to_bytes);
        Some(ReceivedResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    pub(crate) async fn get(&self, path: &str, attempt: &str) -> Option<ReceivedResponse> {
        let headers = [("lovagelatch-attempt", attempt)];
        self.send("GET", path, &headers, "").await
    }

    pub(crate) fn records(&self) -> Vec<BackendRecord> {
        read_history(&self.history).expect("a history")
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.history);
    }
}
