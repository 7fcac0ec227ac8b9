//! Faults of balancers.

use rand::seq::IteratorRandom;
use tokio::time::sleep;

use super::{FaultScript, NOTICE_TIME, PAUSE_TIME, STEP_TIME};
use crate::error::LocalError;

impl FaultScript {
    /// The position of a balancer that packets go to.
    pub(super) async fn pick_balancer(&self) -> Option<usize> {
        let rig = self.rig.lock().await;
        let balancers = rig.balancers.iter().enumerate();
        let usable = balancers.filter(|(_, one)| one.listed && !one.process.may_end);
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
        self.say(&format!("killed {name}"));
        sleep(NOTICE_TIME).await;
        let mut rig = self.rig.lock().await;
        rig.balancers[index].listed = false;
        rig.publish_fleet().await?;
        self.say(&format!("{name} is off the list"));
        Ok(())
    }

    pub(super) async fn add_balancer(&self) -> Result<(), LocalError> {
        let name = self.rig.lock().await.add_balancer().await?;
        self.say(&format!("{name} joined"));
        Ok(())
    }

    pub(super) async fn pause_balancer(&self) -> Result<(), LocalError> {
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

    pub(super) async fn signal_balancer(&self, index: usize, signal: libc::c_int) {
        self.rig.lock().await.balancers[index]
            .process
            .signal(signal);
    }

    pub(super) async fn replace_balancers(&self) -> Result<(), LocalError> {
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
}
