//! Tests of the decisions about opaque flows.

mod agent;
mod balancer;
mod delegated_search;
mod empty_fleet;
mod frame;
mod homes;
mod load;
mod loss;
mod outlook;
mod relay;
mod ring;
mod search;
mod search_silence;
mod search_size;
mod support;
mod view;
mod view_changes;
mod warmup;
mod zones;
