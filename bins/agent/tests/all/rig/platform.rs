//! The platform: serves the configuration and the instance list over HTTP.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lovagelatch_domain::{InstanceList, ListRevision, TargetRecord};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{local, to_v4};

#[derive(Default)]
struct PublishedState {
    text: String,
    list: InstanceList,
}

/// A platform that answers every read immediately.
pub(crate) struct TestPlatform {
    pub(crate) address: SocketAddrV4,
    published: Arc<Mutex<PublishedState>>,
}

impl TestPlatform {
    pub(crate) async fn start(text: &str) -> Self {
        let listener = TcpListener::bind(local(0)).await.expect("a listener");
        let address = to_v4(listener.local_addr().expect("an address"));
        let published = Arc::new(Mutex::new(PublishedState {
            text: text.to_owned(),
            list: InstanceList::default(),
        }));
        tokio::spawn(serve(listener, Arc::clone(&published)));
        Self { address, published }
    }

    pub(crate) fn set_targets(&self, targets: Vec<TargetRecord>) {
        let mut published = self.published.lock();
        published.list.revision = ListRevision(published.list.revision.0 + 1);
        published.list.targets = targets;
    }
}

async fn serve(listener: TcpListener, published: Arc<Mutex<PublishedState>>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(respond(stream, Arc::clone(&published)));
    }
}

async fn respond(mut stream: TcpStream, published: Arc<Mutex<PublishedState>>) {
    let mut head = vec![0; 4096];
    let length = stream.read(&mut head).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&head[..length]).into_owned();
    let body = if head.starts_with("GET /v1/instances") {
        serde_json::to_string(&published.lock().list)
    } else if head.starts_with("GET /v1/config/watch") {
        tokio::time::sleep(std::time::Duration::from_secs(30)).await;
        Ok(String::new())
    } else {
        let text = published.lock().text.clone();
        serde_json::to_string(&serde_json::json!({ "revision": 1, "text": text }))
    };
    let body = body.expect("JSON");
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = stream.write_all(response.as_bytes()).await;
}
