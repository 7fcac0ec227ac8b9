//! Stops all processes: first with SIGTERM, after a timeout with SIGKILL.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::rig::LocalRig;

/// How long agents and balancers may take to stop after the callers have finished.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// How long stand-ins may take to stop.
const STANDIN_STOP_TIMEOUT: Duration = Duration::from_secs(2);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stops agents and balancers, then the stand-ins. Returns the names of processes that did not
/// stop in time and were killed.
pub(crate) async fn stop_all(rig: &mut LocalRig) -> Vec<String> {
    for target in &mut rig.targets {
        target.agent.signal(libc::SIGCONT);
        if !target.agent.exit_expected {
            target.agent.terminate();
        }
    }
    for balancer in &mut rig.balancers {
        balancer.process.signal(libc::SIGCONT);
        if !balancer.process.exit_expected {
            balancer.process.terminate();
        }
    }
    let deadline = Instant::now() + STOP_TIMEOUT;
    while Instant::now() < deadline && !system_exited(rig) {
        sleep(POLL_INTERVAL).await;
    }
    let killed: Vec<String> = rig
        .processes()
        .into_iter()
        .filter_map(|process| {
            (process.exit_expected && process.exit_status().is_none()).then(|| process.name.clone())
        })
        .collect();
    for process in rig.processes() {
        if process.exit_expected {
            process.kill();
        } else {
            process.terminate();
        }
    }
    let deadline = Instant::now() + STANDIN_STOP_TIMEOUT;
    while Instant::now() < deadline && !all_exited(rig) {
        sleep(POLL_INTERVAL).await;
    }
    for process in rig.processes() {
        process.kill();
    }
    while !all_exited(rig) {
        sleep(POLL_INTERVAL).await;
    }
    killed
}

fn system_exited(rig: &mut LocalRig) -> bool {
    let agents = rig.targets.iter_mut().map(|target| &mut target.agent);
    let balancers = rig
        .balancers
        .iter_mut()
        .map(|balancer| &mut balancer.process);
    let mut processes = agents.chain(balancers);
    processes.all(|process| process.exit_status().is_some())
}

fn all_exited(rig: &mut LocalRig) -> bool {
    let mut processes = rig.processes().into_iter();
    processes.all(|process| process.exit_status().is_some())
}
