//! Scripts that inject the faults.

mod balancers;
mod config;
mod network;
mod responses;
mod targets;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;

use crate::error::LocalError;
use crate::fault::FaultName;
use crate::output::ProgressPrinter;
use crate::rig::LocalRig;

/// Duration of a temporary fault.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// How long a process stays paused.
const PAUSE_DURATION: Duration = Duration::from_secs(3);

/// Delay after which platform and fabric detect that an instance has stopped.
const DETECTION_DELAY: Duration = Duration::from_secs(1);

/// Interval between two steps of a rolling replacement.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(200);

/// Injects a fault and runs its script to the end.
pub(crate) async fn run_fault(
    name: FaultName,
    rig: Arc<Mutex<LocalRig>>,
    progress: ProgressPrinter,
) -> Result<(), LocalError> {
    let script = FaultScript {
        rig,
        progress,
        name,
    };
    match name {
        FaultName::KillBalancer => script.kill_balancer().await,
        FaultName::AddBalancer => script.add_balancer().await,
        FaultName::PauseBalancer => script.pause_balancer().await,
        FaultName::ReplaceBalancers => script.replace_balancers().await,
        FaultName::DrainTarget => script.drain_target().await,
        FaultName::ReplaceTargets => script.replace_targets().await,
        FaultName::KillTarget => script.kill_target().await,
        FaultName::PauseTarget => script.pause_target().await,
        FaultName::ColdTarget => script.cold_target().await,
        FaultName::ConfigChange => script.config_change().await,
        FaultName::ConfigInvalid => script.config_invalid().await,
        FaultName::ConfigDown => script.config_down().await,
        FaultName::ConfigStale => script.config_stale().await,
        FaultName::ListLag => script.list_lag().await,
        FaultName::PartitionZone => script.partition_zone().await,
        FaultName::SilentFlows => script.silent_flows().await,
        FaultName::CrossedAnswers => script.crossed_answers().await,
        FaultName::LoadMisleads => script.load_misleads().await,
        FaultName::LostPackets => script.lost_packets().await,
    }
}

struct FaultScript {
    rig: Arc<Mutex<LocalRig>>,
    progress: ProgressPrinter,
    name: FaultName,
}

impl FaultScript {
    fn print(&self, text: &str) {
        self.progress
            .print(&format!("{}: {text}", self.name.text()));
    }
}
