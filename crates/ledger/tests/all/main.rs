//! Tests of the at-most-once ledger.

mod faults;
mod handover;
mod invariants;
mod ledger;
mod support;
