//! Tests of the ledger of once-only requests.

mod faults;
mod handover;
mod invariants;
mod ledger;
mod support;
