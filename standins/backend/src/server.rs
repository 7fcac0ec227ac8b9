//! Accepts connections and serves them.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lovagelatch_history::{BackendRecord, HistoryError, HistoryWriter, unix_millis};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};

use crate::dependency::DependencyOptions;
use crate::fault::FaultInjector;
use crate::routes::RequestRouter;
use crate::runs::RunTable;
use crate::work::RequestWorker;

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The address to listen on; port 0 lets the operating system choose.
    pub listen: SocketAddrV4,
    /// Name of its service.
    pub service: String,
    /// Name of the server in the history.
    pub target: String,
    /// Number of requests that it runs at once.
    pub slots: u16,
    /// Duration of its cold start. Requests that arrive earlier wait for its end.
    pub cold_start: Duration,
    /// File that the history is written to.
    pub history: PathBuf,
    /// The service that it depends on.
    pub dependency: Option<DependencyOptions>,
}

/// Why a backend server did not start, or stopped.
#[derive(Debug, Error)]
pub enum BackendError {
    /// Binding the listener or accepting a connection failed.
    #[error("listener failed: {0}")]
    Listen(#[from] io::Error),
    /// The history file could not be created.
    #[error("cannot create the history: {0}")]
    History(#[from] HistoryError),
}

/// A fault suppressed the response. The connection closes without one.
#[derive(Debug, Error)]
#[error("response suppressed by a fault")]
struct SuppressedResponse;

/// A backend server with a bound listener.
#[derive(Debug)]
pub struct BackendServer {
    listener: TcpListener,
    router: Arc<RequestRouter>,
}

impl BackendServer {
    /// Binds the listener and writes the first line of the history.
    ///
    /// # Errors
    ///
    /// Returns a [`BackendError`] if the history cannot be created or the address cannot be bound.
    pub async fn bind(options: BackendOptions) -> Result<Self, BackendError> {
        let history = HistoryWriter::create(&options.history)?;
        let listener = TcpListener::bind(options.listen).await?;
        let runs = Arc::new(RunTable::new(options.slots, history));
        runs.write(&BackendRecord::Ready {
            time_ms: unix_millis(),
            target: options.target.clone(),
            service: options.service.clone(),
            slots: options.slots,
        });
        let faults = Arc::new(FaultInjector::new(options.cold_start));
        let worker = Arc::new(RequestWorker::new(
            options.service,
            options.target,
            faults,
            options.dependency,
        ));
        let router = Arc::new(RequestRouter { runs, worker });
        Ok(Self { listener, router })
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves connections until the listener fails.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub async fn serve(self) -> Result<(), BackendError> {
        loop {
            let (stream, _) = self.listener.accept().await?;
            let router = Arc::clone(&self.router);
            tokio::spawn(serve_connection(stream, router));
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Arc<RequestRouter>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let router = Arc::clone(&router);
        async move { router.handle(request).await.ok_or(SuppressedResponse) }
    });
    // The agent handles connection errors. A run continues in its own task.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
