//! Ending a balancer without losing a packet.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::forward::ForwardState;

/// A stop ends when no packet has arrived for this long: the fabric no longer sends here.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// How often a stop looks whether packets still arrive.
const DRAIN_STEP: Duration = Duration::from_millis(50);

/// SIGTERM or SIGINT.
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

/// Keeps forwarding until the fabric sends nothing here any more, the limit is over, or a
/// second signal comes.
///
/// What goes wrong without it: the fabric goes on sending to an instance for a while after it
/// began to stop, and each such packet would be lost; callers notice as a stall of one
/// retransmission timeout. Nothing else has to be handed over, since there is no flow state.
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
        tokio::time::sleep(DRAIN_STEP).await;
        let received = state.received.load(Ordering::Relaxed);
        quiet = if received == seen {
            quiet + DRAIN_STEP
        } else {
            Duration::ZERO
        };
        seen = received;
    }
}
