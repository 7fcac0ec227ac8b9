//! Control address: frames and streams from other processes of the fleet.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_fleet::FleetClient;
use lovagelatch_keys::FleetKeys;
use lovagelatch_network::read_frame;
use lovagelatch_telemetry::{Counter, KeyValue, Logger, Meter, debug};
use lovagelatch_wire::{FrameError, FrameKind, MAX_STREAM_FRAME_BYTES, open_frame};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Semaphore;

/// Size of the receive buffer for one UDP frame, in bytes.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Timeout for the first frame of a new stream.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of streams open at a time. Without a limit, idle connections would exhaust the
/// process's file descriptors.
const MAX_STREAMS: usize = 256;

/// Delay after a failed accept, so that a shortage of file descriptors does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Serves the control address of a balancer.
#[derive(Clone, Debug)]
pub(crate) struct ControlServer {
    fleet: FleetClient,
    keys: Arc<ArcSwap<FleetKeys>>,
    refused: Counter<u64>,
    log: Logger,
}

impl ControlServer {
    pub(crate) fn new(
        fleet: FleetClient,
        keys: Arc<ArcSwap<FleetKeys>>,
        meter: &Meter,
        log: Logger,
    ) -> Self {
        let refused = meter
            .u64_counter("lovagelatch.control.frames_refused")
            .with_unit("{frame}")
            .with_description(
                "Frames on the control address that were not genuine or not meant here",
            )
            .build();
        Self {
            fleet,
            keys,
            refused,
            log,
        }
    }

    /// Handles UDP frames; never returns.
    pub(crate) async fn serve_datagrams(self, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.handle_datagram(&buffer[..length]),
                // An ICMP error for an earlier datagram of this socket; not fatal.
                Err(error) => debug!(self.log, "control socket"; "error" => error.to_string()),
            }
        }
    }

    fn handle_datagram(&self, datagram: &[u8]) {
        if self.verify_membership(datagram, "udp") {
            self.fleet.accept_datagram(datagram);
        }
    }

    /// Accepts streams; never returns.
    pub(crate) async fn serve_streams(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_STREAMS));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    tokio::spawn(async move {
                        server.handle_stream(stream).await;
                        drop(permit);
                    });
                }
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    async fn back_off(&self, error: &io::Error) {
        debug!(self.log, "control stream not accepted"; "error" => error.to_string());
        tokio::time::sleep(ACCEPT_BACKOFF).await;
    }

    async fn handle_stream(&self, mut stream: TcpStream) {
        let first = read_frame(&mut stream, MAX_STREAM_FRAME_BYTES);
        let first = tokio::time::timeout(FIRST_FRAME_TIMEOUT, first).await;
        let Ok(Ok(Some(first))) = first else {
            return;
        };
        if self.verify_membership(&first, "tcp") {
            self.fleet.accept_stream(stream, first).await;
        }
    }

    /// Returns whether the frame is a genuine membership frame. Counts and logs it otherwise.
    fn verify_membership(&self, frame: &[u8], transport: &'static str) -> bool {
        let keys = self.keys.load();
        let error = match open_frame(frame, &keys) {
            Ok(opened) if opened.kind == FrameKind::Membership => return true,
            Ok(opened) => FrameError::UnexpectedKind {
                kind: opened.kind as u8,
            },
            Err(error) => error,
        };
        self.refused
            .add(1, &[KeyValue::new("transport", transport)]);
        debug!(self.log, "control frame refused";
            "transport" => transport, "error" => error.to_string());
        false
    }
}
