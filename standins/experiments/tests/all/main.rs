//! Tests of the experiments' command.

mod compare;
