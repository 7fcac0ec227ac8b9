//! Pools of reusable flows and of unused tickets, one for each service address.

use std::sync::Arc;

use parking_lot::Mutex;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::context::CallerContext;
use crate::flow::{CallerFlow, FlowDestination};
use crate::plan::AddressPlan;

/// Number of pooled flows per address.
const POOLED_FLOWS: usize = 4;

/// Share of attempts that open a new flow although the pool has one.
const NEW_FLOW_SHARE: f64 = 0.1;

/// Limit of pooled tickets per address.
const MAX_POOLED_TICKETS: usize = 32;

/// The flows and tickets of one address.
pub(crate) struct AddressPool {
    pub(crate) destination: FlowDestination,
    pub(crate) agency: Option<String>,
    pub(crate) weight: f64,
    flows: Mutex<Vec<Arc<CallerFlow>>>,
    tickets: Mutex<Vec<String>>,
}

impl AddressPool {
    pub(crate) fn new(destination: FlowDestination, address: &AddressPlan) -> Self {
        Self {
            destination,
            agency: address.agency.clone(),
            weight: address.weight,
            flows: Mutex::default(),
            tickets: Mutex::default(),
        }
    }

    /// Returns a pooled flow or sometimes a new one. Returns `None` if no flow could be opened.
    pub(crate) async fn flow(&self, context: &Arc<CallerContext>) -> Option<Arc<CallerFlow>> {
        if rand::rng().random_bool(NEW_FLOW_SHARE) {
            return self.new_flow(context).await;
        }
        if let Some(flow) = self.pooled_flow() {
            return Some(flow);
        }
        let flow = self.new_flow(context).await?;
        let mut flows = self.flows.lock();
        if flows.len() < POOLED_FLOWS {
            flows.push(Arc::clone(&flow));
        }
        Some(flow)
    }

    pub(crate) async fn new_flow(&self, context: &Arc<CallerContext>) -> Option<Arc<CallerFlow>> {
        CallerFlow::open(context, &self.destination).await
    }

    fn pooled_flow(&self) -> Option<Arc<CallerFlow>> {
        let mut flows = self.flows.lock();
        flows.retain(|flow| flow.is_usable());
        if flows.len() < POOLED_FLOWS {
            return None;
        }
        flows.choose(&mut rand::rng()).cloned()
    }

    pub(crate) fn store_ticket(&self, ticket: String) {
        let mut tickets = self.tickets.lock();
        if tickets.len() < MAX_POOLED_TICKETS {
            tickets.push(ticket);
        }
    }

    pub(crate) fn take_ticket(&self) -> Option<String> {
        self.tickets.lock().pop()
    }

    /// Removes the flows from the pool, which closes those that are not in use.
    pub(crate) fn clear(&self) {
        self.flows.lock().clear();
    }
}
