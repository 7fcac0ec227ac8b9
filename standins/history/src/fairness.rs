//! Whether each agency got its share of a service.
//!
//! The fair share is max-min: what was served is dealt out evenly, nobody gets more than it
//! asked for, and what is left over goes to those that asked for more.

use std::collections::BTreeMap;

/// What one agency asked of a service and got, in milliseconds of slot time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AgencyWork {
    pub(crate) asked: f64,
    pub(crate) served: f64,
}

/// The least of served over fair share among the agencies of one service that asked for at
/// least their share; 1 when nobody did.
pub(crate) fn worst_share(agencies: &BTreeMap<String, AgencyWork>) -> f64 {
    let served: f64 = agencies.values().map(|work| work.served).sum();
    let asked: Vec<f64> = agencies.values().map(|work| work.asked).collect();
    let level = fair_level(&asked, served);
    let shares = agencies.values().filter_map(|work| {
        let fair = work.asked.min(level);
        (fair > 0.0).then(|| work.served / fair)
    });
    shares.fold(1.0, f64::min)
}

/// The level at which what each asked, cut off at the level, adds up to `served`.
fn fair_level(asked: &[f64], served: f64) -> f64 {
    let mut rising = asked.to_vec();
    rising.sort_by(f64::total_cmp);
    let mut left = served;
    for (index, &amount) in rising.iter().enumerate() {
        let sharers = (rising.len() - index) as f64;
        if amount * sharers >= left {
            return left / sharers;
        }
        left -= amount;
    }
    f64::INFINITY
}
