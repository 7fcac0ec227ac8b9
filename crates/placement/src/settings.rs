//! Settings of gates, placement, and retry budgets.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, ZoneName};

const DEFAULT_QUEUE_LIMIT: usize = 256;
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);
const DEFAULT_SAME_ZONE_RTT: Duration = Duration::from_micros(500);
const DEFAULT_CROSS_ZONE_RTT: Duration = Duration::from_millis(3);
const DEFAULT_RETRY_RATIO: f64 = 0.09;
const DEFAULT_RETRY_BURST: f64 = 10.0;
const DEFAULT_BUDGET_DECAY_TIME: Duration = Duration::from_secs(10);
const DEFAULT_RESERVE_INTERVAL: Duration = Duration::from_secs(20);

/// Settings of one gate.
#[derive(Clone, Debug, PartialEq)]
pub struct GateSettings {
    /// Number of requests that the backend server runs at once. Invariant: at least 1.
    pub slots: u16,
    /// Queue capacity for one agency while no other agency has queued requests. Several agencies
    /// share it equally.
    pub queue_limit: usize,
    /// Assumed service time of a request, until enough service times are measured.
    pub initial_service_time: Duration,
}

impl GateSettings {
    /// Creates settings for a backend server that runs `slots` requests at once (0 counts as 1).
    #[must_use]
    pub const fn new(slots: u16) -> Self {
        Self {
            slots: if slots == 0 { 1 } else { slots },
            queue_limit: DEFAULT_QUEUE_LIMIT,
            initial_service_time: DEFAULT_SERVICE_TIME,
        }
    }

    /// Sets the queue capacity, in requests.
    #[must_use]
    pub const fn with_queue_limit(mut self, queue_limit: usize) -> Self {
        self.queue_limit = queue_limit;
        self
    }

    /// Sets the assumed initial service time of a request.
    #[must_use]
    pub const fn with_initial_service_time(mut self, initial_service_time: Duration) -> Self {
        self.initial_service_time = initial_service_time;
        self
    }
}

/// Settings of the placement in one agent.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Address of this agent, and so of the local gate.
    pub own_address: AgentAddress,
    /// Availability zone of this agent.
    pub zone: ZoneName,
    /// Time that an exchange with a peer in the same zone adds to a request.
    pub same_zone_rtt: Duration,
    /// Time that an exchange with a peer in another zone adds to a request.
    pub cross_zone_rtt: Duration,
    /// Whether the remaining warm-up of a gate counts towards its cost. Disabled only in
    /// experiments.
    pub counts_warmup: bool,
    /// Seed of the random tie-break.
    pub seed: u64,
}

impl PlacementSettings {
    /// Creates settings with a round trip of 0.5 ms within a zone and 3 ms between zones.
    #[must_use]
    pub const fn new(own_address: AgentAddress, zone: ZoneName) -> Self {
        Self {
            own_address,
            zone,
            same_zone_rtt: DEFAULT_SAME_ZONE_RTT,
            cross_zone_rtt: DEFAULT_CROSS_ZONE_RTT,
            counts_warmup: true,
            seed: 0,
        }
    }

    /// Sets the round-trip times to peers in the same zone and in another zone.
    #[must_use]
    pub const fn with_rtts(mut self, same_zone_rtt: Duration, cross_zone_rtt: Duration) -> Self {
        self.same_zone_rtt = same_zone_rtt;
        self.cross_zone_rtt = cross_zone_rtt;
        self
    }

    /// Sets whether the remaining warm-up of a gate counts towards its cost.
    #[must_use]
    pub const fn with_counts_warmup(mut self, counts_warmup: bool) -> Self {
        self.counts_warmup = counts_warmup;
        self
    }

    /// Sets the seed of the random tie-break.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retry tokens earned per request.
    pub retry_ratio: f64,
    /// Maximum number of saved tokens.
    pub burst: f64,
    /// Decay time of saved tokens: they fall by a factor of *e* in this time.
    pub decay_time: Duration,
    /// Time after a retry until the next one needs no token.
    pub reserve_interval: Duration,
}

impl BudgetSettings {
    /// Creates settings that allow nine retries per hundred recent requests. With the saved tokens,
    /// attempts stay below 1.1 per request.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retry_ratio: DEFAULT_RETRY_RATIO,
            burst: DEFAULT_RETRY_BURST,
            decay_time: DEFAULT_BUDGET_DECAY_TIME,
            reserve_interval: DEFAULT_RESERVE_INTERVAL,
        }
    }

    /// Sets the retry tokens earned per request.
    #[must_use]
    pub const fn with_retry_ratio(mut self, retry_ratio: f64) -> Self {
        self.retry_ratio = retry_ratio;
        self
    }

    /// Sets the maximum number of saved tokens.
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
