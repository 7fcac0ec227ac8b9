//! Load beyond the capacity of the targets, as with the option `--hard-load`.

use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use lovagelatch_catalog::RequestPolicy;

/// Number of requests that a target works on at once.
pub(crate) const SLOTS: u16 = 4;

/// Number of requests that wait at a target while all of its slots are in use.
const QUEUE_LENGTH: usize = 4;

/// Maximum number of flows that a target holds. The regular clients' flows fit on a third of the
/// targets, those of a rush do not fit on all of them.
pub(crate) const MAX_FLOWS: NonZeroU32 = NonZeroU32::new(12).expect("not zero");

/// Number of additional clients, for each regular one of a route, that send requests during a rush.
pub(crate) const RUSH_CLIENTS: u16 = 8;

/// Time for which agents remember an idle flow, and after which any end may discard it. Shorter than
/// on real deployments: flows whose end is lost in a fault must not fill targets until the run ends.
pub(crate) const FLOW_LIFETIME: Duration = Duration::from_secs(6);

/// Time after which a target discards an idle flow: less than [`FLOW_LIFETIME`], so that an agent
/// that counts flows discards it later.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time that a request runs at a target of speed 1.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Speeds of targets in percent: those that were observed on real deployments.
const SPEEDS: [u32; 3] = [60, 100, 160];

/// Factor by which a slowed target's work takes longer.
pub(crate) const SLOW_FACTOR: u32 = 4;

/// Priorities of the routes until they are exchanged.
pub(crate) const PRIORITIES: [u8; 3] = [2, 1, 3];

/// Latency objectives of the routes in milliseconds.
const OBJECTIVES_MS: [u32; 3] = [300, 400, 800];

/// Returns the policy of a route with this priority. Clients give up after the same time on all
/// routes.
pub(crate) fn request_policy(route: usize, priority: u8, timeout: Duration) -> RequestPolicy {
    RequestPolicy {
        priority,
        aim_ms: OBJECTIVES_MS[route],
        timeout_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
    }
}

/// What a target can do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetProfile {
    pub(crate) slots: usize,
    pub(crate) queue_length: usize,
    pub(crate) max_flows: usize,
    /// Time that a request runs.
    pub(crate) work: Duration,
    /// Whether requests are [`RequestSegment`](crate::segment::RequestSegment)s.
    pub(crate) segments: bool,
}

impl TargetProfile {
    /// Returns the profile of targets that accept everything.
    pub(crate) fn unlimited() -> Self {
        Self {
            slots: usize::MAX,
            queue_length: 0,
            max_flows: usize::MAX,
            work: WORK_TIME,
            segments: false,
        }
    }

    /// Returns the profile of a machine's targets under `--hard-load`. Each service has targets of
    /// different speeds.
    pub(crate) fn limited(machine: u8) -> Self {
        let speed = SPEEDS[usize::from(machine + machine / 3) % SPEEDS.len()];
        Self {
            slots: usize::from(SLOTS),
            queue_length: QUEUE_LENGTH,
            max_flows: usize::try_from(MAX_FLOWS.get()).unwrap_or(usize::MAX),
            work: WORK_TIME * 100 / speed,
            segments: true,
        }
    }
}

/// Number of rushes in progress on each route. Clones share the numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct RushControl(Arc<[AtomicU32; 3]>);

impl RushControl {
    pub(crate) fn start(&self, route: usize) {
        self.0[route].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end(&self, route: usize) {
        self.0[route].fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn is_active(&self, route: usize) -> bool {
        self.0[route].load(Ordering::Relaxed) > 0
    }

    pub(crate) fn any_active(&self) -> bool {
        (0..self.0.len()).any(|route| self.is_active(route))
    }
}
