//! Generates operations in an open loop: they arrive at a fixed mean rate, whether or not earlier
//! ones have finished.

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

/// Limit of operations in progress. Further ones are skipped, so that a hanging system does not
/// exhaust the test machine.
const MAX_PENDING_OPERATIONS: usize = 4_000;

/// The address pools of each service, by service name.
pub(crate) type ServicePools = HashMap<String, Vec<Arc<AddressPool>>>;

/// Starts operations for the planned time, then waits for all of them.
pub(crate) async fn run_arrivals(context: &Arc<CallerContext>, pools: &ServicePools) {
    let mut random = StdRng::seed_from_u64(context.plan.seed);
    let start = Instant::now();
    let end = start + Duration::from_secs_f64(context.plan.seconds);
    let mut next = start;
    let mut pending = JoinSet::new();
    for number in 0.. {
        let gap = -(1.0 - random.random::<f64>()).ln() / context.plan.rate;
        next += Duration::from_secs_f64(gap);
        if next >= end || context.is_finished() {
            break;
        }
        tokio::time::sleep_until(next).await;
        while pending.try_join_next().is_some() {}
        if pending.len() >= MAX_PENDING_OPERATIONS {
            context.counters.skipped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        if let Some(operation) = draw_operation(context, pools, number, &mut random) {
            pending.spawn(operation.run());
        }
    }
    tokio::time::sleep_until(end).await;
    while pending.join_next().await.is_some() {}
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
