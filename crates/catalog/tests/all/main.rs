//! Tests of the catalog and of how it spreads.

mod keeper;
mod member;
mod readers;
mod stops;
mod support;
mod zones;
