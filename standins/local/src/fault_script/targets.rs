//! Faults of targets: backend servers and their agents.

use lovagelatch_backend::{FaultChange, HealthState};
use lovagelatch_domain::InstanceState;
use lovagelatch_history::{TargetLeaving, unix_millis};
use lovagelatch_platform::FaultSettings;
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::{DETECTION_DELAY, FaultScript, PAUSE_DURATION, REPLACEMENT_INTERVAL};
use crate::error::LocalError;
use crate::http_client;

/// Warm-up time of a cold target, in milliseconds.
const WARMUP_MS: u64 = 3_000;

/// Lag of a delayed instance list, in milliseconds.
const LIST_LAG_MS: u64 = 30_000;

impl FaultScript {
    /// Returns the index of a random live target.
    pub(super) async fn pick_target(&self) -> Option<usize> {
        let rig = self.rig.lock().await;
        let targets = rig.targets.iter().enumerate();
        let live = targets.filter(|(_, target)| target.is_live());
        live.map(|(index, _)| index).choose(&mut rand::rng())
    }

    /// Announces that a target leaves: first by its backend server, then in the instance list.
    pub(super) async fn announce_leaving(&self, index: usize) -> Result<String, LocalError> {
        let mut rig = self.rig.lock().await;
        let target = &mut rig.targets[index];
        target.state = InstanceState::Leaving;
        let (name, backend) = (target.plan.name.clone(), target.backend_address);
        rig.leaving.push(TargetLeaving {
            target: name.clone(),
            time_ms: unix_millis(),
        });
        let change = FaultChange {
            state: Some(HealthState::Draining),
            ..FaultChange::default()
        };
        http_client::put_json(backend, "/admin/fault", &change).await?;
        rig.publish_fleet().await?;
        Ok(name)
    }

    pub(super) async fn drain_target(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_target().await else {
            return Ok(());
        };
        let name = self.announce_leaving(index).await?;
        self.print(&format!("{name} drains"));
        Ok(())
    }

    pub(super) async fn replace_targets(&self) -> Result<(), LocalError> {
        let count = self.rig.lock().await.targets.len();
        for index in 0..count {
            let service = {
                let rig = self.rig.lock().await;
                let target = &rig.targets[index];
                if !target.is_live() {
                    continue;
                }
                target.plan.service
            };
            let new = self.rig.lock().await.add_target(service, 0).await?;
            let old = self.announce_leaving(index).await?;
            self.rig.lock().await.targets[index].agent.terminate();
            self.print(&format!("{new} in place of {old}"));
            sleep(REPLACEMENT_INTERVAL).await;
        }
        self.delist_stopped(count).await
    }

    /// Removes replaced targets whose agents have stopped from the instance list, and kills their
    /// backend servers. Targets that still hold feeds stay.
    pub(super) async fn delist_stopped(&self, count: usize) -> Result<(), LocalError> {
        sleep(DETECTION_DELAY).await;
        let mut rig = self.rig.lock().await;
        let mut removed = Vec::new();
        for target in &mut rig.targets[..count] {
            if target.agent.exit_expected && target.agent.exit_status().is_some() {
                target.backend.kill();
                target.listed = false;
                removed.push(target.plan.name.clone());
            }
        }
        rig.publish_fleet().await?;
        drop(rig);
        self.print(&format!("stopped and off the list: {}", removed.join(", ")));
        Ok(())
    }

    pub(super) async fn kill_target(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_target().await else {
            return Ok(());
        };
        let name = {
            let mut rig = self.rig.lock().await;
            let target = &mut rig.targets[index];
            target.agent.kill();
            target.backend.kill();
            target.plan.name.clone()
        };
        self.print(&format!("killed {name} and its agent"));
        sleep(DETECTION_DELAY).await;
        let mut rig = self.rig.lock().await;
        rig.targets[index].listed = false;
        rig.publish_fleet().await?;
        self.print(&format!("{name} is off the list"));
        Ok(())
    }

    pub(super) async fn pause_target(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_target().await else {
            return Ok(());
        };
        let name = self.rig.lock().await.targets[index].plan.name.clone();
        self.signal_target(index, libc::SIGSTOP).await;
        self.print(&format!("paused {name} and its agent"));
        sleep(PAUSE_DURATION).await;
        self.signal_target(index, libc::SIGCONT).await;
        self.print(&format!("{name} goes on"));
        Ok(())
    }

    pub(super) async fn signal_target(&self, index: usize, signal: libc::c_int) {
        let target = &mut self.rig.lock().await.targets[index];
        target.agent.signal(signal);
        target.backend.signal(signal);
    }

    pub(super) async fn cold_target(&self) -> Result<(), LocalError> {
        let mut rig = self.rig.lock().await;
        let service = rig.deployment.services[0].name;
        let name = rig.add_target(service, WARMUP_MS).await?;
        drop(rig);
        self.print(&format!("{name} joined cold, warm after {WARMUP_MS} ms"));
        Ok(())
    }

    pub(super) async fn list_lag(&self) -> Result<(), LocalError> {
        let fault = FaultSettings {
            list_lag_ms: LIST_LAG_MS,
            ..FaultSettings::default()
        };
        self.rig.lock().await.set_platform_fault(fault).await?;
        self.print(&format!("the instance list lags by {LIST_LAG_MS} ms"));
        self.drain_target().await
    }
}
