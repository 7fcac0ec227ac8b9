//! A non-blocking inbox between the packet and request paths and the client's tasks.
//!
//! Applying a configuration holds the member's lock for milliseconds in a large fleet. Packets and
//! requests that waited for the lock would see a latency spike at each change. So they only leave
//! data in the inbox, and the client's tasks process it.

use lovagelatch_domain::{AgentAddress, GateReport};
use parking_lot::Mutex;
use tokio::sync::mpsc;

/// Maximum number of queued datagrams; further ones are dropped, as the network may drop any.
const MAX_DATAGRAMS: usize = 1_024;

/// Maximum number of exchange outcomes kept between two ticks.
const MAX_EXCHANGES: usize = 1_024;

/// The outcome of an exchange with a peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeOutcome {
    pub(crate) agent: AgentAddress,
    pub(crate) succeeded: bool,
}

/// Data queued for the client's tasks.
#[derive(Debug)]
pub(crate) struct FleetInbox {
    datagrams: mpsc::Sender<Vec<u8>>,
    report: Mutex<Option<GateReport>>,
    exchanges: Mutex<Vec<ExchangeOutcome>>,
}

impl FleetInbox {
    /// Creates an empty inbox and the receiver of its datagrams.
    pub(crate) fn new() -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (datagrams, receiver) = mpsc::channel(MAX_DATAGRAMS);
        let inbox = Self {
            datagrams,
            report: Mutex::default(),
            exchanges: Mutex::default(),
        };
        (inbox, receiver)
    }

    /// Queues a datagram. Returns `false` if the queue is full.
    pub(crate) fn push_datagram(&self, datagram: &[u8]) -> bool {
        self.datagrams.try_send(datagram.to_vec()).is_ok()
    }

    /// Stores a report, replacing an earlier one.
    pub(crate) fn set_report(&self, report: GateReport) {
        *self.report.lock() = Some(report);
    }

    /// Queues the outcome of an exchange. Outcomes beyond the limit are dropped; they add little.
    pub(crate) fn push_exchange(&self, outcome: ExchangeOutcome) {
        let mut exchanges = self.exchanges.lock();
        if exchanges.len() < MAX_EXCHANGES {
            exchanges.push(outcome);
        }
    }

    /// Takes the report stored since the last call, if any.
    pub(crate) fn take_report(&self) -> Option<GateReport> {
        self.report.lock().take()
    }

    /// Takes the outcomes queued since the last call.
    pub(crate) fn take_exchanges(&self) -> Vec<ExchangeOutcome> {
        std::mem::take(&mut *self.exchanges.lock())
    }
}
