//! Checks that a service with an available target gets new flows.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use crate::check::DISTURBANCE_WINDOW;
use crate::event::StartNumber;

/// Time for which a balancer may fail to open every flow of a service address whose service has an
/// available target. The platform allows packets of an open flow to stray for as long.
const UNSERVED_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum number of consecutive failures that count as a failure of the service: a single opening
/// may time out because of lost datagrams.
const MIN_FAILURES: u32 = 3;

/// A running target.
#[derive(Clone, Copy, Debug)]
struct RunningTarget {
    service: u8,
    /// Since when the target has been running and its path undisturbed.
    undisturbed_since: Instant,
    /// Whether the store has been undisturbed for [`DISTURBANCE_WINDOW`] since the target started,
    /// so that balancers must know of it, whatever happens to the store afterwards.
    known: bool,
    /// Whether the target has announced that it is leaving, or its entry cannot be read.
    withdrawn: bool,
}

/// Openings that failed at one balancer since the last one that succeeded.
#[derive(Clone, Copy, Debug)]
struct FailedOpenings {
    first: Instant,
    count: u32,
}

/// Tracks which targets are available and which openings fail.
#[derive(Debug, Default)]
pub(crate) struct ServiceAvailability {
    targets: HashMap<StartNumber, RunningTarget>,
    /// Service of each service address, as last published.
    routes: HashMap<SocketAddrV4, u8>,
    failed: HashMap<(SocketAddrV4, Ipv4Addr), FailedOpenings>,
    store_disturbed: Option<Instant>,
}

impl ServiceAvailability {
    pub(crate) fn record_started(&mut self, target: StartNumber, service: u8, now: Instant) {
        let running = RunningTarget {
            service,
            undisturbed_since: now,
            known: false,
            withdrawn: false,
        };
        self.targets.insert(target, running);
    }

    pub(crate) fn record_ended(&mut self, target: StartNumber) {
        self.targets.remove(&target);
    }

    pub(crate) fn record_withdrawn(&mut self, target: StartNumber) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.withdrawn = true;
        }
    }

    /// Records that the entry of a target became readable again.
    pub(crate) fn record_restored(&mut self, target: StartNumber, now: Instant) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.withdrawn = false;
            target.undisturbed_since = now;
        }
    }

    pub(crate) fn record_disturbed(&mut self, target: StartNumber, now: Instant) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.undisturbed_since = now;
        }
    }

    pub(crate) fn record_all_disturbed(&mut self, now: Instant) {
        for target in self.targets.values_mut() {
            target.undisturbed_since = now;
        }
    }

    pub(crate) fn record_store_disturbed(&mut self, now: Instant) {
        self.update_known(now);
        self.store_disturbed = Some(now);
    }

    /// Records the service of a service address. If it changes, earlier failures do not count.
    pub(crate) fn record_route(&mut self, address: SocketAddrV4, service: u8) {
        if self.routes.insert(address, service) != Some(service) {
            self.failed.retain(|(failed, _), _| *failed != address);
        }
    }

    /// Records the disturbance of a balancer, whose earlier failures do not count.
    pub(crate) fn record_balancer_disturbed(&mut self, balancer: Ipv4Addr) {
        self.failed.retain(|(_, failed), _| *failed != balancer);
    }

    pub(crate) fn record_opened(&mut self, address: SocketAddrV4, balancer: Ipv4Addr) {
        self.failed.remove(&(address, balancer));
    }

    /// Records a failed opening of a flow. Returns whether the balancer has failed to open every
    /// flow for [`UNSERVED_TIMEOUT`], although a target of the service was available meanwhile.
    pub(crate) fn record_failed(
        &mut self,
        address: SocketAddrV4,
        balancer: Ipv4Addr,
        since: Instant,
        now: Instant,
    ) -> bool {
        self.update_known(now);
        let new = FailedOpenings {
            first: since,
            count: 0,
        };
        let failed = self.failed.entry((address, balancer)).or_insert(new);
        failed.count += 1;
        let timed_out = now.saturating_duration_since(failed.first) >= UNSERVED_TIMEOUT;
        if !timed_out || failed.count < MIN_FAILURES {
            return false;
        }
        let unserved = self.has_available_target(address, now);
        if unserved {
            self.failed.remove(&(address, balancer));
        }
        unserved
    }

    /// Returns whether a target has been available for [`UNSERVED_TIMEOUT`] beyond the time in
    /// which effects of a disturbance are tolerated.
    fn has_available_target(&self, address: SocketAddrV4, now: Instant) -> bool {
        let Some(service) = self.routes.get(&address) else {
            return false;
        };
        let tolerated = DISTURBANCE_WINDOW + UNSERVED_TIMEOUT;
        self.targets.values().any(|target| {
            let undisturbed = now.saturating_duration_since(target.undisturbed_since);
            target.service == *service
                && target.known
                && !target.withdrawn
                && undisturbed >= tolerated
        })
    }

    /// Marks targets as known while the store is undisturbed.
    fn update_known(&mut self, now: Instant) {
        for target in self.targets.values_mut().filter(|target| !target.known) {
            let start = target.undisturbed_since;
            let undisturbed_since = self.store_disturbed.map_or(start, |at| at.max(start));
            target.known = now.saturating_duration_since(undisturbed_since) >= DISTURBANCE_WINDOW;
        }
    }
}
