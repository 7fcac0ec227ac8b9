//! Tests of the fleet's keys and of the tokens, tickets and frames that use them.

mod file;
mod frame;
mod ring;
mod support;
mod ticket;
mod token;
