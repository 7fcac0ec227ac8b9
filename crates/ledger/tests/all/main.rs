//! Tests of the once-only ledger.

mod faults;
mod handover;
mod invariants;
mod ledger;
mod support;
