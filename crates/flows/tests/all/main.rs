//! Tests of the decisions about flows of opaque packets.

mod agent;
mod balance;
mod balancer;
mod delegated_search;
mod empty_fleet;
mod explain;
mod fleet;
mod frame;
mod load;
mod loss;
mod regions;
mod relay;
mod ring;
mod search;
mod search_load;
mod search_silence;
mod search_size;
mod service_time;
mod superseded;
mod support;
mod view;
mod view_changes;
mod warmup;
mod zones;
