//! Reports to operators which zones this balancer treats as evacuated.
//!
//! Without it, an operator who evacuates a zone could not see whether this balancer has applied the
//! change, since when and from which store revision, and a misspelt zone name would look applied.

use lovagelatch_catalog::{Catalog, EvacuatedZone};
use lovagelatch_domain::{Moment, StorePosition};
use lovagelatch_telemetry::{DecisionKind, Histogram, Logger, info, warn};
use serde_json::{Value, json};

use super::millis;

/// An evacuated zone and the time since when it has been in force here.
#[derive(Clone, Debug)]
struct TrackedZone {
    zone: EvacuatedZone,
    since: Moment,
}

/// Tracks the evacuated zones in force and logs each change.
#[derive(Debug)]
pub(crate) struct ZoneTracker {
    revision: StorePosition,
    tracked: Vec<TrackedZone>,
    /// Time from reading a change from the store until it is in force here.
    delay: Histogram<f64>,
}

impl ZoneTracker {
    pub(crate) fn new(delay: Histogram<f64>) -> Self {
        Self {
            revision: StorePosition::default(),
            tracked: Vec::new(),
            delay,
        }
    }

    /// Records the zones of a catalog that is now in force. `read_at` is the time at which the
    /// store was asked for them.
    pub(crate) fn record(&mut self, catalog: &Catalog, read_at: Moment, now: Moment, log: &Logger) {
        if catalog.zones_revision == self.revision {
            return;
        }
        let is_first = !self.revision.is_known();
        self.revision = catalog.zones_revision;
        let restored = self
            .tracked
            .extract_if(.., |tracked| !catalog.evacuated.contains(&tracked.zone));
        let mut changes = 0;
        for tracked in restored {
            changes += 1;
            info!(log, "zone takes new flows again";
                "decision" => DecisionKind::ZoneChanged,
                "zone" => tracked.zone.0.as_str().to_owned(),
                "revision" => catalog.zones_revision.revision,
                "evacuated_ms" => millis(now.since(tracked.since)));
        }
        for zone in catalog.evacuated.iter() {
            if self.tracked.iter().any(|tracked| tracked.zone == *zone) {
                continue;
            }
            changes += 1;
            self.add(zone, catalog, read_at, now, log);
        }
        // Skip the state found at startup: it has long been in force elsewhere.
        if changes > 0 && !is_first {
            self.delay.record(now.since(read_at).as_secs_f64(), &[]);
        }
    }

    fn add(
        &mut self,
        zone: &EvacuatedZone,
        catalog: &Catalog,
        read_at: Moment,
        now: Moment,
        log: &Logger,
    ) {
        let targets = catalog.targets.iter().filter_map(|row| row.target());
        let targets = targets.filter(|target| target.zone == zone.0).count();
        info!(log, "zone evacuated: its targets get no new flows";
            "decision" => DecisionKind::ZoneChanged,
            "zone" => zone.0.as_str().to_owned(),
            "revision" => catalog.zones_revision.revision,
            "targets" => targets,
            "age_ms" => millis(now.since(read_at)));
        if targets == 0 {
            warn!(log, "no target is in the evacuated zone: is its name right?";
                "zone" => zone.0.as_str().to_owned());
        }
        self.tracked.push(TrackedZone {
            zone: zone.clone(),
            since: now,
        });
    }

    /// Returns the evacuated zones as JSON for the status page.
    pub(crate) fn status(&self, now: Moment) -> Value {
        let zones = self.tracked.iter().map(|tracked| {
            let since = millis(now.since(tracked.since));
            json!({ "zone": tracked.zone.0.as_str(), "evacuated_ms": since })
        });
        json!(zones.collect::<Vec<_>>())
    }

    /// Returns the number of evacuated zones.
    pub(crate) fn count(&self) -> usize {
        self.tracked.len()
    }
}
