//! Tests of keys and of what is sealed with them.

mod file;
mod frame;
mod ring;
mod support;
mod ticket;
mod token;
