//! The request classes that offers have named, by service address.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_placement::{QueueKey, ServiceEstimate};

use crate::frame::RequestClass;

/// Maximum number of service addresses with a class. A service has a few routes; the limit bounds
/// the memory if a configuration lists very many.
const MAX_CLASSES: usize = 64;

/// By how much each more urgent step of priority multiplies a route's share of the slot time.
const WEIGHT_PER_STEP: u32 = 4;

/// Steps of priority beyond which the share does not change, so that the least urgent route always
/// keeps one part in 65 beside another route.
const MAX_STEPS: u32 = 3;

/// Assumed service time of a route before its first answers.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(25);

/// A route that shares the target's slot time, identified by its service address.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteKey {
    pub(super) address: SocketAddrV4,
    weight: u32,
}

impl PartialEq for RouteKey {
    fn eq(&self, other: &Self) -> bool {
        self.address == other.address
    }
}

impl QueueKey for RouteKey {
    fn weight(&self) -> f64 {
        self.weight.into()
    }
}

/// A route's class and what was learned about its requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteClass {
    pub(super) class: RequestClass,
    pub(super) service_time: ServiceEstimate,
}

/// The known classes; see the module documentation.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassTable {
    routes: HashMap<SocketAddrV4, RouteClass>,
    /// The largest priority value of all routes.
    least_urgent: u8,
}

impl ClassTable {
    pub(super) fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    pub(super) fn get(&self, address: &SocketAddrV4) -> Option<&RouteClass> {
        self.routes.get(address)
    }

    /// Records the class that an offer names. The class with the highest version is kept: a
    /// balancer with an older configuration sends an older class.
    pub(super) fn learn(&mut self, address: SocketAddrV4, class: &RequestClass) {
        if let Some(known) = self.routes.get_mut(&address) {
            if known.class == *class || known.class.version > class.version {
                return;
            }
            known.class = *class;
        } else if self.make_room(class) {
            let route = RouteClass {
                class: *class,
                service_time: ServiceEstimate::new(INITIAL_SERVICE_TIME),
            };
            self.routes.insert(address, route);
        } else {
            return;
        }
        let priorities = self.routes.values().map(|route| route.class.priority);
        self.least_urgent = priorities.max().unwrap_or_default();
    }

    /// Records how long a request of the route held a slot.
    pub(super) fn record_service_time(&mut self, address: &SocketAddrV4, took: Duration) {
        if let Some(route) = self.routes.get_mut(address) {
            route.service_time.record(took);
        }
    }

    /// Returns the route's key with its current weight; `None` without a class.
    pub(super) fn key(&self, address: &SocketAddrV4) -> Option<RouteKey> {
        let priority = self.get(address)?.class.priority;
        let steps = u32::from(self.least_urgent.saturating_sub(priority)).min(MAX_STEPS);
        Some(RouteKey {
            address: *address,
            weight: WEIGHT_PER_STEP.pow(steps),
        })
    }

    /// Evicts the class with the oldest version if the table is full. Returns whether there is room
    /// for the class.
    fn make_room(&mut self, class: &RequestClass) -> bool {
        if self.routes.len() < MAX_CLASSES {
            return true;
        }
        let oldest = self
            .routes
            .iter()
            .min_by_key(|(_, route)| route.class.version);
        let Some((address, route)) = oldest else {
            return true;
        };
        let (address, evicted) = (*address, route.class.version < class.version);
        if evicted {
            self.routes.remove(&address);
        }
        evicted
    }
}
