//! What each fault does.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_backend::{FaultChange, HealthState};
use lovagelatch_domain::InstanceState;
use lovagelatch_history::{TargetLeaving, unix_millis};
use lovagelatch_platform::{ConfigFault, FaultSettings};
use rand::seq::IteratorRandom;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use crate::config_watch::{measure, publish_and_measure, shown_revision};
use crate::error::LocalError;
use crate::fault::FaultName;
use crate::http_client;
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

/// How long the cold start of a cold target takes, in milliseconds.
const COLD_MS: u64 = 3_000;

/// How far a lagging list or health endpoint lags, in milliseconds.
const LIST_LAG_MS: u64 = 30_000;
const HEALTH_LAG_MS: u64 = 2_000;

/// A text that must be refused: a service without an address.
const INVALID_TEXT: &str = "[service nowhere]\ndepends = nothing\n";

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

    /// The position of a balancer that packets go to.
    async fn pick_balancer(&self) -> Option<usize> {
        let rig = self.rig.lock().await;
        let balancers = rig.balancers.iter().enumerate();
        let usable = balancers.filter(|(_, one)| one.listed && !one.process.may_end);
        usable.map(|(index, _)| index).choose(&mut rand::rng())
    }

    /// The position of a live target.
    async fn pick_target(&self) -> Option<usize> {
        let rig = self.rig.lock().await;
        let targets = rig.targets.iter().enumerate();
        let live = targets.filter(|(_, target)| target.is_live());
        live.map(|(index, _)| index).choose(&mut rand::rng())
    }

    async fn kill_balancer(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_balancer().await else {
            return Ok(());
        };
        let name = {
            let mut rig = self.rig.lock().await;
            let balancer = &mut rig.balancers[index];
            balancer.process.kill();
            balancer.plan.name.clone()
        };
        self.say(&format!("killed {name}"));
        sleep(NOTICE_TIME).await;
        let mut rig = self.rig.lock().await;
        rig.balancers[index].listed = false;
        rig.publish_fleet().await?;
        self.say(&format!("{name} is off the list"));
        Ok(())
    }

    async fn add_balancer(&self) -> Result<(), LocalError> {
        let name = self.rig.lock().await.add_balancer().await?;
        self.say(&format!("{name} joined"));
        Ok(())
    }

    async fn pause_balancer(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_balancer().await else {
            return Ok(());
        };
        let name = self.rig.lock().await.balancers[index].plan.name.clone();
        self.signal_balancer(index, libc::SIGSTOP).await;
        self.say(&format!("paused {name}"));
        sleep(PAUSE_TIME).await;
        self.signal_balancer(index, libc::SIGCONT).await;
        self.say(&format!("{name} goes on"));
        Ok(())
    }

    async fn signal_balancer(&self, index: usize, signal: libc::c_int) {
        self.rig.lock().await.balancers[index]
            .process
            .signal(signal);
    }

    async fn replace_balancers(&self) -> Result<(), LocalError> {
        let count = self.rig.lock().await.balancers.len();
        for index in 0..count {
            let mut rig = self.rig.lock().await;
            if rig.balancers[index].process.may_end {
                continue;
            }
            let new = rig.add_balancer().await?;
            rig.balancers[index].listed = false;
            rig.publish_fleet().await?;
            rig.balancers[index].process.terminate();
            let old = rig.balancers[index].plan.name.clone();
            drop(rig);
            self.say(&format!("{new} in place of {old}"));
            sleep(STEP_TIME).await;
        }
        Ok(())
    }

    /// The backend server says that it leaves; then the platform does.
    async fn tell_to_leave(&self, index: usize) -> Result<String, LocalError> {
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

    async fn drain_target(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_target().await else {
            return Ok(());
        };
        let name = self.tell_to_leave(index).await?;
        self.say(&format!("{name} drains"));
        Ok(())
    }

    async fn replace_targets(&self) -> Result<(), LocalError> {
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
            let old = self.tell_to_leave(index).await?;
            self.rig.lock().await.targets[index].agent.terminate();
            self.say(&format!("{new} in place of {old}"));
            sleep(STEP_TIME).await;
        }
        self.take_off_ended(count).await
    }

    /// Takes replaced targets whose agents have stopped off the list, with their backend
    /// servers; those that still hold feeds stay.
    async fn take_off_ended(&self, count: usize) -> Result<(), LocalError> {
        sleep(NOTICE_TIME).await;
        let mut rig = self.rig.lock().await;
        let mut gone = Vec::new();
        for target in &mut rig.targets[..count] {
            if target.agent.may_end && target.agent.exit_status().is_some() {
                target.backend.kill();
                target.listed = false;
                gone.push(target.plan.name.clone());
            }
        }
        rig.publish_fleet().await?;
        drop(rig);
        self.say(&format!("stopped and off the list: {}", gone.join(", ")));
        Ok(())
    }

    async fn kill_target(&self) -> Result<(), LocalError> {
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
        self.say(&format!("killed {name} and its agent"));
        sleep(NOTICE_TIME).await;
        let mut rig = self.rig.lock().await;
        rig.targets[index].listed = false;
        rig.publish_fleet().await?;
        self.say(&format!("{name} is off the list"));
        Ok(())
    }

    async fn pause_target(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_target().await else {
            return Ok(());
        };
        let name = self.rig.lock().await.targets[index].plan.name.clone();
        self.signal_target(index, libc::SIGSTOP).await;
        self.say(&format!("paused {name} and its agent"));
        sleep(PAUSE_TIME).await;
        self.signal_target(index, libc::SIGCONT).await;
        self.say(&format!("{name} goes on"));
        Ok(())
    }

    async fn signal_target(&self, index: usize, signal: libc::c_int) {
        let target = &mut self.rig.lock().await.targets[index];
        target.agent.signal(signal);
        target.backend.signal(signal);
    }

    async fn cold_target(&self) -> Result<(), LocalError> {
        let mut rig = self.rig.lock().await;
        let service = rig.deployment.services[0].name;
        let name = rig.add_target(service, COLD_MS).await?;
        drop(rig);
        self.say(&format!("{name} joined cold, warm after {COLD_MS} ms"));
        Ok(())
    }

    async fn config_change(&self) -> Result<(), LocalError> {
        let revision = publish_and_measure(&self.rig).await?;
        self.say(&format!("revision {revision} is in force"));
        let mut rig = self.rig.lock().await;
        let service = rig.deployment.services[0];
        rig.add_address(
            service.name,
            service.agencies[0],
            Ipv4Addr::new(127, 20, 9, 1),
        )?;
        rig.publish_topology().await?;
        drop(rig);
        let revision = publish_and_measure(&self.rig).await?;
        self.say(&format!(
            "revision {revision}, with a new address, is in force"
        ));
        let revision = publish_and_measure(&self.rig).await?;
        self.say(&format!("revision {revision} is in force"));
        Ok(())
    }

    async fn config_invalid(&self) -> Result<(), LocalError> {
        let refused = self.rig.lock().await.publish_raw_text(INVALID_TEXT).await?;
        self.say(&format!(
            "published revision {refused}, which must be refused"
        ));
        sleep(FAULT_TIME / 2).await;
        let revision = publish_and_measure(&self.rig).await?;
        self.say(&format!("revision {revision} is in force after it"));
        Ok(())
    }

    async fn set_config_fault(&self, config: ConfigFault) -> Result<(), LocalError> {
        let fault = FaultSettings {
            config,
            ..FaultSettings::default()
        };
        self.rig.lock().await.fault_platform(fault).await
    }

    async fn config_down(&self) -> Result<(), LocalError> {
        self.set_config_fault(ConfigFault::Down).await?;
        self.say("the configuration service is down");
        let revision = self.rig.lock().await.publish_text().await?;
        sleep(FAULT_TIME).await;
        self.set_config_fault(ConfigFault::Ok).await?;
        let up = Instant::now();
        self.say("the configuration service is up");
        measure(&self.rig, revision, up).await;
        self.say(&format!(
            "revision {revision}, from while it was down, is in force"
        ));
        Ok(())
    }

    async fn config_stale(&self) -> Result<(), LocalError> {
        let revision = publish_and_measure(&self.rig).await?;
        self.set_config_fault(ConfigFault::Stale).await?;
        self.say(&format!(
            "revision {revision} is in force; the service shows an older one"
        ));
        let name = self.rig.lock().await.add_balancer().await?;
        self.say(&format!("{name} joined meanwhile"));
        sleep(FAULT_TIME).await;
        self.check_not_reverted(revision).await;
        self.set_config_fault(ConfigFault::Ok).await?;
        self.say("the service shows the newest again");
        Ok(())
    }

    async fn check_not_reverted(&self, revision: u64) {
        let processes = self.rig.lock().await.running_operations();
        for (name, operations) in processes {
            let shown = shown_revision(operations).await;
            if shown.is_none_or(|shown| shown < revision) {
                let finding = format!("{name} shows revision {shown:?} after {revision}");
                self.rig.lock().await.findings.push(finding);
            }
        }
    }

    async fn list_lag(&self) -> Result<(), LocalError> {
        let fault = FaultSettings {
            list_lag_ms: LIST_LAG_MS,
            ..FaultSettings::default()
        };
        self.rig.lock().await.fault_platform(fault).await?;
        self.say(&format!("the instance list lags by {LIST_LAG_MS} ms"));
        self.drain_target().await
    }

    async fn partition_zone(&self) -> Result<(), LocalError> {
        let zones = self.rig.lock().await.deployment.zones;
        let lone = zones[0];
        let cut: Vec<[&str; 2]> = zones[1..]
            .iter()
            .flat_map(|other| [[lone, *other], [*other, lone]])
            .collect();
        self.set_fabric_fault(json!({"cut_zones": cut})).await?;
        self.say(&format!("{lone} is cut off from the other zones"));
        sleep(FAULT_TIME).await;
        self.set_fabric_fault(json!({})).await?;
        self.say(&format!("{lone} is back"));
        Ok(())
    }

    async fn set_fabric_fault(&self, fault: serde_json::Value) -> Result<(), LocalError> {
        self.rig.lock().await.fault_fabric(fault).await
    }

    async fn silent_flows(&self) -> Result<(), LocalError> {
        self.set_fabric_fault(json!({"silent_callers": true}))
            .await?;
        self.say("all open flows are silent from now; new ones work");
        Ok(())
    }

    async fn fault_backends(&self, change: FaultChange) -> Result<(), LocalError> {
        let backends: Vec<_> = {
            let rig = self.rig.lock().await;
            let running = rig.targets.iter().filter(|target| !target.backend.may_end);
            running.map(|target| target.backend_address).collect()
        };
        for backend in backends {
            http_client::put_json(backend, "/admin/fault", &change).await?;
        }
        Ok(())
    }

    async fn crossed_answers(&self) -> Result<(), LocalError> {
        let change = |on: bool| FaultChange {
            crossed_answers: Some(on),
            ..FaultChange::default()
        };
        self.fault_backends(change(true)).await?;
        self.say("backend servers cross, delay and cut some answers");
        sleep(FAULT_TIME).await;
        self.fault_backends(change(false)).await?;
        self.say("backend servers answer properly again");
        Ok(())
    }

    async fn load_misleads(&self) -> Result<(), LocalError> {
        let change = |on: bool| FaultChange {
            load_misleads: Some(on),
            health_lag_ms: Some(if on { HEALTH_LAG_MS } else { 0 }),
            ..FaultChange::default()
        };
        self.fault_backends(change(true)).await?;
        self.say("health and load of all backend servers mislead");
        sleep(FAULT_TIME).await;
        self.fault_backends(change(false)).await?;
        self.say("health and load are right again");
        Ok(())
    }

    async fn lost_packets(&self) -> Result<(), LocalError> {
        let fault = json!({"drop": 0.05, "duplicate": 0.02, "reorder": 0.05});
        self.set_fabric_fault(fault).await?;
        self.say("5 % of packets are lost, 2 % come twice, 5 % out of order");
        sleep(FAULT_TIME).await;
        self.set_fabric_fault(json!({})).await?;
        self.say("packets pass again");
        Ok(())
    }
}
