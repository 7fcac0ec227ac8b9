//! A stand-in for a backend server, for tests: slots, cold start, draining, shedding,
//! cancellation, and endpoints for health and load that lag or mislead on demand.
//!
//! ```text
//! agent --HTTP/1.1--> routes --> RunTable (slots, attempts) --> work --> answer
//!                        |            |
//!                     FaultBoard   history (JSON lines)
//! ```
//!
//! | route | holds a slot | answer |
//! |---|---|---|
//! | `POST /claims`, `/reports` | for `work_ms` | 201 and the number of the run |
//! | `GET /status/{id}` | for `work_ms` | 200, JSON; with `fetch=1` it first calls the dependency |
//! | `GET /certificates/{id}`, `/maps/{id}` | for `work_ms` | 200, content worked out from the id |
//! | `GET /feed` | no | events until the caller leaves |

mod answer;
mod dependency;
mod fault;
mod request;
mod routes;
mod runs;
mod server;
mod work;

pub use dependency::DependencyOptions;
pub use fault::{FaultBoard, FaultChange, HealthState};
pub use runs::{RunTable, StartRefusal};
pub use server::{BackendError, BackendOptions, BackendServer};
