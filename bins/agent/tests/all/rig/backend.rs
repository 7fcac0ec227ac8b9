//! A backend server with a hand-written HTTP/1.1 side, so that it can violate the protocol.

use std::collections::HashSet;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::{local, to_v4};

/// What a backend server has received, and how it is set to respond.
#[derive(Default)]
pub(crate) struct BackendRecord {
    /// Paths of the requests that started.
    pub(crate) started: Vec<String>,
    /// Attempts that started.
    pub(crate) attempts: HashSet<String>,
    /// Attempts that were cancelled before they started.
    pub(crate) cancelled: HashSet<String>,
    /// Number of accepted connections.
    pub(crate) connections: usize,
    /// The state that the health endpoint reports; `None` is "ready".
    pub(crate) health: Option<&'static str>,
    /// Whether it refuses every request before starting it.
    pub(crate) sheds: bool,
    /// Number of requests refused before they started.
    pub(crate) shed: usize,
    /// The body of the last request that started.
    pub(crate) last_body: Vec<u8>,
    /// The head of the last request that started.
    pub(crate) last_head: String,
}

/// The backend server.
pub(crate) struct TestBackend {
    pub(crate) address: SocketAddrV4,
    pub(crate) record: Arc<Mutex<BackendRecord>>,
    task: JoinHandle<()>,
}

impl TestBackend {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind(local(0)).await.expect("a listener");
        let address = to_v4(listener.local_addr().expect("an address"));
        let record = Arc::new(Mutex::new(BackendRecord::default()));
        let task = tokio::spawn(serve(listener, Arc::clone(&record)));
        Self {
            address,
            record,
            task,
        }
    }

    /// Returns how many requests started on a path.
    pub(crate) fn started(&self, path: &str) -> usize {
        let record = self.record.lock();
        record.started.iter().filter(|seen| *seen == path).count()
    }

    /// Closes every connection and accepts no more.
    pub(crate) fn kill(&self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, record: Arc<Mutex<BackendRecord>>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        record.lock().connections += 1;
        connections.spawn(serve_connection(stream, Arc::clone(&record)));
    }
}

struct ReceivedRequest {
    head: String,
    path: String,
    attempt: String,
    body: Vec<u8>,
}

async fn receive(stream: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if stream.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
        if &head[before..] == "\r\n" {
            break;
        }
    }
    let field = |name: &str| {
        let line = head.lines().find(|line| {
            let start = line.get(..name.len()).unwrap_or("");
            start.eq_ignore_ascii_case(name)
        });
        line.and_then(|line| line.split_once(": "))
            .map(|(_, value)| value.trim().to_owned())
    };
    let length = field("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    let path = head.split(' ').nth(1)?.to_owned();
    let attempt = field("lovagelatch-attempt").unwrap_or_default();
    Some(ReceivedRequest {
        head,
        path,
        attempt,
        body,
    })
}

async fn serve_connection(stream: TcpStream, record: Arc<Mutex<BackendRecord>>) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = receive(&mut stream).await {
        let stream = stream.get_mut();
        if respond(stream, &request, &record).await.is_none() {
            return;
        }
    }
}

/// Serves one request; `None` closes the connection.
async fn respond(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    record: &Mutex<BackendRecord>,
) -> Option<()> {
    if let Some(attempt) = request
        .path
        .strip_prefix("/.well-known/lovagelatch/cancel/")
    {
        return cancel(stream, attempt, record).await;
    }
    if request.path == "/.well-known/lovagelatch/health" {
        let state = record.lock().health.unwrap_or("ready");
        let body = format!("{{\"state\":\"{state}\",\"warming_ms\":0}}");
        return send(stream, "200 OK", "", body.as_bytes()).await;
    }
    let attempt = format!("lovagelatch-attempt: {}\r\n", request.attempt);
    let sheds = record.lock().sheds;
    if sheds || request.path.starts_with("/shed") {
        record.lock().shed += 1;
        // Below, a dependency refused the call, and the agent next to it decided about retries.
        let below = match request.path.as_str() {
            "/shed-below" => "lovagelatch-attempts-left: 0\r\n",
            _ => "",
        };
        let fields = format!("{attempt}lovagelatch-outcome: not-run\r\nretry-after: 2\r\n{below}");
        return send(stream, "503 Service Unavailable", &fields, b"").await;
    }
    if request.path == "/queued" {
        // Waits in the server's queue and never starts.
        tokio::time::sleep(Duration::from_secs(60)).await;
        return None;
    }
    let run = {
        let mut record = record.lock();
        record.attempts.insert(request.attempt.clone());
        record.started.push(request.path.clone());
        record.last_body.clone_from(&request.body);
        record.last_head.clone_from(&request.head);
        record.started.len()
    };
    match request.path.as_str() {
        "/crossed" => {
            let other = "lovagelatch-attempt: 0123456789abcdef0123456789abcdef\r\n";
            send(stream, "200 OK", other, b"another caller's claim").await
        }
        "/restarted" => {
            // The server fails after the start; its successor does not know the attempt.
            record.lock().attempts.remove(&request.attempt);
            None
        }
        "/unmarked" => send(stream, "200 OK", "", b"no attempt named").await,
        "/short" => {
            let head = format!("HTTP/1.1 200 OK\r\n{attempt}content-length: 100\r\n\r\nten bytes.");
            stream.write_all(head.as_bytes()).await.ok()?;
            None
        }
        "/endless" => endless(stream, &attempt).await,
        "/late" => {
            tokio::time::sleep(Duration::from_millis(600)).await;
            send(stream, "200 OK", &attempt, b"too late").await
        }
        "/big" => send(stream, "200 OK", &attempt, &[b'x'; 200_000]).await,
        "/feed" => feed(stream, &attempt).await,
        "/claims" => {
            tokio::time::sleep(Duration::from_millis(150)).await;
            let body = format!("{{\"run\":{run}}}");
            send(stream, "201 Created", &attempt, body.as_bytes()).await
        }
        path if path.starts_with("/claims?bytes=") => {
            let length = path.rsplit('=').next().and_then(|text| text.parse().ok());
            let body = format!("{{\"run\":{run}}}{}", " ".repeat(length.unwrap_or(0)));
            send(stream, "201 Created", &attempt, body.as_bytes()).await
        }
        _ => send(stream, "200 OK", &attempt, request.path.as_bytes()).await,
    }
}

async fn cancel(
    stream: &mut TcpStream,
    attempt: &str,
    record: &Mutex<BackendRecord>,
) -> Option<()> {
    let started = {
        let mut record = record.lock();
        let started = record.attempts.contains(attempt);
        if !started {
            record.cancelled.insert(attempt.to_owned());
        }
        started
    };
    if started {
        send(stream, "409 Conflict", "", b"{\"cancelled\":false}").await
    } else {
        send(stream, "200 OK", "", b"{\"cancelled\":true}").await
    }
}

async fn send(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{fields}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    stream.write_all(body).await.ok()
}

/// Sends a response of one megabyte over ten seconds.
async fn endless(stream: &mut TcpStream, attempt: &str) -> Option<()> {
    let head = format!("HTTP/1.1 200 OK\r\n{attempt}content-length: 1000000\r\n\r\n");
    stream.write_all(head.as_bytes()).await.ok()?;
    for _ in 0..100 {
        stream.write_all(&[b'x'; 10_000]).await.ok()?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Some(())
}

async fn feed(stream: &mut TcpStream, attempt: &str) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{attempt}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    for number in 1.. {
        let event = format!("id: {number}\ndata: claim {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await.ok()?;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}
