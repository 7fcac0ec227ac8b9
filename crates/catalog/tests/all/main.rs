//! Tests of the catalog and its distribution.

mod member;
mod messages;
mod readers;
mod restored;
mod revisions;
mod stops;
mod support;
mod tables;
mod verification;
mod zones;
