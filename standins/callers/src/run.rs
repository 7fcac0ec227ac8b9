//! A whole run.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_history::{HistoryError, HistoryWriter};
use thiserror::Error;
use tokio::task::JoinSet;

use crate::arrivals::{ServicePools, run_arrivals};
use crate::client::{ClientError, client_config};
use crate::context::{CallerContext, CallerCounts};
use crate::feed::{MOVING_ONE_IN, hold_feed};
use crate::flow::FlowTarget;
use crate::plan::CallerPlan;
use crate::pool::AddressPool;

/// How often counts are told.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// Time for closes to reach the other side before the process ends.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// The time over which the feeds are opened.
const FEED_START: Duration = Duration::from_millis(500);

/// Why a run did not start.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The history could not be created.
    #[error("history: {0}")]
    History(#[from] HistoryError),
    /// A client could not be configured.
    #[error("client: {0}")]
    Client(#[from] ClientError),
}

/// Runs callers to a plan, tells counts each second, and returns the last ones.
///
/// # Errors
///
/// A [`CallerError`] when the run could not start.
pub async fn run_callers(
    plan: CallerPlan,
    tell: impl Fn(&CallerCounts) + Send + 'static,
) -> Result<CallerCounts, CallerError> {
    let history = HistoryWriter::create(&plan.history)?;
    let pools = make_pools(&plan)?;
    let context = CallerContext::new(plan, history);
    let progress = tokio::spawn(tell_counts(Arc::clone(&context), tell));
    let feeds = start_feeds(&context, &pools);
    run_arrivals(&context, &pools).await;
    context.over.send_replace(true);
    feeds.join_all().await;
    for pool in pools.values().flatten() {
        pool.clear();
    }
    tokio::time::sleep(CLOSE_TIME).await;
    progress.abort();
    Ok(context.counters.read())
}

fn make_pools(plan: &CallerPlan) -> Result<ServicePools, ClientError> {
    let mut pools = ServicePools::new();
    for service in &plan.services {
        let client = client_config(&service.ca)?;
        let addresses = service.addresses.iter().map(|address| {
            let target = FlowTarget {
                service: service.name.clone(),
                server_name: service.server_name.clone(),
                address: address.address,
                client: client.clone(),
            };
            Arc::new(AddressPool::new(target, address))
        });
        pools.insert(service.name.clone(), addresses.collect());
    }
    Ok(pools)
}

fn start_feeds(context: &Arc<CallerContext>, pools: &ServicePools) -> JoinSet<()> {
    let services = &context.plan.services;
    let with_feed = services.iter().filter(|service| service.feed);
    let addresses: Vec<_> = with_feed
        .filter_map(|service| pools.get(&service.name))
        .flatten()
        .collect();
    let mut feeds = JoinSet::new();
    if addresses.is_empty() {
        return feeds;
    }
    let count = context.plan.feeds;
    for (index, pool) in (0..count).zip(addresses.iter().cycle()) {
        let context = Arc::clone(context);
        let pool = Arc::clone(pool);
        let wait = FEED_START * index / count;
        feeds.spawn(async move {
            tokio::time::sleep(wait).await;
            hold_feed(context, pool, index % MOVING_ONE_IN == 0).await;
        });
    }
    feeds
}

async fn tell_counts(context: Arc<CallerContext>, tell: impl Fn(&CallerCounts)) {
    let mut period = tokio::time::interval(PROGRESS_PERIOD);
    loop {
        period.tick().await;
        tell(&context.counters.read());
    }
}
