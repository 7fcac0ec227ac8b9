//! Tests of the callers against a small HTTP/3 server with scripted responses.

mod feeds;
mod responses;
mod server;
