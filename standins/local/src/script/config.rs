//! Faults of the configuration service, and changes of the configuration.

use std::net::Ipv4Addr;

use lovagelatch_platform::{ConfigFault, FaultSettings};
use tokio::time::{Instant, sleep};

use super::{FAULT_TIME, FaultScript};
use crate::config_watch::{measure, publish_and_measure, shown_revision};
use crate::error::LocalError;

/// A text that must be refused: a service without an address.
const INVALID_TEXT: &str = "[service nowhere]\ndepends = nothing\n";

impl FaultScript {
    pub(super) async fn config_change(&self) -> Result<(), LocalError> {
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

    pub(super) async fn config_invalid(&self) -> Result<(), LocalError> {
        let refused = self.rig.lock().await.publish_raw_text(INVALID_TEXT).await?;
        self.say(&format!(
            "published revision {refused}, which must be refused"
        ));
        sleep(FAULT_TIME / 2).await;
        let revision = publish_and_measure(&self.rig).await?;
        self.say(&format!("revision {revision} is in force after it"));
        Ok(())
    }

    pub(super) async fn set_config_fault(&self, config: ConfigFault) -> Result<(), LocalError> {
        let fault = FaultSettings {
            config,
            ..FaultSettings::default()
        };
        self.rig.lock().await.fault_platform(fault).await
    }

    pub(super) async fn config_down(&self) -> Result<(), LocalError> {
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

    pub(super) async fn config_stale(&self) -> Result<(), LocalError> {
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

    pub(super) async fn check_not_reverted(&self, revision: u64) {
        let processes = self.rig.lock().await.running_operations();
        for (name, operations) in processes {
            let shown = shown_revision(operations).await;
            if shown.is_none_or(|shown| shown < revision) {
                let finding = format!("{name} shows revision {shown:?} after {revision}");
                self.rig.lock().await.findings.push(finding);
            }
        }
    }
}
