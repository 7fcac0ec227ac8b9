//! Measures the propagation time of a configuration to all processes, from the revision that each
//! process reports on its operations address.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::error::LocalError;
use crate::http_client;
use crate::rig::LocalRig;

/// Interval between status requests to a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a configuration counts as not propagated.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Publishes a changed text and measures its propagation time. Returns its revision.
pub(crate) async fn publish_and_measure(rig: &Arc<Mutex<LocalRig>>) -> Result<u64, LocalError> {
    let published = Instant::now();
    let revision = rig.lock().await.publish_text().await?;
    measure_propagation(rig, revision, published).await;
    Ok(revision)
}

/// Waits until every running process reports `revision`, and records the time since `since`.
pub(crate) async fn measure_propagation(rig: &Arc<Mutex<LocalRig>>, revision: u64, since: Instant) {
    let processes = rig.lock().await.running_operations();
    let mut waits = JoinSet::new();
    for (name, operations) in processes {
        waits.spawn(async move { (name, time_until_applied(operations, revision, since).await) });
    }
    let mut slowest = Some(0.0_f64);
    while let Some(joined) = waits.join_next().await {
        let Ok((name, elapsed)) = joined else {
            continue;
        };
        let mut rig = rig.lock().await;
        let still_runs = rig
            .running_operations()
            .iter()
            .any(|(running, _)| *running == name);
        match elapsed {
            Some(elapsed) => slowest = slowest.map(|slowest| slowest.max(elapsed)),
            None if still_runs => {
                slowest = None;
                rig.findings.push(format!(
                    "revision {revision} never came into force at {name}"
                ));
            }
            None => {}
        }
    }
    rig.lock().await.config_durations.push(slowest);
}

/// Returns the milliseconds until a process reports `revision`, or `None` after the timeout.
async fn time_until_applied(
    operations: SocketAddrV4,
    revision: u64,
    since: Instant,
) -> Option<f64> {
    loop {
        if applied_revision(operations)
            .await
            .is_some_and(|applied| applied >= revision)
        {
            return Some(since.elapsed().as_secs_f64() * 1_000.0);
        }
        if since.elapsed() > PROPAGATION_TIMEOUT {
            return None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the revision that a process reports as in force.
pub(crate) async fn applied_revision(operations: SocketAddrV4) -> Option<u64> {
    let status = http_client::get_json(operations, "/status").await.ok()?;
    status.get("config_revision")?.as_u64()
}
