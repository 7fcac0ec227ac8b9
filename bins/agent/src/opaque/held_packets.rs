//! The packets of flows whose requests wait until the target has a place.

use std::collections::HashMap;

use lovagelatch_flows::FlowKey;

/// Held packets by flow, in the order of their arrival. Their number and size are limited by the
/// flow agent, which decides what is held.
#[derive(Debug, Default)]
pub(crate) struct HeldPackets {
    flows: HashMap<FlowKey, Vec<Box<[u8]>>>,
}

impl HeldPackets {
    pub(crate) fn push(&mut self, flow: FlowKey, bytes: &[u8]) {
        self.flows.entry(flow).or_default().push(bytes.into());
    }

    /// Takes the packets of a flow.
    pub(crate) fn take(&mut self, flow: &FlowKey) -> Vec<Box<[u8]>> {
        self.flows.remove(flow).unwrap_or_default()
    }
}
