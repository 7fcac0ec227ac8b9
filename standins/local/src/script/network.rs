//! Faults of the fabric.

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{FAULT_TIME, FaultScript};
use crate::error::LocalError;

impl FaultScript {
    pub(super) async fn partition_zone(&self) -> Result<(), LocalError> {
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

    pub(super) async fn set_fabric_fault(&self, fault: Value) -> Result<(), LocalError> {
        self.rig.lock().await.fault_fabric(fault).await
    }

    pub(super) async fn silent_flows(&self) -> Result<(), LocalError> {
        self.set_fabric_fault(json!({"silent_callers": true}))
            .await?;
        self.say("all open flows are silent from now; new ones work");
        Ok(())
    }

    pub(super) async fn lost_packets(&self) -> Result<(), LocalError> {
        let fault = json!({"drop": 0.05, "duplicate": 0.02, "reorder": 0.05});
        self.set_fabric_fault(fault).await?;
        self.say("5 % of packets are lost, 2 % come twice, 5 % out of order");
        sleep(FAULT_TIME).await;
        self.set_fabric_fault(json!({})).await?;
        self.say("packets pass again");
        Ok(())
    }
}
