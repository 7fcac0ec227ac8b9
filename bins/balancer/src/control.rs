//! The control address: frames and streams of the system's other processes.

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

/// Room for one frame over UDP, in bytes.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// How long a new stream may take to send its first frame.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// Streams that are open at a time. Without a bound, connections that never speak would use up
/// the process's file descriptors.
const MAX_STREAMS: usize = 256;

/// Pause after a failed accept, so that a shortage of file descriptors is not met in a loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the control address of a balancer.
#[derive(Clone, Debug)]
pub(crate) struct ControlPort {
    fleet: FleetClient,
    keys: Arc<ArcSwap<FleetKeys>>,
    refused: Counter<u64>,
    log: Logger,
}

impl ControlPort {
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

    /// Takes frames over UDP for ever.
    pub(crate) async fn serve_datagrams(self, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.take_datagram(&buffer[..length]),
                // The network's answer to something this socket sent; it says nothing here.
                Err(error) => debug!(self.log, "control socket"; "error" => error.to_string()),
            }
        }
    }

    fn take_datagram(&self, datagram: &[u8]) {
        if self.is_membership(datagram, "udp") {
            self.fleet.accept_datagram(datagram);
        }
    }

    /// Takes streams for ever.
    pub(crate) async fn serve_streams(self, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(MAX_STREAMS));
        loop {
            let Ok(place) = Arc::clone(&places).acquire_owned().await else {
                return;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let port = self.clone();
                    tokio::spawn(async move {
                        port.take_stream(stream).await;
                        drop(place);
                    });
                }
                Err(error) => self.pause_accepting(&error).await,
            }
        }
    }

    async fn pause_accepting(&self, error: &io::Error) {
        debug!(self.log, "control stream not accepted"; "error" => error.to_string());
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }

    async fn take_stream(&self, mut stream: TcpStream) {
        let first = read_frame(&mut stream, MAX_STREAM_FRAME_BYTES);
        let first = tokio::time::timeout(FIRST_FRAME_TIMEOUT, first).await;
        let Ok(Ok(Some(first))) = first else {
            return;
        };
        if self.is_membership(&first, "tcp") {
            self.fleet.accept_stream(stream, first).await;
        }
    }

    fn is_membership(&self, frame: &[u8], transport: &'static str) -> bool {
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
