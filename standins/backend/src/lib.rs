//! A stand-in for a backend server, for tests. It has slots, a cold start, draining, load shedding
//! and cancellation, and its health and load endpoints can be made to lag or mislead.
//!
//! ```text
//! agent --HTTP/1.1--> routes --> RunTable (slots, attempts) --> work --> response
//!                        |            |
//!                  FaultInjector  history (JSON lines)
//! ```
//!
//! | route | holds a slot | response |
//! |---|---|---|
//! | `POST /claims`, `/reports` | for `work_ms` | 201 and the number of the run |
//! | `GET /status/{id}` | for `work_ms` | 200, JSON; with `fetch=1` after a call to the dependency |
//! | `GET /certificates/{id}`, `/maps/{id}` | for `work_ms` | 200, content derived from the id |
//! | `GET /feed` | no | events until the caller disconnects |

mod dependency;
mod fault;
mod request;
mod response;
mod routes;
mod runs;
mod server;
mod work;

pub use dependency::DependencyOptions;
pub use fault::{FaultChange, FaultInjector, HealthState};
pub use runs::{RunTable, StartRefusal};
pub use server::{BackendError, BackendOptions, BackendServer};
