//! Stopping everything: asked first, killed by number when that does not help.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::rig::LocalRig;

/// How long the system's processes may take to stop once callers are gone.
const GRACE: Duration = Duration::from_secs(5);

/// How long stand-ins may take.
const STANDIN_GRACE: Duration = Duration::from_secs(2);

const PERIOD: Duration = Duration::from_millis(20);

/// Stops agents and balancers, then their stand-ins; returns what had to be killed.
pub(crate) async fn stop_all(rig: &mut LocalRig) -> Vec<String> {
    for target in &mut rig.targets {
        target.agent.signal(libc::SIGCONT);
        if !target.agent.may_end {
            target.agent.terminate();
        }
    }
    for balancer in &mut rig.balancers {
        balancer.process.signal(libc::SIGCONT);
        if !balancer.process.may_end {
            balancer.process.terminate();
        }
    }
    let deadline = Instant::now() + GRACE;
    while Instant::now() < deadline && !system_ended(rig) {
        sleep(PERIOD).await;
    }
    let slow: Vec<String> = rig
        .processes()
        .into_iter()
        .filter_map(|process| {
            (process.may_end && process.exit_status().is_none()).then(|| process.name.clone())
        })
        .collect();
    for process in rig.processes() {
        if process.may_end {
            process.kill();
        } else {
            process.terminate();
        }
    }
    let deadline = Instant::now() + STANDIN_GRACE;
    while Instant::now() < deadline && !all_ended(rig) {
        sleep(PERIOD).await;
    }
    for process in rig.processes() {
        process.kill();
    }
    while !all_ended(rig) {
        sleep(PERIOD).await;
    }
    slow
}

fn system_ended(rig: &mut LocalRig) -> bool {
    let agents = rig.targets.iter_mut().map(|target| &mut target.agent);
    let balancers = rig
        .balancers
        .iter_mut()
        .map(|balancer| &mut balancer.process);
    let mut processes = agents.chain(balancers);
    processes.all(|process| process.exit_status().is_some())
}

fn all_ended(rig: &mut LocalRig) -> bool {
    let mut processes = rig.processes().into_iter();
    processes.all(|process| process.exit_status().is_some())
}
