//! A running server and a small client.

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use lovagelatch_backend::{BackendOptions, BackendServer};
use lovagelatch_history::{BackendRecord, read_history};
use tokio::net::TcpStream;

/// A server that runs until the test ends.
pub(crate) struct RunningServer {
    address: std::net::SocketAddr,
    history: PathBuf,
}

/// An answer.
#[derive(Debug)]
pub(crate) struct SeenAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// `None` when the body broke off.
    pub(crate) body: Option<Bytes>,
}

impl RunningServer {
    pub(crate) async fn start(name: &str, slots: u16, cold: Duration) -> Self {
        let number = std::process::id();
        let file = format!("lovagelatch-backend-{number}-{name}.jsonl");
        let history = std::env::temp_dir().join(file);
        let server = BackendServer::bind(BackendOptions {
            listen: "127.0.0.1:0".parse().expect("an address"),
            service: "claims".to_owned(),
            target: "claims-1".to_owned(),
            slots,
            cold,
            history: history.clone(),
            dependency: None,
        })
        .await
        .expect("a free port");
        let address = server.address().expect("a bound listener");
        tokio::spawn(server.serve());
        Self { address, history }
    }

    /// Sends a request; `None` when the connection closed without an answer.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        marks: &[(&str, &str)],
        body: &str,
    ) -> Option<SeenAnswer> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "claims");
        for (name, value) in marks {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        let answer = sender.send_request(request.ok()?).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body
            .collect()
            .await
            .ok()
            .map(http_body_util::Collected::to_bytes);
        Some(SeenAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    pub(crate) async fn get(&self, path: &str, attempt: &str) -> Option<SeenAnswer> {
        let marks = [("lovagelatch-attempt", attempt)];
        self.send("GET", path, &marks, "").await
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
