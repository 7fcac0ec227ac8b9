//! Limits and prior guesses of the decisions.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, ZoneName};

const DEFAULT_QUEUE_LIMIT: usize = 256;
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);
const DEFAULT_LOCAL_HOP: Duration = Duration::from_micros(500);
const DEFAULT_ZONE_HOP: Duration = Duration::from_millis(3);
const DEFAULT_RETRY_SHARE: f64 = 0.09;
const DEFAULT_RETRY_BURST: f64 = 10.0;
const DEFAULT_BUDGET_MEMORY: Duration = Duration::from_secs(10);
const DEFAULT_RESERVE_INTERVAL: Duration = Duration::from_secs(20);

/// How one gate counts and queues.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// How many requests the backend server runs at once. Invariant: at least 1.
    pub slots: u16,
    /// The most requests that one agency may have waiting while no other waits. Several
    /// agencies share it equally.
    pub queue_limit: usize,
    /// The guess of a request's service time until some were measured.
    pub first_service_time: Duration,
}

impl GateSettings {
    /// Settings for a backend server that runs `slots` requests at once (0 counts as 1).
    #[must_use]
    pub const fn new(slots: u16) -> Self {
        Self {
            slots: if slots == 0 { 1 } else { slots },
            queue_limit: DEFAULT_QUEUE_LIMIT,
            first_service_time: DEFAULT_SERVICE_TIME,
        }
    }

    /// Sets the queue limit, in requests.
    #[must_use]
    pub const fn with_queue_limit(mut self, queue_limit: usize) -> Self {
        self.queue_limit = queue_limit;
        self
    }

    /// Sets the first guess of a request's service time.
    #[must_use]
    pub const fn with_first_service_time(mut self, first_service_time: Duration) -> Self {
        self.first_service_time = first_service_time;
        self
    }
}

/// How one agent weighs its own gate against its peers'.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// The agent that decides.
    pub own: AgentAddress,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What an exchange with a peer of the same zone adds to a request.
    pub local_hop: Duration,
    /// What an exchange with a peer of another zone adds.
    pub zone_hop: Duration,
    /// Whether a warming gate costs its remaining setup time. Off only in experiments.
    pub counts_setup: bool,
    /// The seed of the choice among equals.
    pub seed: u64,
}

impl PlacementSettings {
    /// Settings with hops of 0.5 ms within a zone and 3 ms between zones.
    #[must_use]
    pub const fn new(own: AgentAddress, zone: ZoneName) -> Self {
        Self {
            own,
            zone,
            local_hop: DEFAULT_LOCAL_HOP,
            zone_hop: DEFAULT_ZONE_HOP,
            counts_setup: true,
            seed: 0,
        }
    }

    /// Sets the round trips to peers of the same zone and of another.
    #[must_use]
    pub const fn with_hops(mut self, local_hop: Duration, zone_hop: Duration) -> Self {
        self.local_hop = local_hop;
        self.zone_hop = zone_hop;
        self
    }

    /// Sets whether a warming gate costs its remaining setup time.
    #[must_use]
    pub const fn with_counts_setup(mut self, counts_setup: bool) -> Self {
        self.counts_setup = counts_setup;
        self
    }

    /// Sets the seed of the choice among equals.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// How many attempts beyond the first are affordable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries per recent request.
    pub share: f64,
    /// The most retries that may be saved up.
    pub burst: f64,
    /// How long a saved retry lasts: the savings fall by a factor *e* in this time.
    pub memory: Duration,
    /// How long after a retry the next one needs no savings.
    pub reserve_interval: Duration,
}

impl BudgetSettings {
    /// Nine retries per hundred requests of the last seconds, so that with the saved ones the
    /// attempts stay below 1.1 per request.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            share: DEFAULT_RETRY_SHARE,
            burst: DEFAULT_RETRY_BURST,
            memory: DEFAULT_BUDGET_MEMORY,
            reserve_interval: DEFAULT_RESERVE_INTERVAL,
        }
    }

    /// Sets the retries per recent request.
    #[must_use]
    pub const fn with_share(mut self, share: f64) -> Self {
        self.share = share;
        self
    }

    /// Sets the most retries that may be saved up.
    #[must_use]
    pub const fn with_burst(mut self, burst: f64) -> Self {
        self.burst = burst;
        self
    }
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self::new()
    }
}
