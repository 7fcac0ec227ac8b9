//! Tests of the agent over real sockets: callers speak HTTP/3 through forwarded datagrams, a
//! small backend server misbehaves on demand, a gateway stands between.

mod dependency;
mod direct;
mod leaving;
mod metrics;
mod once;
mod outcomes;
mod packets;
mod path;
mod peers;
mod rig;
mod rotation;
