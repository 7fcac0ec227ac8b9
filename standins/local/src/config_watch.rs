//! Measures how long a configuration takes to be in force everywhere, from what each process
//! says of itself on its operations address.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::error::LocalError;
use crate::http_client;
use crate::rig::LocalRig;

/// How often a process is asked.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A configuration that is not in force by then is not in force.
const LIMIT: Duration = Duration::from_secs(15);

/// Publishes a changed text and measures how long it takes.
pub(crate) async fn publish_and_measure(rig: &Arc<Mutex<LocalRig>>) -> Result<u64, LocalError> {
    let published = Instant::now();
    let revision = rig.lock().await.publish_text().await?;
    measure(rig, revision, published).await;
    Ok(revision)
}

/// Waits until every running process shows `revision`, and notes how long that took.
pub(crate) async fn measure(rig: &Arc<Mutex<LocalRig>>, revision: u64, since: Instant) {
    let processes = rig.lock().await.running_operations();
    let mut waits = JoinSet::new();
    for (name, operations) in processes {
        waits.spawn(async move { (name, wait_for(operations, revision, since).await) });
    }
    let mut slowest = Some(0.0_f64);
    while let Some(ended) = waits.join_next().await {
        let Ok((name, took)) = ended else { continue };
        let mut rig = rig.lock().await;
        let still_runs = rig
            .running_operations()
            .iter()
            .any(|(running, _)| *running == name);
        match took {
            Some(took) => slowest = slowest.map(|slowest| slowest.max(took)),
            None if still_runs => {
                slowest = None;
                rig.findings.push(format!(
                    "revision {revision} never came into force at {name}"
                ));
            }
            None => {}
        }
    }
    rig.lock().await.config_times.push(slowest);
}

/// Milliseconds until a process shows `revision`; `None` when it does not in time.
async fn wait_for(operations: SocketAddrV4, revision: u64, since: Instant) -> Option<f64> {
    loop {
        if shown_revision(operations)
            .await
            .is_some_and(|shown| shown >= revision)
        {
            return Some(since.elapsed().as_secs_f64() * 1_000.0);
        }
        if since.elapsed() > LIMIT {
            return None;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// The revision that a process says is in force with it.
pub(crate) async fn shown_revision(operations: SocketAddrV4) -> Option<u64> {
    let status = http_client::get_json(operations, "/status").await.ok()?;
    status.get("config_revision")?.as_u64()
}
