//! Estimates how long a request holds a slot.

use std::time::Duration;

/// Weight of the latest sample in the moving mean, once enough samples are recorded.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 32.0;

/// Samples are clipped to this multiple of the mean. Service times are heavy-tailed; without the
/// clipping, a single request of several minutes would make the gate refuse everything for a while.
const SAMPLE_CLIP_FACTOR: f64 = 10.0;

/// Number of samples that the initial value counts as.
const PRIOR_SAMPLES: f64 = 2.0;

/// Lower bound of the mean, in seconds.
const MIN_MEAN_SECONDS: f64 = 1e-6;

/// A moving mean of service times that is robust against outliers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    /// In seconds. Invariant: finite and at least `MIN_MEAN_SECONDS`.
    mean: f64,
    samples: f64,
}

impl ServiceEstimate {
    /// Creates an estimate that starts with `initial`.
    #[must_use]
    pub fn new(initial: Duration) -> Self {
        Self {
            mean: initial.as_secs_f64().max(MIN_MEAN_SECONDS),
            samples: PRIOR_SAMPLES,
        }
    }

    /// Adds a sample.
    pub fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64().min(self.mean * SAMPLE_CLIP_FACTOR);
        self.samples += 1.0;
        let weight = (1.0 / self.samples).max(MIN_SAMPLE_WEIGHT);
        self.mean = (self.mean + weight * (sample - self.mean)).max(MIN_MEAN_SECONDS);
    }

    /// Returns the mean in seconds.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
