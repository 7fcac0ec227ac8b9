//! Background tasks that refresh the keys and the routing table.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_fleet::FleetClient;
use lovagelatch_keys::{FleetKeys, read_key_file};
use lovagelatch_membership::FleetView;
use lovagelatch_routing::{AbsenceTracker, ViewChange};
use lovagelatch_telemetry::{Logger, info, warn};

use crate::forward::ForwardState;

/// Interval at which the view is polled. Instance changes within one interval are applied together,
/// since each update costs milliseconds in a large fleet.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the key file is checked for changes.
const KEY_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which bucket tables are built for services with new flows and dropped for others.
const BUCKET_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Memory limit for bucket tables: enough for 512 services of up to 64 targets, or 16 of a
/// thousand.
const BUCKET_BUDGET_BYTES: usize = 2 * 1024 * 1024;

/// Interval at which the gone agents are recomputed even if the view is unchanged, since an agent
/// becomes gone by the passing of time.
const ABSENCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Builds a new routing table whenever the view changes; never returns. An agent that has been off
/// the list for longer than twice `drain` counts as gone.
pub(crate) async fn refresh_table(fleet: FleetClient, state: Arc<ForwardState>, drain: Duration) {
    let mut updater = TableUpdater::new(drain);
    let mut revisions = fleet.revisions();
    let mut last_bucket_refresh = fleet.now();
    loop {
        updater.update(&fleet.view(), fleet.now(), &state);
        if fleet.now().since(last_bucket_refresh) >= BUCKET_REFRESH_INTERVAL {
            last_bucket_refresh = fleet.now();
            refresh_buckets(&state).await;
        }
        tokio::select! {
            () = tokio::time::sleep(VIEW_POLL_INTERVAL) => {}
            // A new configuration is applied immediately.
            Ok(()) = revisions.changed() => {}
        }
    }
}

/// Rebuilds bucket tables on a blocking thread, off the packet path. No other table can be stored
/// meanwhile, since the caller, which follows the view, waits for the result.
async fn refresh_buckets(state: &ForwardState) {
    let table = state.table.load_full();
    let refreshed =
        tokio::task::spawn_blocking(move || table.refresh_buckets(BUCKET_BUDGET_BYTES)).await;
    if let Ok(Some(table)) = refreshed {
        state.table.store(Arc::new(table));
    }
}

/// Updates the routing table when the view or the set of gone agents changes.
struct TableUpdater {
    view: Arc<FleetView>,
    absences: AbsenceTracker,
    gone: Vec<AgentAddress>,
    last_check: Moment,
}

impl TableUpdater {
    fn new(drain: Duration) -> Self {
        Self {
            view: Arc::default(),
            absences: AbsenceTracker::new(2 * drain),
            gone: Vec::new(),
            last_check: Moment::ZERO,
        }
    }

    fn update(&mut self, view: &Arc<FleetView>, now: Moment, state: &ForwardState) {
        let changed = !Arc::ptr_eq(view, &self.view);
        if !changed && now.since(self.last_check) < ABSENCE_CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let change = ViewChange::between(&self.view, view);
        self.absences.record(&self.view, view, &change, now);
        self.view = Arc::clone(view);
        let gone: Vec<AgentAddress> = self.absences.gone(now).collect();
        if changed || gone != self.gone {
            self.gone = gone;
            self.store(&change, state);
        }
    }

    fn store(&self, change: &ViewChange, state: &ForwardState) {
        let previous = state.table.load();
        let table = previous.with_change(&self.view, change);
        let table = table.with_gone(self.gone.iter().copied());
        state.table.store(Arc::new(table));
    }
}

/// Reloads the key file whenever it changes; never returns. If the file is invalid, the current
/// keys stay in use.
pub(crate) async fn reload_keys(file: PathBuf, keys: Arc<ArcSwap<FleetKeys>>, log: Logger) {
    let mut last_modified = modified(&file);
    loop {
        tokio::time::sleep(KEY_POLL_INTERVAL).await;
        let current = modified(&file);
        if current == last_modified {
            continue;
        }
        last_modified = current;
        match read_key_file(&file) {
            Ok(read) => {
                let generations: Vec<_> = read.generations().map(|g| g.to_string()).collect();
                info!(log, "keys in force"; "generations" => generations.join(" "));
                keys.store(Arc::new(read));
            }
            Err(error) => warn!(log, "key file refused"; "error" => error.to_string()),
        }
    }
}

fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file)
        .and_then(|metadata| metadata.modified())
        .ok()
}
