//! What the request path hands in without waiting.
//!
//! What goes wrong otherwise: taking a configuration holds the member's lock for milliseconds in
//! a large fleet. A packet or request that waited for it would show as a spike of latency at each
//! change. So callers only leave things here, and the client's own tasks pick them up.

use lovagelatch_domain::{AgentAddress, GateReport};
use parking_lot::Mutex;
use tokio::sync::mpsc;

/// Datagrams that wait at most; beyond, they are dropped, as a network may.
const MAX_DATAGRAMS: usize = 1_024;

/// Ends of exchanges that wait at most between two ticks.
const MAX_EXCHANGES: usize = 1_024;

/// How an exchange with a peer ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExchangeEnd {
    pub(crate) agent: AgentAddress,
    pub(crate) succeeded: bool,
}

/// Things left for the client's tasks.
#[derive(Debug)]
pub(crate) struct FleetInbox {
    datagrams: mpsc::Sender<Vec<u8>>,
    report: Mutex<Option<GateReport>>,
    exchanges: Mutex<Vec<ExchangeEnd>>,
}

impl FleetInbox {
    /// An empty inbox and the end that its datagrams come out of.
    pub(crate) fn new() -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (datagrams, receiver) = mpsc::channel(MAX_DATAGRAMS);
        let inbox = Self {
            datagrams,
            report: Mutex::default(),
            exchanges: Mutex::default(),
        };
        (inbox, receiver)
    }

    /// Leaves a datagram; whether there was room.
    pub(crate) fn put_datagram(&self, datagram: &[u8]) -> bool {
        self.datagrams.try_send(datagram.to_vec()).is_ok()
    }

    /// Leaves a report; only the newest counts.
    pub(crate) fn put_report(&self, report: GateReport) {
        *self.report.lock() = Some(report);
    }

    /// Leaves the end of an exchange; beyond the limit they say nothing new.
    pub(crate) fn put_exchange(&self, end: ExchangeEnd) {
        let mut exchanges = self.exchanges.lock();
        if exchanges.len() < MAX_EXCHANGES {
            exchanges.push(end);
        }
    }

    /// The report left since the last call.
    pub(crate) fn take_report(&self) -> Option<GateReport> {
        self.report.lock().take()
    }

    /// The ends of exchanges left since the last call.
    pub(crate) fn take_exchanges(&self) -> Vec<ExchangeEnd> {
        std::mem::take(&mut *self.exchanges.lock())
    }
}
