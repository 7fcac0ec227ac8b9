//! Publishes instance list and service text to the platform, and the topology to the fabric.

use std::collections::BTreeMap;

use lovagelatch_domain::{BalancerRecord, InstanceList, InstanceState, ListRevision, TargetRecord};
use lovagelatch_platform::{FaultSettings, PublishedRevision};
use serde::Serialize;
use serde_json::Value;

use crate::config_files::service_text;
use crate::error::LocalError;
use crate::http_client;
use crate::rig::LocalRig;

#[derive(Serialize)]
struct FabricTopology {
    services: Vec<String>,
    balancers: Vec<String>,
    zones: BTreeMap<String, &'static str>,
    client_delay_us: u128,
    zone_delay_us: u128,
}

impl LocalRig {
    /// Publishes the list of the currently listed instances, and the topology.
    pub(crate) async fn publish_fleet(&mut self) -> Result<(), LocalError> {
        let targets = self.targets.iter().filter(|target| target.listed);
        let targets = targets.map(|target| target.plan.record(target.state));
        let balancers = self.balancers.iter().filter(|balancer| balancer.listed);
        let balancers = balancers.map(|balancer| balancer.plan.record(InstanceState::Live));
        self.publish_records(targets.collect(), balancers.collect())
            .await?;
        self.publish_topology().await
    }

    /// Publishes an instance list.
    pub(crate) async fn publish_records(
        &self,
        targets: Vec<TargetRecord>,
        balancers: Vec<BalancerRecord>,
    ) -> Result<(), LocalError> {
        let list = InstanceList {
            revision: ListRevision::default(),
            targets,
            balancers,
        };
        http_client::put_json(self.platform_address, "/admin/instances", &list).await?;
        Ok(())
    }

    /// Publishes to the fabric which balancers receive packets, and the zones of all addresses.
    pub(crate) async fn publish_topology(&self) -> Result<(), LocalError> {
        let mut zones = BTreeMap::new();
        for target in &self.targets {
            zones.insert(target.plan.addresses.control.to_string(), target.plan.zone);
        }
        for balancer in &self.balancers {
            let addresses = &balancer.plan.addresses;
            zones.insert(addresses.control.to_string(), balancer.plan.zone);
            zones.insert(addresses.listen.to_string(), balancer.plan.zone);
        }
        let listed = self.balancers.iter().filter(|balancer| balancer.listed);
        let topology = FabricTopology {
            services: self
                .addresses
                .iter()
                .map(|entry| entry.address.to_string())
                .collect(),
            balancers: listed
                .map(|balancer| balancer.plan.addresses.listen.to_string())
                .collect(),
            zones,
            client_delay_us: self.deployment.client_delay.as_micros(),
            zone_delay_us: self.deployment.zone_delay.as_micros(),
        };
        http_client::put_json(self.fabric_admin, "/admin/topology", &topology).await?;
        Ok(())
    }

    /// Publishes a new service text with the current addresses. Returns its revision.
    pub(crate) async fn publish_text(&mut self) -> Result<u64, LocalError> {
        self.published_texts += 1;
        let text = service_text(&self.deployment, &self.addresses, self.published_texts);
        self.publish_raw_text(&text).await
    }

    /// Publishes the given text. Returns its revision.
    pub(crate) async fn publish_raw_text(&self, text: &str) -> Result<u64, LocalError> {
        let response = http_client::put_text(self.platform_address, "/admin/config", text).await?;
        let published: PublishedRevision = serde_json::from_slice(&response)?;
        Ok(published.revision)
    }

    /// Sets the platform's faults.
    pub(crate) async fn set_platform_fault(&self, fault: FaultSettings) -> Result<(), LocalError> {
        http_client::put_json(self.platform_address, "/admin/fault", &fault).await?;
        Ok(())
    }

    /// Sets the fabric's faults.
    pub(crate) async fn set_fabric_fault(&self, fault: Value) -> Result<(), LocalError> {
        http_client::put_json(self.fabric_admin, "/admin/fault", &fault).await?;
        Ok(())
    }
}
