//! A caller: an ordinary HTTP/3 client.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::client::SendRequest;
use http::{HeaderMap, Request, StatusCode};
use quinn::crypto::rustls::QuicClientConfig;
use quinn::{ClientConfig, Connection, Endpoint, TransportConfig};
use rustls_pki_types::CertificateDer;

use super::{SERVICE, local};

/// How long a test waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a response that a caller receives before it reads them.
const STREAM_WINDOW: u32 = 32 * 1024;

type ClientStream = h3::client::RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// A caller with one flow.
pub(crate) struct TestCaller {
    pub(crate) connection: Connection,
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
    _endpoint: Endpoint,
}

/// A response.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// `None` if the stream was reset before its end.
    pub(crate) body: Option<Vec<u8>>,
}

impl CallerResponse {
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    pub(crate) fn outcome(&self) -> &str {
        self.header("lovagelatch-outcome")
    }
}

impl TestCaller {
    pub(crate) async fn connect(address: SocketAddrV4, certificate: &[u8]) -> Self {
        let endpoint = Endpoint::client(SocketAddr::V4(local(0))).expect("a socket");
        Self::connect_over(endpoint, address, certificate).await
    }

    /// Opens a flow over the given socket.
    pub(crate) async fn connect_over(
        endpoint: Endpoint,
        address: SocketAddrV4,
        certificate: &[u8],
    ) -> Self {
        let connection = open(&endpoint, address, certificate).await;
        let connection = connection.expect("the flow opens");
        let made = h3::client::new(h3_quinn::Connection::new(connection.clone())).await;
        let (mut driver, sender) = made.expect("HTTP/3");
        tokio::spawn(async move {
            std::future::poll_fn(|context| driver.poll_close(context)).await;
        });
        Self {
            connection,
            sender,
            _endpoint: endpoint,
        }
    }

    /// Opens the QUIC connection without HTTP/3.
    pub(crate) async fn try_connect(
        address: SocketAddrV4,
        certificate: &[u8],
    ) -> Result<(Endpoint, Connection), quinn::ConnectionError> {
        let endpoint = Endpoint::client(SocketAddr::V4(local(0))).expect("a socket");
        let connection = open(&endpoint, address, certificate).await?;
        Ok((endpoint, connection))
    }

    pub(crate) async fn get(&self, path: &str) -> CallerResponse {
        self.send("GET", path, &[], b"").await.expect("a response")
    }

    /// Sends a request and waits for the complete response; `None` if the stream or the flow
    /// ended before the head of the response.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Option<CallerResponse> {
        let exchange = async {
            let mut stream = self.start(method, path, fields, body).await?;
            let head = stream.recv_response().await.ok()?;
            let body = receive_body(&mut stream).await;
            Some(CallerResponse {
                status: head.status(),
                headers: head.headers().clone(),
                body,
            })
        };
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await;
        response.expect("a response in time")
    }

    /// Sends a request and returns its stream.
    pub(crate) async fn start(
        &self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Option<ClientStream> {
        let mut stream = self.open(method, path, fields).await?;
        if !body.is_empty() {
            stream.send_data(Bytes::copy_from_slice(body)).await.ok()?;
        }
        stream.finish().await.ok()?;
        Some(stream)
    }

    /// Sends only the head of a request.
    pub(crate) async fn open(
        &self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
    ) -> Option<ClientStream> {
        let uri = format!("https://{SERVICE}.test{path}");
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in fields {
            request = request.header(*name, *value);
        }
        let request = request.body(()).expect("a request");
        let mut sender = self.sender.clone();
        sender.send_request(request).await.ok()
    }
}

async fn open(
    endpoint: &Endpoint,
    address: SocketAddrV4,
    certificate: &[u8],
) -> Result<Connection, quinn::ConnectionError> {
    let config = client_config(certificate);
    let name = format!("{SERVICE}.test");
    let connecting = endpoint.connect_with(config, SocketAddr::V4(address), &name);
    connecting.expect("a legal address").await
}

async fn receive_body(stream: &mut ClientStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        match stream.recv_data().await {
            Ok(Some(mut chunk)) => {
                body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
            }
            Ok(None) => return Some(body),
            Err(_) => return None,
        }
    }
}

fn client_config(certificate: &[u8]) -> ClientConfig {
    let mut roots = rustls::RootCertStore::empty();
    let certificate = CertificateDer::from(certificate.to_vec());
    roots.add(certificate).expect("a certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_root_certificates(roots)
        .with_no_client_auth();
    config.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicClientConfig::try_from(config).expect("QUIC suites");
    let mut config = ClientConfig::new(Arc::new(crypto));
    let mut transport = TransportConfig::default();
    transport.stream_receive_window(STREAM_WINDOW.into());
    transport.max_idle_timeout(Some(RESPONSE_TIMEOUT.try_into().expect("a timeout")));
    config.transport_config(Arc::new(transport));
    config
}
