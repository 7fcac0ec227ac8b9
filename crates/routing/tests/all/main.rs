//! Tests of the routing library.

mod absence;
mod allocation;
mod arrival;
mod header;
mod packet;
mod ring;
mod router;
mod support;
mod view;
