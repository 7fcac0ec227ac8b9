//! Tests of how a process reaches others.

mod header;
mod path;
mod stream;
