//! Tests of the fleet adapter over loopback, with a fake platform.

mod fake;
mod propagation;
