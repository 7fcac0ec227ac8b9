//! Tests of the `lovagelatch-experiments` command.

mod compare;
