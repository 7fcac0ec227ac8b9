//! Runs a plan from its start to its end.

use std::sync::Arc;
use std::time::Duration;

use lovagelatch_history::{HistoryError, HistoryWriter};
use thiserror::Error;
use tokio::task::JoinSet;

use crate::arrivals::{ServicePools, run_arrivals};
use crate::client::{ClientError, client_config};
use crate::context::{CallerContext, CallerCounts};
use crate::feed::{FEEDS_PER_MIGRATION, hold_feed};
use crate::flow::FlowDestination;
use crate::plan::CallerPlan;
use crate::pool::AddressPool;

/// Interval of progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time for connection closes to reach the servers before the run returns.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// Time over which the opening of the feeds is spread.
const FEED_RAMP_UP: Duration = Duration::from_millis(500);

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

/// Runs the callers of a plan, passes the counters to `report` each second and returns the final
/// counters.
///
/// # Errors
///
/// Returns a [`CallerError`] if the run could not start.
pub async fn run_callers(
    plan: CallerPlan,
    report: impl Fn(&CallerCounts) + Send + 'static,
) -> Result<CallerCounts, CallerError> {
    let history = HistoryWriter::create(&plan.history)?;
    let pools = make_pools(&plan)?;
    let context = CallerContext::new(plan, history);
    let progress = tokio::spawn(report_counts(Arc::clone(&context), report));
    let feeds = start_feeds(&context, &pools);
    run_arrivals(&context, &pools).await;
    context.finished.send_replace(true);
    feeds.join_all().await;
    for pool in pools.values().flatten() {
        pool.clear();
    }
    tokio::time::sleep(CLOSE_GRACE).await;
    progress.abort();
    Ok(context.counters.read())
}

fn make_pools(plan: &CallerPlan) -> Result<ServicePools, ClientError> {
    let mut pools = ServicePools::new();
    for service in &plan.services {
        let client = client_config(&service.ca)?;
        let addresses = service.addresses.iter().map(|address| {
            let destination = FlowDestination {
                service: service.name.clone(),
                server_name: service.server_name.clone(),
                address: address.address,
                client: client.clone(),
            };
            Arc::new(AddressPool::new(destination, address))
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
        let delay = FEED_RAMP_UP * index / count;
        feeds.spawn(async move {
            tokio::time::sleep(delay).await;
            hold_feed(context, pool, index % FEEDS_PER_MIGRATION == 0).await;
        });
    }
    feeds
}

async fn report_counts(context: Arc<CallerContext>, report: impl Fn(&CallerCounts)) {
    let mut interval = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        interval.tick().await;
        report(&context.counters.read());
    }
}
