//! The mean load of the targets of each service, updated with each report.
//!
//! A balancer compares a target with the mean of its service at each new flow. With a thousand
//! targets, a sum over all of them would take longer than the rest of the decision.

use std::collections::HashMap;

use lovagelatch_domain::ServiceId;

use crate::frame::LoadReport;

/// Bounds of a reported service time in microseconds: 0.1 ms to 10 s. A single target that reports
/// false values changes the mean of its service only a little.
const SERVICE_TIME_BOUNDS_US: (f32, f32) = (100.0, 10_000_000.0);

/// How far the service time of a target may be from the mean of its service, as a factor either
/// way. A target that reports false values is neither flooded nor starved.
const MAX_SPEED_FACTOR: f32 = 4.0;

/// Unit of the sums of logarithms. Sums of integers stay exact over any number of updates.
const LOG_UNIT: f64 = 1e6;

/// What one report contributes to the sums of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoadSums {
    targets: i64,
    /// Sum of the logarithms of the service times, in units of 1 / [`LOG_UNIT`].
    log_times: i64,
    /// Sum of the average numbers of requests in progress and waiting, in thousandths.
    requests_milli: i64,
    flows: i64,
}

impl LoadSums {
    /// Returns the contribution of a report; nothing for a target without a learned service time.
    #[allow(clippy::cast_possible_truncation)]
    fn of(report: &LoadReport) -> Self {
        let Some(time) = bounded_time(report) else {
            return Self::default();
        };
        Self {
            targets: 1,
            log_times: (f64::from(time).ln() * LOG_UNIT) as i64,
            requests_milli: i64::from(report.average_milli) + i64::from(report.waiting) * 1_000,
            flows: i64::from(report.flows),
        }
    }

    fn change(&mut self, added: &Self, removed: &Self) {
        self.targets += added.targets - removed.targets;
        self.log_times += added.log_times - removed.log_times;
        self.requests_milli += added.requests_milli - removed.requests_milli;
        self.flows += added.flows - removed.flows;
    }
}

/// The mean of the targets of a service that report a service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServiceMean {
    /// Geometric mean of the service times in microseconds: a false value of a single target has
    /// little effect on it.
    time_us: f32,
    /// Mean number of requests in progress or waiting.
    pub(crate) requests: f32,
    /// Mean number of open flows.
    pub(crate) flows: f32,
}

impl ServiceMean {
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
    fn of(sums: &LoadSums) -> Self {
        let targets = sums.targets as f64;
        let mean = |sum: i64, unit: f64| (sum as f64 / unit / targets) as f32;
        Self {
            time_us: mean(sums.log_times, LOG_UNIT).exp(),
            requests: mean(sums.requests_milli, 1_000.0),
            flows: mean(sums.flows, 1.0),
        }
    }

    /// Returns the service time of a target as a multiple of the mean; 1 if it is not known.
    pub(crate) fn time_factor(&self, report: &LoadReport) -> f32 {
        bounded_time(report).map_or(1.0, |time| {
            (time / self.time_us).clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR)
        })
    }
}

/// The sums and means of all services with a target that reports a service time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceLoads {
    /// Invariant: the number of targets is above 0 in each entry.
    services: HashMap<ServiceId, (LoadSums, ServiceMean)>,
}

impl ServiceLoads {
    /// Returns the mean of a service; `None` if none of its targets reports a service time.
    pub(crate) fn mean(&self, service: ServiceId) -> Option<&ServiceMean> {
        if self.services.is_empty() {
            return None;
        }
        self.services.get(&service).map(|(_, mean)| mean)
    }

    /// Replaces the contribution of a target's former report by that of its new one.
    pub(crate) fn replace(&mut self, former: Option<&LoadReport>, new: Option<&LoadReport>) {
        match (former, new) {
            (Some(former), Some(new)) if former.service == new.service => {
                let (removed, added) = (LoadSums::of(former), LoadSums::of(new));
                self.change(new.service, &added, &removed);
            }
            _ => {
                if let Some(former) = former {
                    self.change(former.service, &LoadSums::default(), &LoadSums::of(former));
                }
                if let Some(new) = new {
                    self.change(new.service, &LoadSums::of(new), &LoadSums::default());
                }
            }
        }
    }

    fn change(&mut self, service: ServiceId, added: &LoadSums, removed: &LoadSums) {
        if added == removed {
            return;
        }
        let known = self.services.get(&service);
        let mut sums = known.map_or_else(LoadSums::default, |(sums, _)| *sums);
        sums.change(added, removed);
        if sums.targets > 0 {
            let mean = ServiceMean::of(&sums);
            self.services.insert(service, (sums, mean));
        } else {
            self.services.remove(&service);
        }
    }
}

/// Returns the service time of a report in microseconds, within [`SERVICE_TIME_BOUNDS_US`].
#[allow(clippy::cast_precision_loss)]
fn bounded_time(report: &LoadReport) -> Option<f32> {
    let (min, max) = SERVICE_TIME_BOUNDS_US;
    let time = report.service_time_us?.get() as f32;
    Some(time.clamp(min, max))
}
