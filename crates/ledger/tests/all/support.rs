//! Shared builders.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, AttemptId, Incarnation, ServiceId};
use lovagelatch_keys::RequestTicket;
use lovagelatch_ledger::{LedgerOutcome, LedgerSettings, RequestLedger, StoredAnswer};

/// The lifetime of a ticket in seconds.
pub(crate) const LIFETIME: u64 = 600;

/// The time at which tests start, in seconds since the Unix epoch.
pub(crate) const START: u64 = 1_000_000;

pub(crate) const SERVICE: ServiceId = ServiceId(7);

pub(crate) fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, number), 7_000))
}

pub(crate) fn settings(number: u8, incarnation: u64) -> LedgerSettings {
    let lifetime = Duration::from_secs(LIFETIME);
    LedgerSettings::new(agent(number), Incarnation(incarnation), lifetime)
}

pub(crate) fn new_ledger(number: u8, incarnation: u64) -> RequestLedger {
    RequestLedger::new(settings(number, incarnation))
}

pub(crate) fn attempt(number: u128) -> AttemptId {
    AttemptId(number)
}

pub(crate) fn answer(text: &str) -> StoredAnswer {
    StoredAnswer::new(201, text.as_bytes().to_vec()).with_header("content-type", b"text/plain")
}

pub(crate) fn done(text: &str) -> LedgerOutcome {
    LedgerOutcome::Done(answer(text))
}

/// Creates a ledger with one ticket issued at `START`.
pub(crate) fn with_ticket() -> (RequestLedger, RequestTicket) {
    let mut ledger = new_ledger(1, 1);
    let ticket = ledger.issue(SERVICE, START);
    (ledger, ticket)
}
