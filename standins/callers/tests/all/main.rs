//! Tests of the callers against a small HTTP/3 server that answers as each case says.

mod cases;
mod feeds;
mod server;
