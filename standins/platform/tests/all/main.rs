//! Tests of the platform stand-in.

mod state;
