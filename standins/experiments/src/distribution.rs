//! Random distributions of arrivals and request sizes.

use std::f64::consts::TAU;

use rand::Rng;
use serde::Serialize;

/// Sigma of the lognormal distribution: the squared coefficient of variation is about 3.2.
const LOGNORMAL_SIGMA: f64 = 1.2;

/// Shape of the Pareto distribution. Its variance is infinite; truncation makes it finite.
const PARETO_SHAPE: f64 = 1.8;

/// Truncation of the Pareto distribution, as a multiple of the mean.
const PARETO_TRUNCATION: f64 = 200.0;

/// Distribution of the time that requests hold a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum SizeDistribution {
    Lognormal,
    Pareto,
}

impl SizeDistribution {
    /// Draws a size with the given mean (for the Pareto distribution, before truncation).
    pub(crate) fn draw(self, mean: f64, random: &mut impl Rng) -> f64 {
        match self {
            Self::Lognormal => {
                let mu = mean.ln() - LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2.0;
                (mu + LOGNORMAL_SIGMA * draw_normal(random)).exp()
            }
            Self::Pareto => {
                let minimum = mean * (PARETO_SHAPE - 1.0) / PARETO_SHAPE;
                let size = minimum * draw_uniform(random).powf(-1.0 / PARETO_SHAPE);
                size.min(mean * PARETO_TRUNCATION)
            }
        }
    }

    /// Returns the actual mean of [`Self::draw`] as a multiple of the given mean.
    pub(crate) fn mean_factor(self) -> f64 {
        match self {
            Self::Lognormal => 1.0,
            Self::Pareto => {
                // Mean lost by truncation at c (in means): minimum^shape * c^(1-shape) / (shape-1).
                let minimum = (PARETO_SHAPE - 1.0) / PARETO_SHAPE;
                let tail = minimum.powf(PARETO_SHAPE) * PARETO_TRUNCATION.powf(1.0 - PARETO_SHAPE);
                1.0 - tail / (PARETO_SHAPE - 1.0)
            }
        }
    }
}

/// How the arrival rate varies around its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ArrivalPattern {
    Poisson,
    /// In every two seconds, 0.5 s at 2.5 times the mean rate and 1.5 s at half of it.
    Bursts,
}

impl ArrivalPattern {
    /// Returns the rate at `seconds` as a multiple of the mean rate.
    pub(crate) fn factor(self, seconds: f64) -> f64 {
        match self {
            Self::Poisson => 1.0,
            Self::Bursts if seconds % 2.0 < 0.5 => 2.5,
            Self::Bursts => 0.5,
        }
    }
}

/// Draws an exponential time with the given rate, in seconds.
pub(crate) fn draw_interarrival(rate: f64, random: &mut impl Rng) -> f64 {
    -draw_uniform(random).ln() / rate
}

/// Draws a uniform number above 0 and at most 1, so that its logarithm is finite.
fn draw_uniform(random: &mut impl Rng) -> f64 {
    1.0 - random.random::<f64>()
}

fn draw_normal(random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * draw_uniform(random).ln()).sqrt();
    radius * (TAU * random.random::<f64>()).cos()
}
