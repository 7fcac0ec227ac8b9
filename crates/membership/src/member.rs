//! One process's part in the fleet: a state machine over messages and time.
//!
//! ```text
//! advance, accept_*, set_* --> FleetMember --> take_actions: Send, Pull, Platform, Publish
//! ```
//!
//! - `spread`: rounds of gossip heads.
//! - `pulling`: pulls where a head shows something newer.
//! - `reading`: whether this process reads the platform, and what its answers change.
//! - `announce`: agents that the list does not name yet.
//! - `liveness`: heartbeats, accusations, departures.
//! - `status`: what an operator is told.

mod announce;
mod liveness;
mod pulling;
mod reading;
mod spread;
mod status;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{
    AgentAddress, BalancerRecord, GateReport, InstanceState, Moment, PeerReport,
};
use lovagelatch_settings::ServiceEntry;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::action::{MemberAction, MemberNotice, MemberSettings};
use crate::arrival::ArrivalTracker;
use crate::budget::SendBudget;
use crate::config::ConfigKeeper;
use crate::delta::RowChange;
use crate::departure::DepartureTracker;
use crate::list::{InstanceDuty, ListKeeper, ListedInstance, ZoneId};
use crate::message::AccusedSubject;
use crate::neighbour::NeighbourWatch;
use crate::ring::ring_neighbours;
use crate::rumor::RumorQueue;
use crate::suspicion::AccusationTracker;
use crate::view::{FleetView, TargetStanding, ViewTarget};

use announce::AnnounceState;
use reading::ReadingState;
use spread::SpreadState;
use status::LagEntry;

pub use status::{FleetStatus, LaggingPeer};

/// How often [`FleetMember::advance`] is to be called.
pub const MEMBER_TICK: Duration = Duration::from_millis(100);

/// A gap between two calls of [`FleetMember::advance`] that counts as a pause of this process.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// In fleets below this size, every change is published at once.
const PUBLISH_AT_ONCE_ROWS: usize = 10_000;

/// Beyond, this many rows add a second between two views: 1.5 s at 175,000 instances.
const PUBLISH_ROWS_A_SECOND: usize = 120_000;

/// Changes from which on the view is compacted after them.
const COMPACT_CHANGES: usize = 1_000;

/// What a process holds of the fleet and its part in spreading it.
#[derive(Debug)]
pub struct FleetMember {
    settings: MemberSettings,
    zone: ZoneId,
    rng: SmallRng,
    budget: SendBudget,
    config: ConfigKeeper,
    list: ListKeeper,
    departures: DepartureTracker,
    arrivals: ArrivalTracker,
    announcing: AnnounceState,
    accusations: AccusationTracker,
    neighbours: NeighbourWatch,
    rumors: RumorQueue,
    spread: SpreadState,
    reading: ReadingState,
    /// Invariant: holds what `config`, `list`, `departures` and `accusations` say.
    view: FleetView,
    view_changed: bool,
    last_publish: Option<Moment>,
    report: GateReport,
    leaving: bool,
    serial: u32,
    next_heartbeat: Moment,
    last_advance: Moment,
    ready: bool,
    /// Invariant: what the view holds as suspected.
    suspected: BTreeSet<AccusedSubject>,
    /// Peers whose last head named a lower revision, and since when.
    lagging: BTreeMap<AgentAddress, LagEntry>,
    actions: Vec<MemberAction>,
}

impl FleetMember {
    /// A process that has just started and knows nothing.
    #[must_use]
    pub fn new(settings: MemberSettings, seed: u64, now: Moment) -> Self {
        Self {
            zone: ZoneId::new(&settings.zone),
            rng: SmallRng::seed_from_u64(seed),
            budget: SendBudget::new(settings.send_rate, settings.send_burst, now),
            config: ConfigKeeper::default(),
            list: ListKeeper::default(),
            departures: DepartureTracker::default(),
            arrivals: ArrivalTracker::default(),
            announcing: AnnounceState::default(),
            accusations: AccusationTracker::default(),
            neighbours: NeighbourWatch::default(),
            rumors: RumorQueue::default(),
            spread: SpreadState::new(now),
            reading: ReadingState::new(now),
            view: FleetView::default(),
            view_changed: false,
            last_publish: None,
            report: GateReport::default(),
            leaving: false,
            serial: 0,
            next_heartbeat: now,
            last_advance: now,
            ready: false,
            suspected: BTreeSet::new(),
            lagging: BTreeMap::new(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Lets time pass: call it every [`MEMBER_TICK`].
    pub fn advance(&mut self, now: Moment) {
        let gap = now.since(self.last_advance);
        self.last_advance = now;
        if gap >= PAUSE_LIMIT {
            self.resume(gap, now);
        }
        self.expire(now);
        self.advance_reading(now);
        self.advance_liveness(now);
        self.advance_spread(now);
        self.check_ready(now);
    }

    /// What is to be done since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<MemberAction> {
        if self.view_changed && self.may_publish() {
            self.view_changed = false;
            self.last_publish = Some(self.last_advance);
            let view = Arc::new(self.view.clone());
            self.actions.push(MemberAction::Publish(view));
        }
        std::mem::take(&mut self.actions)
    }

    /// Whether the last view was published long enough ago.
    ///
    /// At full size the fleet changes more than once a second, and whoever reads the view works
    /// out a routing table from the whole of it: changes that come close together share one.
    fn may_publish(&self) -> bool {
        let rows = self.list.rows().len();
        if rows < PUBLISH_AT_ONCE_ROWS {
            return true;
        }
        #[allow(clippy::cast_precision_loss)]
        let interval = Duration::from_secs_f64(rows as f64 / PUBLISH_ROWS_A_SECOND as f64);
        self.last_publish
            .is_none_or(|last| self.last_advance.since(last) >= interval)
    }

    /// What the process is.
    #[must_use]
    pub fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// The view as it is now.
    #[must_use]
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Whether enough is known to serve: the highest configuration of the platform and several
    /// peers, and a list. Once true it stays so, whatever fails later.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The neighbours' newest reports.
    #[must_use]
    pub fn peer_reports(&self, now: Moment) -> Vec<PeerReport> {
        let suspected = |agent| self.is_suspected(agent, now);
        let leaving = |agent| self.departures.is_leaving(agent);
        self.neighbours.reports(suspected, leaving, now)
    }

    /// Sets what heartbeats say of the own gate.
    pub fn set_report(&mut self, report: GateReport) {
        self.report = report;
    }

    /// Notes how an exchange with a peer ended.
    pub fn record_exchange(&mut self, agent: AgentAddress, succeeded: bool, now: Moment) {
        self.neighbours.note_exchange(agent, succeeded, now);
    }

    fn notice(&mut self, notice: MemberNotice) {
        self.actions.push(MemberAction::Notice(notice));
    }

    /// Rechecks everything after a pause of this process.
    ///
    /// What goes wrong: a process that was stopped wakes with an old view and old waits, takes
    /// every peer for silent and accuses them. It shows as a burst of suspicions from one
    /// accuser. Waits start anew here, and the view is asked for again at once.
    fn resume(&mut self, gap: Duration, now: Moment) {
        self.neighbours.forgive(now);
        self.ask_everybody_again(now);
        self.notice(MemberNotice::Paused(gap));
    }

    fn apply_config(&mut self, changes: &[RowChange<ServiceEntry>], now: Moment) {
        if changes.is_empty() && self.view.revision() == self.config.revision() {
            return;
        }
        self.view
            .set_text(self.config.revision(), self.config.text());
        self.view_changed = true;
        self.lagging.clear();
        self.notice(MemberNotice::ConfigTaken {
            revision: self.config.revision(),
            source: self.config.source(),
        });
        self.spread_soon(now);
    }

    fn apply_list(&mut self, changes: &[RowChange<ListedInstance>], now: Moment) {
        self.view.set_list_revision(self.list.revision());
        self.view_changed = true;
        let mut own_service = false;
        let mut balancers = false;
        for change in changes {
            for row in change.old.iter().chain(&change.new) {
                match row.duty {
                    InstanceDuty::Target { service, .. } => {
                        own_service |= Some(service) == self.settings.service;
                    }
                    InstanceDuty::Balancer => balancers = true,
                }
            }
            self.apply_row(change, now);
        }
        if changes.len() >= COMPACT_CHANGES {
            self.view.shrink();
        }
        if own_service {
            self.refresh_neighbours(now);
        }
        if balancers {
            self.refresh_balancers();
        }
        self.notice(MemberNotice::ListTaken(self.list.revision()));
    }

    fn apply_row(&mut self, change: &RowChange<ListedInstance>, now: Moment) {
        if let Some(old) = &change.old
            && let InstanceDuty::Target { id, service, .. } = old.duty
        {
            self.view.remove_target(service, id, old.control);
        }
        if let Some(new) = &change.new {
            self.end_arrival(new.control);
            self.show_row(new, now);
        }
    }

    /// Puts a target into the view.
    fn show_row(&mut self, row: &ListedInstance, now: Moment) {
        let InstanceDuty::Target { id, service, slots } = row.duty else {
            return;
        };
        let Some(zone) = self.list.zone(row.zone) else {
            return;
        };
        let target = ViewTarget {
            id,
            agent: row.control,
            operations: row.operations,
            zone: zone.clone(),
            slots,
            standing: self.standing_of(row, now),
        };
        self.view.put_target(service, target);
        self.view_changed = true;
    }

    fn refresh_balancers(&mut self) {
        let rows = self.list.rows().iter();
        let balancers = rows
            .filter(|row| row.duty == InstanceDuty::Balancer)
            .filter_map(|row| {
                Some(BalancerRecord {
                    control: row.control,
                    operations: row.operations,
                    zone: self.list.zone(row.zone)?.clone(),
                    state: row.state,
                })
            });
        let balancers = balancers.collect();
        self.spread.set_balancers(self.list.rows());
        self.view.set_balancers(balancers);
    }

    fn refresh_neighbours(&mut self, now: Moment) {
        let Some(own_service) = self.settings.service else {
            return;
        };
        let of_service = |row: &&ListedInstance| matches!(row.duty, InstanceDuty::Target { service, .. } if service == own_service);
        let listed = self.list.rows().iter().filter(of_service);
        let announced = self.arrivals.rows().filter(|row| of_service(&row));
        let agents = listed.copied().chain(announced).map(|row| row.control);
        let neighbours = ring_neighbours(self.settings.own, agents);
        let known = neighbours.into_iter().filter_map(|agent| {
            let listed = self.list.at(agent).next().copied();
            let zone = listed.or_else(|| self.arrivals.at(agent))?.zone;
            Some((agent, zone, self.list.zone(zone)?.clone()))
        });
        let known: Vec<_> = known.collect();
        self.neighbours.set_neighbours(known.into_iter(), now);
    }

    fn standing_of(&self, row: &ListedInstance, now: Moment) -> TargetStanding {
        if row.state == InstanceState::Leaving || self.departures.is_leaving(row.control) {
            return TargetStanding::Leaving;
        }
        let zone = AccusedSubject::Zone(row.zone);
        if self.accusations.is_suspected(zone, now) || self.is_suspected(row.control, now) {
            return TargetStanding::Suspected;
        }
        TargetStanding::Live
    }

    fn is_suspected(&self, agent: AgentAddress, now: Moment) -> bool {
        let subject = AccusedSubject::Agent(agent);
        self.accusations.is_suspected(subject, now)
    }

    /// Brings the view's standing of one address up to date.
    fn refresh_standing(&mut self, agent: AgentAddress, now: Moment) {
        let listed = self.list.at(agent).copied();
        let rows: Vec<ListedInstance> = listed.chain(self.arrivals.at(agent)).collect();
        for row in rows {
            self.refresh_row(&row, now);
        }
    }

    fn refresh_row(&mut self, row: &ListedInstance, now: Moment) {
        if let InstanceDuty::Target { id, service, .. } = row.duty {
            let standing = self.standing_of(row, now);
            self.view_changed |= self.view.set_standing(service, id, standing);
        }
    }
}
