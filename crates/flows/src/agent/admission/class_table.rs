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

/// By how much a request whose bound expired raises the expected wait of the route's next ones. With
/// [`WAIT_FACTOR_DECREASE`], about a tenth of the waiting requests expire under lasting overload.
const WAIT_FACTOR_INCREASE: f64 = 1.2;

/// By how much a request that was given a place in time lowers the expected wait again.
const WAIT_FACTOR_DECREASE: f64 = 0.98;

/// Upper bound of the correction of the expected wait.
const MAX_WAIT_FACTOR: f64 = 16.0;

/// A route's class and what was learned about its requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct RouteClass {
    pub(super) class: RequestClass,
    pub(super) service_time: ServiceEstimate,
    /// Correction of the expected wait: more urgent requests that arrive later delay a waiting
    /// one, and a target may be slower than learned. Invariant: at least 1.
    pub(super) wait_factor: f64,
}

impl RouteClass {
    fn new(class: &RequestClass) -> Self {
        Self {
            class: *class,
            service_time: ServiceEstimate::new(INITIAL_SERVICE_TIME),
            wait_factor: 1.0,
        }
    }
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
            self.routes.insert(address, RouteClass::new(class));
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

    /// Records whether a place was free for a request of the route at once or before its bound.
    pub(super) fn record_wait(&mut self, address: &SocketAddrV4, in_time: bool) {
        let Some(route) = self.routes.get_mut(address) else {
            return;
        };
        let change = if in_time {
            WAIT_FACTOR_DECREASE
        } else {
            WAIT_FACTOR_INCREASE
        };
        route.wait_factor = (route.wait_factor * change).clamp(1.0, MAX_WAIT_FACTOR);
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
