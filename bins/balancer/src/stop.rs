//! Graceful shutdown: stop signals and draining.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::forward::ForwardState;

/// The drain ends when no packet has arrived for this long: the fabric no longer sends here.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Interval at which the drain checks whether packets still arrive.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for SIGTERM or SIGINT.
pub(crate) struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    pub(crate) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits until the fabric stops sending packets here, `limit` expires, or a second signal arrives.
/// The packet threads keep forwarding meanwhile.
///
/// The fabric keeps sending to an instance for a while after it starts to stop. Without the drain
/// these packets would be lost, and callers would stall for a retransmission timeout. Nothing else
/// needs to be handed over, since there is no flow state.
pub(crate) async fn drain(state: &ForwardState, limit: Duration, stop: &mut StopSignal) {
    tokio::select! {
        () = wait_for_quiet(state) => {}
        () = tokio::time::sleep(limit) => {}
        () = stop.wait() => {}
    }
}

async fn wait_for_quiet(state: &ForwardState) {
    let mut seen = state.received.load(Ordering::Relaxed);
    let mut quiet = Duration::ZERO;
    while quiet < QUIET_PERIOD {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let received = state.received.load(Ordering::Relaxed);
        quiet = if received == seen {
            quiet + DRAIN_POLL_INTERVAL
        } else {
            Duration::ZERO
        };
        seen = received;
    }
}
