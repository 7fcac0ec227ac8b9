//! Tests of the log's rate limit and its blocked output.

mod blocked_output;
mod line_limiter;
