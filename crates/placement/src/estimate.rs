//! How long a request holds a slot.

use std::time::Duration;

/// Weight of the newest sample once enough were seen.
const SAMPLE_WEIGHT: f64 = 1.0 / 32.0;

/// A sample counts at most this many times the mean. Service times have heavy tails; without
/// the bound one request of minutes would make the gate refuse everything for a while.
const CLIP_FACTOR: f64 = 10.0;

/// How many samples the first guess counts as.
const PRIOR_SAMPLES: f64 = 2.0;

/// Floor of the estimate, in seconds.
const FLOOR: f64 = 1e-6;

/// A moving mean of service times that one extreme sample cannot throw off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServiceEstimate {
    /// In seconds. Invariant: finite and at least `FLOOR`.
    mean: f64,
    samples: f64,
}

impl ServiceEstimate {
    pub(crate) fn new(first: Duration) -> Self {
        Self {
            mean: first.as_secs_f64().max(FLOOR),
            samples: PRIOR_SAMPLES,
        }
    }

    pub(crate) fn note(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64().min(self.mean * CLIP_FACTOR);
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(SAMPLE_WEIGHT);
        self.mean = (self.mean + weight * (sample - self.mean)).max(FLOOR);
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }
}
