//! Tests of headers, paths and stream frames.

mod header;
mod path;
mod stream;
