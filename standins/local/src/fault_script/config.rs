//! Faults of the configuration service, and configuration changes.

use std::net::Ipv4Addr;

use lovagelatch_platform::{ConfigFault, FaultSettings};
use tokio::time::{Instant, sleep};

use super::{FAULT_DURATION, FaultScript};
use crate::config_propagation::{applied_revision, measure_propagation, publish_and_measure};
use crate::error::LocalError;

/// A text that processes must reject: a service without an address.
const INVALID_TEXT: &str = "[service nowhere]\ndepends = nothing\n";

impl FaultScript {
    pub(super) async fn config_change(&self) -> Result<(), LocalError> {
        let revision = publish_and_measure(&self.rig).await?;
        self.print(&format!("revision {revision} is in force"));
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
        self.print(&format!(
            "revision {revision}, with a new address, is in force"
        ));
        let revision = publish_and_measure(&self.rig).await?;
        self.print(&format!("revision {revision} is in force"));
        Ok(())
    }

    pub(super) async fn config_invalid(&self) -> Result<(), LocalError> {
        let invalid = self.rig.lock().await.publish_raw_text(INVALID_TEXT).await?;
        self.print(&format!(
            "published revision {invalid}, which must be refused"
        ));
        sleep(FAULT_DURATION / 2).await;
        let revision = publish_and_measure(&self.rig).await?;
        self.print(&format!("revision {revision} is in force after it"));
        Ok(())
    }

    pub(super) async fn set_config_fault(&self, config: ConfigFault) -> Result<(), LocalError> {
        let fault = FaultSettings {
            config,
            ..FaultSettings::default()
        };
        self.rig.lock().await.set_platform_fault(fault).await
    }

    pub(super) async fn config_down(&self) -> Result<(), LocalError> {
        self.set_config_fault(ConfigFault::Down).await?;
        self.print("the configuration service is down");
        let revision = self.rig.lock().await.publish_text().await?;
        sleep(FAULT_DURATION).await;
        self.set_config_fault(ConfigFault::Ok).await?;
        let up = Instant::now();
        self.print("the configuration service is up");
        measure_propagation(&self.rig, revision, up).await;
        self.print(&format!(
            "revision {revision}, from while it was down, is in force"
        ));
        Ok(())
    }

    pub(super) async fn config_stale(&self) -> Result<(), LocalError> {
        let revision = publish_and_measure(&self.rig).await?;
        self.set_config_fault(ConfigFault::Stale).await?;
        self.print(&format!(
            "revision {revision} is in force; the service shows an older one"
        ));
        let name = self.rig.lock().await.add_balancer().await?;
        self.print(&format!("{name} joined meanwhile"));
        sleep(FAULT_DURATION).await;
        self.check_not_reverted(revision).await;
        self.set_config_fault(ConfigFault::Ok).await?;
        self.print("the service shows the newest again");
        Ok(())
    }

    pub(super) async fn check_not_reverted(&self, revision: u64) {
        let processes = self.rig.lock().await.running_operations();
        for (name, operations) in processes {
            let applied = applied_revision(operations).await;
            if applied.is_none_or(|applied| applied < revision) {
                let finding = format!("{name} shows revision {applied:?} after {revision}");
                self.rig.lock().await.findings.push(finding);
            }
        }
    }
}
