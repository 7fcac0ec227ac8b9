//! Tests of the agent over real sockets. Callers speak HTTP/3 through forwarded datagrams, a
//! gateway carries the traffic, and a small backend server misbehaves on demand.

mod dependency;
mod direct;
mod held_requests;
mod leaving;
mod metrics;
mod once;
mod opaque_rig;
mod outcomes;
mod packets;
mod path;
mod peers;
mod rig;
mod rotation;
mod stop_announcement;
