//! Tests of histories and of their checker.

mod checker;
mod content;
mod fairness;
mod feed;
mod file;
mod histories;
