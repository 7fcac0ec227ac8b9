//! A member of the fleet: a state machine driven by messages and time.
//!
//! ```text
//! advance, accept_*, set_* --> FleetMember --> take_actions: Send, Pull, Platform, Publish
//! ```
//!
//! - `spread`: rounds of gossip heads.
//! - `pulling`: pulls from peers that hold something newer.
//! - `reading`: when this process reads the platform, and how answers are handled.
//! - `announce`: agents that are not listed yet.
//! - `liveness`: heartbeats, accusations, departures.
//! - `status`: status for operators.

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
use crate::config::ConfigTable;
use crate::delta::RowChange;
use crate::departure::DepartureTracker;
use crate::list::{InstanceRole, InstanceTable, ListedInstance, ZoneId};
use crate::message::AccusedSubject;
use crate::neighbour::NeighbourMonitor;
use crate::ring::ring_neighbours;
use crate::rumor::RumorQueue;
use crate::suspicion::AccusationTracker;
use crate::view::{FleetView, TargetStanding, ViewTarget};

use announce::AnnounceState;
use reading::ReadingState;
use spread::SpreadState;
use status::LagEntry;

pub use status::{FleetStatus, LaggingPeer};

/// Interval at which [`FleetMember::advance`] must be called.
pub const MEMBER_TICK: Duration = Duration::from_millis(100);

/// A gap of at least this length between two calls of [`FleetMember::advance`] means that this
/// process was paused.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Below this number of listed instances, every change is published immediately.
const THROTTLED_PUBLISH_MIN_ROWS: usize = 10_000;

/// Above it, the interval between two views grows by one second per this many instances: 1.5 s at
/// 175,000 instances.
const PUBLISH_ROWS_PER_SECOND: usize = 120_000;

/// Number of changes after which the view releases spare capacity.
const COMPACT_MIN_CHANGES: usize = 1_000;

/// Membership state of one process.
#[derive(Debug)]
pub struct FleetMember {
    settings: MemberSettings,
    zone: ZoneId,
    rng: SmallRng,
    budget: SendBudget,
    config: ConfigTable,
    list: InstanceTable,
    departures: DepartureTracker,
    arrivals: ArrivalTracker,
    announcing: AnnounceState,
    accusations: AccusationTracker,
    neighbours: NeighbourMonitor,
    rumors: RumorQueue,
    spread: SpreadState,
    reading: ReadingState,
    /// Invariant: reflects `config`, `list`, `departures` and `accusations`.
    view: FleetView,
    view_changed: bool,
    last_publish: Option<Moment>,
    report: GateReport,
    leaving: bool,
    serial: u32,
    next_heartbeat: Moment,
    last_advance: Moment,
    ready: bool,
    /// Invariant: the subjects that are suspected in the view.
    suspected: BTreeSet<AccusedSubject>,
    /// Peers with a lower configuration revision in their last head.
    lagging: BTreeMap<AgentAddress, LagEntry>,
    actions: Vec<MemberAction>,
}

impl FleetMember {
    /// Creates the member of a process that has just started.
    #[must_use]
    pub fn new(settings: MemberSettings, seed: u64, now: Moment) -> Self {
        Self {
            zone: ZoneId::new(&settings.zone),
            rng: SmallRng::seed_from_u64(seed),
            budget: SendBudget::new(settings.send_rate, settings.send_burst, now),
            config: ConfigTable::default(),
            list: InstanceTable::default(),
            departures: DepartureTracker::default(),
            arrivals: ArrivalTracker::default(),
            announcing: AnnounceState::default(),
            accusations: AccusationTracker::default(),
            neighbours: NeighbourMonitor::default(),
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

    /// Runs everything that is due at `now`. Must be called every [`MEMBER_TICK`].
    pub fn advance(&mut self, now: Moment) {
        let gap = now.since(self.last_advance);
        self.last_advance = now;
        if gap >= PAUSE_THRESHOLD {
            self.resync_after_pause(gap, now);
        }
        self.expire(now);
        self.advance_reading(now);
        self.advance_liveness(now);
        self.advance_spread(now);
        self.check_ready(now);
    }

    /// Takes the actions requested since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<MemberAction> {
        if self.view_changed && self.may_publish() {
            self.view_changed = false;
            self.last_publish = Some(self.last_advance);
            let view = Arc::new(self.view.clone());
            self.actions.push(MemberAction::Publish(view));
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the last view was published long enough ago.
    ///
    /// At full size the fleet changes more than once a second, and each reader of the view computes
    /// a routing table from the whole of it. Changes that are close together therefore share a
    /// view.
    fn may_publish(&self) -> bool {
        let rows = self.list.rows().len();
        if rows < THROTTLED_PUBLISH_MIN_ROWS {
            return true;
        }
        #[allow(clippy::cast_precision_loss)]
        let interval = Duration::from_secs_f64(rows as f64 / PUBLISH_ROWS_PER_SECOND as f64);
        self.last_publish
            .is_none_or(|last| self.last_advance.since(last) >= interval)
    }

    /// Returns the settings of the member.
    #[must_use]
    pub fn settings(&self) -> &MemberSettings {
        &self.settings
    }

    /// Returns the current view, whether or not it has been published.
    #[must_use]
    pub fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns whether this process knows enough to serve: a list, and the highest configuration of
    /// the platform and several peers. Once true, it stays true.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the latest reports of the neighbours.
    #[must_use]
    pub fn peer_reports(&self, now: Moment) -> Vec<PeerReport> {
        let suspected = |agent| self.is_suspected(agent, now);
        let leaving = |agent| self.departures.is_leaving(agent);
        self.neighbours.reports(suspected, leaving, now)
    }

    /// Sets the gate report that heartbeats carry.
    pub fn set_report(&mut self, report: GateReport) {
        self.report = report;
    }

    /// Records the result of an exchange with a peer.
    pub fn record_exchange(&mut self, agent: AgentAddress, succeeded: bool, now: Moment) {
        self.neighbours.record_exchange(agent, succeeded, now);
    }

    fn notify(&mut self, notice: MemberNotice) {
        self.actions.push(MemberAction::Notice(notice));
    }

    /// Resynchronizes after a pause of this process.
    ///
    /// Without this, a process that was stopped would resume with an old view and expired timers,
    /// consider every peer silent and accuse it: a burst of suspicions from one accuser. So the
    /// timers are restarted, and the tables are read and pulled again at once.
    fn resync_after_pause(&mut self, gap: Duration, now: Moment) {
        self.neighbours.reset_timers(now);
        self.restart_join(now);
        self.notify(MemberNotice::Paused(gap));
    }

    fn apply_config(&mut self, changes: &[RowChange<ServiceEntry>], now: Moment) {
        if changes.is_empty() && self.view.revision() == self.config.revision() {
            return;
        }
        self.view
            .set_text(self.config.revision(), self.config.text());
        self.view_changed = true;
        self.lagging.clear();
        self.notify(MemberNotice::ConfigApplied {
            revision: self.config.revision(),
            source: self.config.source(),
        });
        self.schedule_eager_rounds(now);
    }

    fn apply_list(&mut self, changes: &[RowChange<ListedInstance>], now: Moment) {
        self.view.set_list_revision(self.list.revision());
        self.view_changed = true;
        let mut own_service = false;
        let mut balancers = false;
        for change in changes {
            for row in change.old.iter().chain(&change.new) {
                match row.role {
                    InstanceRole::Target { service, .. } => {
                        own_service |= Some(service) == self.settings.service;
                    }
                    InstanceRole::Balancer => balancers = true,
                }
            }
            self.apply_row(change, now);
        }
        if changes.len() >= COMPACT_MIN_CHANGES {
            self.view.shrink();
        }
        if own_service {
            self.refresh_neighbours(now);
        }
        if balancers {
            self.refresh_balancers();
        }
        self.notify(MemberNotice::ListApplied(self.list.revision()));
    }

    fn apply_row(&mut self, change: &RowChange<ListedInstance>, now: Moment) {
        if let Some(old) = &change.old
            && let InstanceRole::Target { id, service, .. } = old.role
        {
            self.view.remove_target(service, id, old.control);
        }
        if let Some(new) = &change.new {
            self.remove_arrival(new.control);
            self.upsert_target(new, now);
        }
    }

    /// Inserts or replaces a target in the view.
    fn upsert_target(&mut self, row: &ListedInstance, now: Moment) {
        let InstanceRole::Target { id, service, slots } = row.role else {
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
            .filter(|row| row.role == InstanceRole::Balancer)
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
        let of_service = |row: &&ListedInstance| matches!(row.role, InstanceRole::Target { service, .. } if service == own_service);
        let listed = self.list.rows().iter().filter(of_service);
        let announced = self.arrivals.rows().filter(|row| of_service(&row));
        let agents = listed.copied().chain(announced).map(|row| row.control);
        let neighbours = ring_neighbours(self.settings.control, agents);
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

    /// Updates the standing of the targets at one address in the view.
    fn refresh_standing(&mut self, agent: AgentAddress, now: Moment) {
        let listed = self.list.at(agent).copied();
        let rows: Vec<ListedInstance> = listed.chain(self.arrivals.at(agent)).collect();
        for row in rows {
            self.refresh_row(&row, now);
        }
    }

    fn refresh_row(&mut self, row: &ListedInstance, now: Moment) {
        if let InstanceRole::Target { id, service, .. } = row.role {
            let standing = self.standing_of(row, now);
            self.view_changed |= self.view.set_standing(service, id, standing);
        }
    }
}
