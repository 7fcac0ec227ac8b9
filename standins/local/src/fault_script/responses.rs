//! Faults of the responses and reports of backend servers.

use lovagelatch_backend::FaultChange;
use tokio::time::sleep;

use super::{FAULT_DURATION, FaultScript};
use crate::error::LocalError;
use crate::http_client;

/// Lag of a delayed health endpoint, in milliseconds.
const HEALTH_LAG_MS: u64 = 2_000;

impl FaultScript {
    pub(super) async fn set_backend_faults(&self, change: FaultChange) -> Result<(), LocalError> {
        let backends: Vec<_> = {
            let rig = self.rig.lock().await;
            let running = rig
                .targets
                .iter()
                .filter(|target| !target.backend.exit_expected);
            running.map(|target| target.backend_address).collect()
        };
        for backend in backends {
            http_client::put_json(backend, "/admin/fault", &change).await?;
        }
        Ok(())
    }

    pub(super) async fn crossed_answers(&self) -> Result<(), LocalError> {
        let change = |on: bool| FaultChange {
            crossed_answers: Some(on),
            ..FaultChange::default()
        };
        self.set_backend_faults(change(true)).await?;
        self.print("backend servers cross, delay and cut some answers");
        sleep(FAULT_DURATION).await;
        self.set_backend_faults(change(false)).await?;
        self.print("backend servers answer properly again");
        Ok(())
    }

    pub(super) async fn load_misleads(&self) -> Result<(), LocalError> {
        let change = |on: bool| FaultChange {
            load_misleads: Some(on),
            health_lag_ms: Some(if on { HEALTH_LAG_MS } else { 0 }),
            ..FaultChange::default()
        };
        self.set_backend_faults(change(true)).await?;
        self.print("health and load of all backend servers mislead");
        sleep(FAULT_DURATION).await;
        self.set_backend_faults(change(false)).await?;
        self.print("health and load are right again");
        Ok(())
    }
}
