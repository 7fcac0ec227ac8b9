//! Random laws of arrivals and sizes.

use std::f64::consts::TAU;

use rand::Rng;
use serde::Serialize;

/// Sigma of the lognormal law: the squared coefficient of variation is about 3.2.
const LOGNORMAL_SIGMA: f64 = 1.2;

/// Shape of the Pareto law. Its variance is infinite; the cut below makes it finite.
const PARETO_SHAPE: f64 = 1.8;

/// The longest request, in mean requests.
const PARETO_CUT: f64 = 200.0;

/// How long requests hold a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum SizeLaw {
    Lognormal,
    Pareto,
}

impl SizeLaw {
    /// Draws a size with the given mean (for the Pareto law before its cut).
    pub(crate) fn draw(self, mean: f64, random: &mut impl Rng) -> f64 {
        match self {
            Self::Lognormal => {
                let mu = mean.ln() - LOGNORMAL_SIGMA * LOGNORMAL_SIGMA / 2.0;
                (mu + LOGNORMAL_SIGMA * draw_normal(random)).exp()
            }
            Self::Pareto => {
                let least = mean * (PARETO_SHAPE - 1.0) / PARETO_SHAPE;
                let size = least * draw_open(random).powf(-1.0 / PARETO_SHAPE);
                size.min(mean * PARETO_CUT)
            }
        }
    }

    /// The true mean of what [`Self::draw`] gives, as a multiple of the mean it is given.
    pub(crate) fn mean_factor(self) -> f64 {
        match self {
            Self::Lognormal => 1.0,
            Self::Pareto => {
                // Mean lost above the cut c (in means): least^shape * c^(1-shape) / (shape-1).
                let least = (PARETO_SHAPE - 1.0) / PARETO_SHAPE;
                let tail = least.powf(PARETO_SHAPE) * PARETO_CUT.powf(1.0 - PARETO_SHAPE);
                1.0 - tail / (PARETO_SHAPE - 1.0)
            }
        }
    }
}

/// How the arrival rate moves about its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum ArrivalLaw {
    Poisson,
    /// Every two seconds half a second at 2.5 times the mean, the rest at half of it.
    Bursts,
}

impl ArrivalLaw {
    /// The rate at `seconds` as a multiple of the mean rate.
    pub(crate) fn factor(self, seconds: f64) -> f64 {
        match self {
            Self::Poisson => 1.0,
            Self::Bursts if seconds % 2.0 < 0.5 => 2.5,
            Self::Bursts => 0.5,
        }
    }
}

/// An exponential time with the given rate, in seconds.
pub(crate) fn draw_gap(rate: f64, random: &mut impl Rng) -> f64 {
    -draw_open(random).ln() / rate
}

/// A number above 0 and at most 1.
fn draw_open(random: &mut impl Rng) -> f64 {
    1.0 - random.random::<f64>()
}

fn draw_normal(random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * draw_open(random).ln()).sqrt();
    radius * (TAU * random.random::<f64>()).cos()
}
