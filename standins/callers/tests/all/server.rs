//! A small HTTP/3 server with scripted responses.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use h3::server::RequestResolver;
use http::{Request, Response};
use lovagelatch_callers::{AddressPlan, CallerPlan, ServicePlan, run_callers};
use lovagelatch_history::{CallerRecord, read_history};
use quinn::crypto::rustls::QuicServerConfig;
use rcgen::{CertificateParams, KeyPair};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

/// The response to one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct ScriptedResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Chunks of the body, each sent after [`CHUNK_DELAY`].
    pub(crate) chunks: Vec<Bytes>,
    /// Whether the body stays open after the last chunk.
    pub(crate) stays_open: bool,
}

impl ScriptedResponse {
    pub(crate) fn new(status: u16, outcome: &str, body: String) -> Self {
        Self {
            status,
            headers: vec![("lovagelatch-outcome", outcome.to_owned())],
            chunks: vec![Bytes::from(body)],
            stays_open: false,
        }
    }

    pub(crate) fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// A script: maps a request and its number, from 0, to its response.
pub(crate) type Script = fn(&Request<()>, u64) -> ScriptedResponse;

/// Delay before each chunk of a body.
const CHUNK_DELAY: Duration = Duration::from_millis(20);

/// Returns the id at the end of the path of a request.
pub(crate) fn requested_id(request: &Request<()>) -> String {
    let path = request.uri().path();
    path.rsplit('/').next().unwrap_or_default().to_owned()
}

/// Returns the text of a header.
pub(crate) fn header(request: &Request<()>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Runs callers against a script for one second and returns their history.
pub(crate) async fn run_against(
    name: &str,
    service: ServicePlan,
    script: Script,
) -> Vec<CallerRecord> {
    let file = |suffix: &str| -> PathBuf {
        let process = std::process::id();
        std::env::temp_dir().join(format!("lovagelatch-callers-{process}-{name}{suffix}"))
    };
    let (ca, history) = (file(".pem"), file(".jsonl"));
    let address = serve(&ca, script);
    let feeds = u32::from(service.feed);
    let plan = CallerPlan {
        seed: 7,
        seconds: 1.0,
        rate: 10.0,
        feeds,
        mean_work_ms: 1.0,
        deadline_ms: 3_000,
        services: vec![ServicePlan {
            ca: ca.clone(),
            addresses: vec![AddressPlan {
                address,
                agency: None,
                weight: 1.0,
            }],
            ..service
        }],
        history: history.clone(),
    };
    let run = run_callers(plan, |_| ());
    let run = tokio::time::timeout(Duration::from_secs(30), run).await;
    run.expect("the run ends in time").expect("the run starts");
    let records = read_history(&history).expect("a history");
    let _ = std::fs::remove_file(ca);
    let _ = std::fs::remove_file(history);
    records
}

/// Returns the plan of a service without any kind of request.
pub(crate) fn bare_service() -> ServicePlan {
    ServicePlan {
        name: "claims".to_owned(),
        server_name: "claims.test".to_owned(),
        ca: PathBuf::new(),
        addresses: Vec::new(),
        share: 1.0,
        status: false,
        depends: false,
        download: None,
        filing: None,
        feed: false,
    }
}

fn serve(ca: &PathBuf, script: Script) -> SocketAddrV4 {
    let key = KeyPair::generate().expect("a key");
    let params = CertificateParams::new(vec!["claims.test".to_owned()]).expect("a name");
    let certificate = params.self_signed(&key).expect("a certificate");
    std::fs::write(ca, certificate.pem()).expect("a file in the temporary directory");
    let chain = vec![CertificateDer::from(certificate.der().to_vec())];
    let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(key.serialize_der()));
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .expect("a usable certificate");
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let tls = QuicServerConfig::try_from(tls).expect("a QUIC cipher suite");
    let config = quinn::ServerConfig::with_crypto(Arc::new(tls));
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let endpoint = quinn::Endpoint::server(config, any_port).expect("a free port");
    let SocketAddr::V4(address) = endpoint.local_addr().expect("a bound socket") else {
        unreachable!("bound to an IPv4 address");
    };
    let numbers = Arc::new(AtomicU64::new(0));
    tokio::spawn(async move {
        while let Some(incoming) = endpoint.accept().await {
            tokio::spawn(serve_flow(incoming, script, Arc::clone(&numbers)));
        }
    });
    address
}

async fn serve_flow(incoming: quinn::Incoming, script: Script, numbers: Arc<AtomicU64>) {
    let Ok(connection) = incoming.await else {
        return;
    };
    let quic = h3_quinn::Connection::new(connection);
    let Ok(mut flow) = h3::server::Connection::<_, Bytes>::new(quic).await else {
        return;
    };
    while let Ok(Some(resolver)) = flow.accept().await {
        tokio::spawn(respond(resolver, script, Arc::clone(&numbers)));
    }
}

async fn respond(
    resolver: RequestResolver<h3_quinn::Connection, Bytes>,
    script: Script,
    numbers: Arc<AtomicU64>,
) {
    let Ok((request, mut stream)) = resolver.resolve_request().await else {
        return;
    };
    let response = script(&request, numbers.fetch_add(1, Ordering::Relaxed));
    let mut head = Response::builder().status(response.status);
    for (name, value) in &response.headers {
        head = head.header(*name, value);
    }
    let head = head.body(()).expect("scripts have valid headers");
    if stream.send_response(head).await.is_err() {
        return;
    }
    for chunk in response.chunks {
        tokio::time::sleep(CHUNK_DELAY).await;
        if stream.send_data(chunk).await.is_err() {
            return;
        }
    }
    if response.stays_open {
        std::future::pending::<()>().await;
    }
    let _ = stream.finish().await;
}
