//! Faults of the network, injected by the fabric.

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{FAULT_DURATION, FaultScript};
use crate::error::LocalError;

impl FaultScript {
    pub(super) async fn partition_zone(&self) -> Result<(), LocalError> {
        let zones = self.rig.lock().await.deployment.zones;
        let isolated = zones[0];
        let cut: Vec<[&str; 2]> = zones[1..]
            .iter()
            .flat_map(|other| [[isolated, *other], [*other, isolated]])
            .collect();
        self.set_fabric_fault(json!({"cut_zones": cut})).await?;
        self.print(&format!("{isolated} is cut off from the other zones"));
        sleep(FAULT_DURATION).await;
        self.set_fabric_fault(json!({})).await?;
        self.print(&format!("{isolated} is back"));
        Ok(())
    }

    pub(super) async fn set_fabric_fault(&self, fault: Value) -> Result<(), LocalError> {
        self.rig.lock().await.set_fabric_fault(fault).await
    }

    pub(super) async fn silent_flows(&self) -> Result<(), LocalError> {
        self.set_fabric_fault(json!({"silent_callers": true}))
            .await?;
        self.print("all open flows are silent from now; new ones work");
        Ok(())
    }

    pub(super) async fn lost_packets(&self) -> Result<(), LocalError> {
        let fault = json!({"drop": 0.05, "duplicate": 0.02, "reorder": 0.05});
        self.set_fabric_fault(fault).await?;
        self.print("5 % of packets are lost, 2 % come twice, 5 % out of order");
        sleep(FAULT_DURATION).await;
        self.set_fabric_fault(json!({})).await?;
        self.print("packets pass again");
        Ok(())
    }
}
