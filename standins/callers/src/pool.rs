//! Flows that are used again, and tickets handed out ahead of use, for each address.

use std::sync::Arc;

use parking_lot::Mutex;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::context::CallerContext;
use crate::flow::{CallerFlow, FlowTarget};
use crate::plan::AddressPlan;

/// Flows that are kept open to one address.
const KEPT_FLOWS: usize = 4;

/// The share of operations that open a flow of their own.
const FRESH_SHARE: f64 = 0.1;

/// Tickets that are kept for one address.
const KEPT_TICKETS: usize = 32;

/// Flows and tickets of one address.
pub(crate) struct AddressPool {
    pub(crate) target: FlowTarget,
    pub(crate) agency: Option<String>,
    pub(crate) weight: f64,
    flows: Mutex<Vec<Arc<CallerFlow>>>,
    tickets: Mutex<Vec<String>>,
}

impl AddressPool {
    pub(crate) fn new(target: FlowTarget, address: &AddressPlan) -> Self {
        Self {
            target,
            agency: address.agency.clone(),
            weight: address.weight,
            flows: Mutex::default(),
            tickets: Mutex::default(),
        }
    }

    /// A kept flow, or now and then a fresh one; `None` when none could be opened.
    pub(crate) async fn flow(&self, context: &Arc<CallerContext>) -> Option<Arc<CallerFlow>> {
        if rand::rng().random_bool(FRESH_SHARE) {
            return self.fresh_flow(context).await;
        }
        if let Some(flow) = self.kept_flow() {
            return Some(flow);
        }
        let flow = self.fresh_flow(context).await?;
        let mut flows = self.flows.lock();
        if flows.len() < KEPT_FLOWS {
            flows.push(Arc::clone(&flow));
        }
        Some(flow)
    }

    pub(crate) async fn fresh_flow(&self, context: &Arc<CallerContext>) -> Option<Arc<CallerFlow>> {
        CallerFlow::open(context, &self.target).await
    }

    fn kept_flow(&self) -> Option<Arc<CallerFlow>> {
        let mut flows = self.flows.lock();
        flows.retain(|flow| flow.is_usable());
        if flows.len() < KEPT_FLOWS {
            return None;
        }
        flows.choose(&mut rand::rng()).cloned()
    }

    pub(crate) fn keep_ticket(&self, ticket: String) {
        let mut tickets = self.tickets.lock();
        if tickets.len() < KEPT_TICKETS {
            tickets.push(ticket);
        }
    }

    pub(crate) fn take_ticket(&self) -> Option<String> {
        self.tickets.lock().pop()
    }

    /// Lets go of the kept flows.
    pub(crate) fn clear(&self) {
        self.flows.lock().clear();
    }
}
