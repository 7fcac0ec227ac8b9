//! Logging as JSON lines through `slog`, metrics through `opentelemetry`.
//!
//! A process logs one line per routing or placement decision (the start of a flow, the relay of
//! a request, a refusal), never one per packet. A dedicated thread writes the lines to standard
//! output, so that a slow reader of the log delays no packet. When the log queue is full, lines
//! are dropped and their number is logged.

mod events;
mod line_limiter;
mod log;
mod metrics;
mod queue;

pub use events::{EventCounts, EventOutcome};
pub use line_limiter::LineLimiter;
pub use log::{DecisionKind, discard, flush_log, new_logger};
pub use metrics::{DURATION_BOUNDS, MetricsError, MetricsRegistry};
pub use opentelemetry::KeyValue;
pub use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, UpDownCounter};
pub use slog::{Logger, debug, error, info, o, warn};
