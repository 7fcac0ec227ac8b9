//! Listening and serving connections.

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
use crate::fault::FaultBoard;
use crate::routes::RequestRouter;
use crate::runs::RunTable;
use crate::work::RequestWorker;

/// How a backend server is set up.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Where it listens; port 0 lets the operating system choose.
    pub listen: SocketAddrV4,
    /// Its service.
    pub service: String,
    /// Its name in the history.
    pub target: String,
    /// How many requests it runs at once.
    pub slots: u16,
    /// How long its cold start takes: what comes earlier waits that long.
    pub cold: Duration,
    /// Where its history goes.
    pub history: PathBuf,
    /// The service it depends on, if there is one.
    pub dependency: Option<DependencyOptions>,
}

/// Why a backend server did not start, or ended.
#[derive(Debug, Error)]
pub enum BackendError {
    /// It could not listen, or no longer.
    #[error("not listening: {0}")]
    Listen(#[from] io::Error),
    /// Its history could not be created.
    #[error("history not created: {0}")]
    History(#[from] HistoryError),
}

/// The request was swallowed on purpose: the connection closes without an answer.
#[derive(Debug, Error)]
#[error("no answer")]
struct NoAnswer;

/// A backend server that listens.
#[derive(Debug)]
pub struct BackendServer {
    listener: TcpListener,
    router: Arc<RequestRouter>,
}

impl BackendServer {
    /// Listens, and writes the first line of the history.
    ///
    /// # Errors
    ///
    /// A [`BackendError`] when it cannot listen or write.
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
        let faults = Arc::new(FaultBoard::new(options.cold));
        let worker = Arc::new(RequestWorker::new(
            options.service,
            options.target,
            faults,
            options.dependency,
        ));
        let router = Arc::new(RequestRouter { runs, worker });
        Ok(Self { listener, router })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// What the operating system said.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the listener breaks.
    ///
    /// # Errors
    ///
    /// What the operating system said.
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
        async move { router.answer(request).await.ok_or(NoAnswer) }
    });
    // Broken connections are the agent's business; the run goes on in its own task.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
