//! The gateway for dependencies: where the backend server calls the services it depends on.
//!
//! The backend server speaks plain HTTP/1.1 to the agent beside it, on loopback, and names the
//! service in the first segment of the path:
//!
//! ```text
//! backend server -- GET /certificates/certificates/17 --> gateway
//!                                                            | may this service call it?
//!                                                            v
//!                              relay --> gate of a certificates target (GET /certificates/17)
//! ```
//!
//! Answers carry the same outcome headers as a caller's. Attempts are bounded along the whole
//! chain: the call gives back the `lovagelatch-attempts-left` that came with the request it
//! serves, and every retry on the way uses one up.

mod call;
mod handler;

pub(crate) use handler::serve_gateway;
