//! Keeping keys and routing table new while packets flow.

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

/// How often the view is looked at. Changes of instances that come together are followed as one: in a large
/// fleet each costs milliseconds.
const VIEW_PERIOD: Duration = Duration::from_millis(200);

/// How often the key file is looked at.
const KEY_PERIOD: Duration = Duration::from_secs(1);

/// How often rows of buckets are made for services that get new flows, and given up for others.
const TEND_PERIOD: Duration = Duration::from_secs(1);

/// Memory for rows of buckets, in bytes: 512 services of up to 64 targets, or 16 of a thousand.
const ROW_BUDGET_BYTES: usize = 2 * 1024 * 1024;

/// How often the agents that are gone are worked out again, since they become so by time alone.
const ABSENCE_PERIOD: Duration = Duration::from_secs(1);

/// Makes a new routing table whenever the view changes, for ever. An agent that is off the list
/// for longer than twice `drain` is taken to be gone.
pub(crate) async fn keep_table(fleet: FleetClient, state: Arc<ForwardState>, drain: Duration) {
    let mut keeper = TableKeeper::new(drain);
    let mut revisions = fleet.revisions();
    let mut tended = fleet.now();
    loop {
        keeper.step(&fleet.view(), fleet.now(), &state);
        if fleet.now().since(tended) >= TEND_PERIOD {
            tended = fleet.now();
            tend_table(&state).await;
        }
        tokio::select! {
            () = tokio::time::sleep(VIEW_PERIOD) => {}
            // A configuration is put into force at once.
            Ok(()) = revisions.changed() => {}
        }
    }
}

/// Makes rows of buckets beside the packet path. Nobody else stores a table meanwhile: whoever
/// follows the view waits for this.
async fn tend_table(state: &ForwardState) {
    let table = state.table.load_full();
    let tended = tokio::task::spawn_blocking(move || table.refresh_buckets(ROW_BUDGET_BYTES)).await;
    if let Ok(Some(table)) = tended {
        state.table.store(Arc::new(table));
    }
}

/// Follows the view.
struct TableKeeper {
    held: Arc<FleetView>,
    absences: AbsenceTracker,
    gone: Vec<AgentAddress>,
    looked: Moment,
}

impl TableKeeper {
    fn new(drain: Duration) -> Self {
        Self {
            held: Arc::default(),
            absences: AbsenceTracker::new(2 * drain),
            gone: Vec::new(),
            looked: Moment::ZERO,
        }
    }

    fn step(&mut self, view: &Arc<FleetView>, now: Moment, state: &ForwardState) {
        let changed = !Arc::ptr_eq(view, &self.held);
        if !changed && now.since(self.looked) < ABSENCE_PERIOD {
            return;
        }
        self.looked = now;
        let change = ViewChange::between(&self.held, view);
        self.absences.record(&self.held, view, &change, now);
        self.held = Arc::clone(view);
        let gone: Vec<AgentAddress> = self.absences.gone(now).collect();
        if changed || gone != self.gone {
            self.gone = gone;
            self.store(&change, state);
        }
    }

    fn store(&self, change: &ViewChange, state: &ForwardState) {
        let earlier = state.table.load();
        let table = earlier.with_change(&self.held, change);
        let table = table.with_gone(self.gone.iter().copied());
        state.table.store(Arc::new(table));
    }
}

/// Reads the key file again whenever it changes, for ever. A file that cannot be used leaves
/// the keys as they are.
pub(crate) async fn keep_keys(file: PathBuf, keys: Arc<ArcSwap<FleetKeys>>, log: Logger) {
    let mut seen = modified(&file);
    loop {
        tokio::time::sleep(KEY_PERIOD).await;
        let now = modified(&file);
        if now == seen {
            continue;
        }
        seen = now;
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
