//! Tests of the decisions about flows of opaque packets.

mod admission;
mod admission_invariants;
mod admission_offers;
mod admission_orders;
mod admission_rig;
mod agent;
mod balancer;
mod delegated_search;
mod empty_fleet;
mod explain;
mod frame;
mod load;
mod loss;
mod order_model;
mod regions;
mod relay;
mod ring;
mod search;
mod search_silence;
mod search_size;
mod superseded;
mod support;
mod view;
mod view_changes;
mod warmup;
mod zones;
