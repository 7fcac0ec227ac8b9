//! The score by which a balancer chooses a target for a new flow.
//!
//! Where the targets of a service report how long they work on a request, the score is the expected
//! wait at the target in mean service times, plus a cost of its excess of expected work over other
//! targets of the same zone. The wait decides whether a flow leaves the zone. The work decides
//! within a zone, because long flows load a target for as long as they last, whatever is in
//! progress when they open.
//!
//! Otherwise the score is the number of requests per slot, with a fixed cost of each open flow.

use std::time::Duration;

use lovagelatch_domain::Moment;

use super::TargetLoad;
use super::service::ServiceMean;
use crate::ring::FlowTarget;

/// Cost of another zone in the score, in requests in progress per slot. Traffic between zones is
/// paid for; avoiding a wait of half a request's time is worth more.
const CROSS_ZONE_COST: f32 = 0.35;

/// Cost of one open flow in a target's load, in requests in progress. A long flow carries a
/// request of some tens of milliseconds about once a second, whatever is in progress at the moment.
const OPEN_FLOW_COST: f32 = 0.03;

/// How much longer requests take at a cold target.
const WARMUP_FACTOR: f32 = 1.6;

/// Cost of the excess of a target's expected work over that of the least loaded target in the same
/// zone, as a multiple of the excess over the mean. A long flow stays where it is placed, so an
/// excess of a tenth is worth more than the requests that are in progress by chance.
const EXCESS_WORK_COST: f32 = 8.0;

/// Upper bound of the cost of excess work. A target that was just added has no flows, and must not
/// get all new ones.
const MAX_EXCESS_WORK_COST: f32 = 1.0;

/// Least number of open flows assumed for a cold target, as a share of the mean. It is within the
/// usual spread of the candidates, so that the target gets flows, but not all new ones.
const MIN_COLD_FLOWS: f32 = 0.85;

/// Share of the flows for which a target that was not heard counts as one without flows. Otherwise
/// it counts as the mean, which is rarely the best choice: a target that is never offered a flow is
/// never heard, and would get none at all.
const EXPLORED_SHARE: f32 = 0.04;

/// Age from which a report loses its weight; it has half of it at twice the age. Agents report
/// every 250 ms, to eight balancers in turn.
const FULL_WEIGHT_AGE: Duration = Duration::from_secs(1);

/// Range of the random part of a score. Several balancers see the same reports; without it
/// all of them would send their next flows to the same target.
const SCORE_JITTER: f32 = 0.35;

/// Returns the [`score`](LoadTable::score) of a target with this load, whose service has this mean,
/// and the expected work of the target's open flows, which [`excess_work_cost`] compares.
pub(crate) fn score_target(
    target: &FlowTarget,
    load: Option<&TargetLoad>,
    mean: Option<&ServiceMean>,
    near: bool,
    random: f32,
    now: Moment,
) -> (f32, f32) {
    let expected = match (load, mean) {
        (Some(load), Some(mean)) => ExpectedLoad::relative(load, mean, now),
        (Some(load), None) => ExpectedLoad::counted(load),
        (None, Some(mean)) => ExpectedLoad::of_mean(mean, random),
        (None, None) => ExpectedLoad::IDLE,
    };
    let slots = f32::from(target.slots.max(1));
    let warmup = if now < target.warm_at {
        WARMUP_FACTOR
    } else {
        1.0
    };
    let cross_zone = if near { 0.0 } else { CROSS_ZONE_COST };
    let wait = match mean {
        Some(_) => (expected.requests + 1.0 - slots).max(0.0) / slots * expected.time_factor,
        None => (expected.requests + expected.flows * OPEN_FLOW_COST + 1.0) / slots,
    } * warmup;
    // A cold target holds few flows, and must not attract all new ones while it is slow.
    let flows = match mean {
        Some(mean) if now < target.warm_at => expected.flows.max(mean.flows * MIN_COLD_FLOWS),
        _ => expected.flows,
    };
    let work = flows / slots * expected.time_factor;
    (wait + cross_zone + random * SCORE_JITTER, work)
}

/// Returns the cost of `work`, the expected work of a target, among targets of the same zone whose
/// least and mean work are given.
pub(crate) fn excess_work_cost(work: f32, least: f32, mean: f32) -> f32 {
    if mean <= 0.0 {
        return 0.0;
    }
    ((work - least) / mean * EXCESS_WORK_COST).clamp(0.0, MAX_EXCESS_WORK_COST)
}

/// The load that a target is expected to have now.
#[derive(Clone, Copy, Debug)]
struct ExpectedLoad {
    /// The mean of the current and the average number of requests in progress and waiting.
    requests: f32,
    /// Open flows.
    flows: f32,
    /// Service time as a multiple of the mean of the service.
    time_factor: f32,
}

impl ExpectedLoad {
    const IDLE: Self = Self {
        requests: 0.0,
        flows: 0.0,
        time_factor: 1.0,
    };

    /// Returns the load assumed for a target that was not heard, in a service with this mean.
    fn of_mean(mean: &ServiceMean, random: f32) -> Self {
        Self {
            requests: mean.requests,
            flows: if random < EXPLORED_SHARE {
                0.0
            } else {
                mean.flows
            },
            time_factor: 1.0,
        }
    }

    /// Returns the load according to the last report and the offers since.
    #[allow(clippy::cast_precision_loss)]
    fn counted(load: &TargetLoad) -> Self {
        let report = &load.report;
        let offers = f32::from(load.offers_since_report);
        let current = f32::from(report.in_progress) + offers;
        let average = report.average_milli as f32 / 1_000.0;
        Self {
            requests: (current + average) / 2.0 + f32::from(report.waiting),
            flows: report.flows as f32,
            time_factor: 1.0,
        }
    }

    /// Returns the load in relation to the mean of the service. An old report counts only in part,
    /// and the mean of the service for the rest.
    fn relative(load: &TargetLoad, mean: &ServiceMean, now: Moment) -> Self {
        let counted = Self::counted(load);
        let offers = f32::from(load.offers_since_report);
        let flows = counted.flows + offers;
        let time_factor = mean.time_factor(&load.report);
        let age = now.since(load.last_heard);
        if age <= FULL_WEIGHT_AGE {
            return Self {
                flows,
                time_factor,
                ..counted
            };
        }
        let weight = FULL_WEIGHT_AGE.as_secs_f32() / age.as_secs_f32();
        let blend = |own: f32, mean: f32| mean + (own - mean) * weight;
        Self {
            requests: blend(counted.requests, mean.requests + offers),
            flows: blend(flows, mean.flows + offers),
            time_factor: blend(time_factor, 1.0),
        }
    }
}
