//! Which zones a balancer takes to be evacuated, told to operators.
//!
//! What goes wrong without it: an operator who evacuates a zone cannot see whether this balancer obeys, since
//! when, and by which word of the store; and a misspelt zone looks obeyed.

use lovagelatch_catalog::{Catalog, EvacuatedZone};
use lovagelatch_domain::Moment;
use lovagelatch_telemetry::{DecisionKind, Histogram, Logger, info, warn};
use serde_json::{Value, json};

use super::millis;

/// A zone and since when it has been evacuated.
#[derive(Clone, Debug)]
struct HeldZone {
    zone: EvacuatedZone,
    since: Moment,
}

/// Writes a line for each change, and remembers what is in force.
#[derive(Debug)]
pub(crate) struct ZoneWatch {
    revision: u64,
    held: Vec<HeldZone>,
    /// From the moment at which a change was read from the store until it was in force here.
    delay: Histogram<f64>,
}

impl ZoneWatch {
    pub(crate) fn new(delay: Histogram<f64>) -> Self {
        Self {
            revision: 0,
            held: Vec::new(),
            delay,
        }
    }

    /// Notes the zones of a catalog that is in force from now on; `told` is when the store was asked for them.
    pub(crate) fn note(&mut self, catalog: &Catalog, told: Moment, now: Moment, log: &Logger) {
        if catalog.zones_revision == self.revision {
            return;
        }
        let first = self.revision == 0;
        self.revision = catalog.zones_revision;
        let restored = self
            .held
            .extract_if(.., |held| !catalog.evacuated.contains(&held.zone));
        let mut changes = 0;
        for held in restored {
            changes += 1;
            info!(log, "zone takes new flows again";
                "decision" => DecisionKind::ZoneChanged,
                "zone" => held.zone.0.as_str().to_owned(),
                "revision" => catalog.zones_revision,
                "evacuated_ms" => millis(now.since(held.since)));
        }
        for zone in catalog.evacuated.iter() {
            if self.held.iter().any(|held| held.zone == *zone) {
                continue;
            }
            changes += 1;
            self.begin(zone, catalog, told, now, log);
        }
        // What a process finds at its start has been in force elsewhere for long.
        if changes > 0 && !first {
            self.delay.record(now.since(told).as_secs_f64(), &[]);
        }
    }

    fn begin(
        &mut self,
        zone: &EvacuatedZone,
        catalog: &Catalog,
        told: Moment,
        now: Moment,
        log: &Logger,
    ) {
        let targets = catalog.targets.iter().filter_map(|row| row.target());
        let targets = targets.filter(|target| target.zone == zone.0).count();
        info!(log, "zone evacuated: its targets get no new flows";
            "decision" => DecisionKind::ZoneChanged,
            "zone" => zone.0.as_str().to_owned(),
            "revision" => catalog.zones_revision,
            "targets" => targets,
            "age_ms" => millis(now.since(told)));
        if targets == 0 {
            warn!(log, "no target is in the evacuated zone: is its name right?";
                "zone" => zone.0.as_str().to_owned());
        }
        self.held.push(HeldZone {
            zone: zone.clone(),
            since: now,
        });
    }

    /// The evacuated zones, for operators.
    pub(crate) fn status(&self, now: Moment) -> Value {
        let zones = self.held.iter().map(|held| {
            let since = millis(now.since(held.since));
            json!({ "zone": held.zone.0.as_str(), "evacuated_ms": since })
        });
        json!(zones.collect::<Vec<_>>())
    }

    /// How many zones are evacuated.
    pub(crate) fn count(&self) -> usize {
        self.held.len()
    }
}
