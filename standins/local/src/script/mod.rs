//! What each fault does.

mod answers;
mod balancers;
mod config;
mod network;
mod targets;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;

use crate::error::LocalError;
use crate::fault::FaultName;
use crate::rig::LocalRig;
use crate::summary::Narrator;

/// How long a passing fault lasts.
const FAULT_TIME: Duration = Duration::from_secs(4);

/// How long a process is paused.
const PAUSE_TIME: Duration = Duration::from_secs(3);

/// How long the platform and the fabric take to notice that an instance died.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// The time between two steps of a replacement.
const STEP_TIME: Duration = Duration::from_millis(200);

/// Carries out a fault from its start to its end.
pub(crate) async fn run_fault(
    name: FaultName,
    rig: Arc<Mutex<LocalRig>>,
    narrator: Narrator,
) -> Result<(), LocalError> {
    let script = FaultScript {
        rig,
        narrator,
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
    narrator: Narrator,
    name: FaultName,
}

impl FaultScript {
    fn say(&self, text: &str) {
        self.narrator.say(&format!("{}: {text}", self.name.text()));
    }
}
