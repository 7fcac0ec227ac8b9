//! Tests of the catalog and of how it spreads.

mod keeper;
mod member;
mod readers;
mod support;
mod zones;
