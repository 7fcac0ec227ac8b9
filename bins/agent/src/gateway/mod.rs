//! The dependency gateway: the backend server calls the services it depends on through it.
//!
//! The backend server sends plain HTTP/1.1 to the agent beside it, over loopback, and names the
//! service in the first path segment:
//!
//! ```text
//! backend server -- GET /certificates/certificates/17 --> gateway
//!                                                            | check that it is a dependency
//!                                                            v
//!                              relay --> gate of a certificates target (GET /certificates/17)
//! ```
//!
//! Responses carry the same outcome headers as those to callers. The attempts of a whole call
//! chain are limited: a call repeats the `lovagelatch-attempts-left` header of the request that it
//! serves, and every retry uses up one attempt.

mod call;
mod handler;

pub(crate) use handler::serve_gateway;
