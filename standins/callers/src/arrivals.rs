//! Requests that arrive at a rate, whether or not earlier ones were answered.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lovagelatch_history::RequestKind;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::context::{CallerContext, now_ms};
use crate::operation::{CallerOperation, draw_concurrent, draw_request, draw_with_ticket};
use crate::plan::ServicePlan;
use crate::pool::AddressPool;

/// Operations that may wait at once; more are not sent, so that a stuck system does not
/// exhaust the machine.
const MAX_WAITING: usize = 4_000;

/// The addresses of each service, by its name.
pub(crate) type ServicePools = HashMap<String, Vec<Arc<AddressPool>>>;

/// Starts operations until the planned time is over, then waits for them all.
pub(crate) async fn run_arrivals(context: &Arc<CallerContext>, pools: &ServicePools) {
    let mut random = StdRng::seed_from_u64(context.plan.seed);
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(context.plan.seconds);
    let mut next = start;
    let mut waiting = JoinSet::new();
    for number in 0.. {
        let gap = -(1.0 - random.random::<f64>()).ln() / context.plan.rate;
        next += Duration::from_secs_f64(gap);
        if next >= end || context.is_over() {
            break;
        }
        tokio::time::sleep_until(next).await;
        while waiting.try_join_next().is_some() {}
        if waiting.len() >= MAX_WAITING {
            context.counters.skipped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        if let Some(operation) = draw_operation(context, pools, number, &mut random) {
            waiting.spawn(operation.run());
        }
    }
    tokio::time::sleep_until(end).await;
    while waiting.join_next().await.is_some() {}
}

fn draw_operation(
    context: &Arc<CallerContext>,
    pools: &ServicePools,
    number: u64,
    random: &mut StdRng,
) -> Option<CallerOperation> {
    let services = &context.plan.services;
    let service: &ServicePlan = services
        .choose_weighted(random, |service| service.share)
        .ok()?;
    let pools = pools.get(&service.name)?;
    let pool = pools.choose_weighted(random, |pool| pool.weight).ok()?;
    let mean = context.plan.mean_work_ms;
    let request = draw_request(service, mean, number, now_ms(), random);
    let is_filing = request.kind == RequestKind::Filing;
    Some(CallerOperation {
        context: Arc::clone(context),
        pool: Arc::clone(pool),
        request,
        concurrent: is_filing && draw_concurrent(random),
        with_ticket: draw_with_ticket(random),
    })
}
