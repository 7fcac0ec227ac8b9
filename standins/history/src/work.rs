//! Balance of work between targets.

use std::collections::{BTreeMap, HashSet};

use crate::{BackendHistory, BackendRecord, RunFacts};

/// Targets that were in service for less than this share of the longest time of their service are
/// excluded, because their work per second depends more on when they started than on the balance.
const MIN_SERVICE_TIME_SHARE: f64 = 0.2;

/// Work of one target.
struct TargetWork {
    /// Slot time used, in milliseconds.
    busy_ms: f64,
    /// Slot time available, in milliseconds.
    available_ms: f64,
    service_time_ms: f64,
}

impl TargetWork {
    fn new(history: &BackendHistory, facts: &RunFacts) -> Self {
        let start = history.ready_ms.max(facts.started_ms);
        let test_notice = facts.leaving_ms(&history.target);
        let notices = test_notice.into_iter().chain(history.leaving_ms());
        let end = notices.fold(facts.ended_ms, f64::min);
        let service_time_ms = (end - start).max(0.0);
        Self {
            busy_ms: busy_ms(history, end),
            available_ms: service_time_ms * f64::from(history.slots),
            service_time_ms,
        }
    }
}

/// Returns the slot time of the runs that started while the target accepted new work.
fn busy_ms(history: &BackendHistory, end_ms: f64) -> f64 {
    let in_time = history.records.iter().filter_map(|record| match record {
        BackendRecord::Start { time_ms, run, .. } if *time_ms <= end_ms => Some(*run),
        _ => None,
    });
    let started: HashSet<u64> = in_time.collect();
    let held = history.records.iter().map(|record| match record {
        BackendRecord::End { run, held_ms, .. } if started.contains(run) => *held_ms,
        _ => 0.0,
    });
    held.sum()
}

/// Returns for each service the highest utilisation of a target, divided by the mean.
pub(crate) fn imbalance(backends: &[BackendHistory], facts: &RunFacts) -> BTreeMap<String, f64> {
    let mut services: BTreeMap<String, Vec<TargetWork>> = BTreeMap::new();
    for history in backends {
        let targets = services.entry(history.service.clone()).or_default();
        targets.push(TargetWork::new(history, facts));
    }
    services
        .into_iter()
        .map(|(service, targets)| (service, worst_over_mean(&targets)))
        .collect()
}

fn worst_over_mean(targets: &[TargetWork]) -> f64 {
    let longest = targets
        .iter()
        .map(|work| work.service_time_ms)
        .fold(0.0, f64::max);
    let counted = targets
        .iter()
        .filter(|work| work.service_time_ms > longest * MIN_SERVICE_TIME_SHARE);
    let (mut busy, mut available, mut worst) = (0.0, 0.0, 0.0_f64);
    for work in counted {
        busy += work.busy_ms;
        available += work.available_ms;
        worst = worst.max(work.busy_ms / work.available_ms);
    }
    if busy > 0.0 {
        worst * available / busy
    } else {
        1.0
    }
}
