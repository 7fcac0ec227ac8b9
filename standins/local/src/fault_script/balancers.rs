//! Faults of balancers.

use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::{DETECTION_DELAY, FaultScript, PAUSE_DURATION, REPLACEMENT_INTERVAL};
use crate::error::LocalError;

impl FaultScript {
    /// Returns the index of a random balancer that receives packets.
    pub(super) async fn pick_balancer(&self) -> Option<usize> {
        let rig = self.rig.lock().await;
        let balancers = rig.balancers.iter().enumerate();
        let usable =
            balancers.filter(|(_, balancer)| balancer.listed && !balancer.process.exit_expected);
        usable.map(|(index, _)| index).choose(&mut rand::rng())
    }

    pub(super) async fn kill_balancer(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_balancer().await else {
            return Ok(());
        };
        let name = {
            let mut rig = self.rig.lock().await;
            let balancer = &mut rig.balancers[index];
            balancer.process.kill();
            balancer.plan.name.clone()
        };
        self.print(&format!("killed {name}"));
        sleep(DETECTION_DELAY).await;
        let mut rig = self.rig.lock().await;
        rig.balancers[index].listed = false;
        rig.publish_fleet().await?;
        self.print(&format!("{name} is off the list"));
        Ok(())
    }

    pub(super) async fn add_balancer(&self) -> Result<(), LocalError> {
        let name = self.rig.lock().await.add_balancer().await?;
        self.print(&format!("{name} joined"));
        Ok(())
    }

    pub(super) async fn pause_balancer(&self) -> Result<(), LocalError> {
        let Some(index) = self.pick_balancer().await else {
            return Ok(());
        };
        let name = self.rig.lock().await.balancers[index].plan.name.clone();
        self.signal_balancer(index, libc::SIGSTOP).await;
        self.print(&format!("paused {name}"));
        sleep(PAUSE_DURATION).await;
        self.signal_balancer(index, libc::SIGCONT).await;
        self.print(&format!("{name} goes on"));
        Ok(())
    }

    pub(super) async fn signal_balancer(&self, index: usize, signal: libc::c_int) {
        self.rig.lock().await.balancers[index]
            .process
            .signal(signal);
    }

    pub(super) async fn replace_balancers(&self) -> Result<(), LocalError> {
        let count = self.rig.lock().await.balancers.len();
        for index in 0..count {
            let mut rig = self.rig.lock().await;
            if rig.balancers[index].process.exit_expected {
                continue;
            }
            let new = rig.add_balancer().await?;
            rig.balancers[index].listed = false;
            rig.publish_fleet().await?;
            rig.balancers[index].process.terminate();
            let old = rig.balancers[index].plan.name.clone();
            drop(rig);
            self.print(&format!("{new} in place of {old}"));
            sleep(REPLACEMENT_INTERVAL).await;
        }
        Ok(())
    }
}
