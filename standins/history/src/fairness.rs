//! Fairness of a service to its agencies.
//!
//! Fair shares are max-min: the work that was served is divided evenly, no agency is assigned
//! more than it demanded, and the rest is divided among the agencies that demanded more.

use std::collections::BTreeMap;

/// Demand and served work of one agency at one service, in milliseconds of slot time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AgencyWork {
    pub(crate) demanded: f64,
    pub(crate) served: f64,
}

/// Returns the lowest ratio of served work to fair share among the agencies of one service, at
/// most 1. Agencies without demand have no fair share and do not count.
pub(crate) fn worst_share(agencies: &BTreeMap<String, AgencyWork>) -> f64 {
    let served: f64 = agencies.values().map(|work| work.served).sum();
    let demands: Vec<f64> = agencies.values().map(|work| work.demanded).collect();
    let level = fair_level(&demands, served);
    let shares = agencies.values().filter_map(|work| {
        let fair = work.demanded.min(level);
        (fair > 0.0).then(|| work.served / fair)
    });
    shares.fold(1.0, f64::min)
}

/// Returns the level for which the demands, each capped at the level, add up to `served`.
fn fair_level(demands: &[f64], served: f64) -> f64 {
    let mut rising = demands.to_vec();
    rising.sort_by(f64::total_cmp);
    let mut remaining = served;
    for (index, &amount) in rising.iter().enumerate() {
        let sharers = (rising.len() - index) as f64;
        if amount * sharers >= remaining {
            return remaining / sharers;
        }
        remaining -= amount;
    }
    f64::INFINITY
}
