//! What a balancer knows about the load and health of each target.

mod score;
mod service;

use std::collections::{HashMap, HashSet};
use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_catalog::{AgentStop, RESTART_GRACE, STOP_REPEAT_WINDOW};
use lovagelatch_domain::{AgentAddress, Moment, ServiceId, StorePosition};

use crate::frame::LoadReport;
use crate::ring::FlowTarget;

pub(crate) use self::score::{excess_work_cost, score_target};
use self::service::{ServiceLoads, ServiceMean};

/// An agent that was silent for this long after an offer is suspected. Agents report every 250 ms
/// to balancers that send to them, so two reports must have been lost as well.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a suspected target is skipped before it gets one more offer; doubles with each
/// offer that it leaves unanswered, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Upper bound of the backoff that starts at [`INITIAL_BACKOFF`].
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How long after a frame an agent that was not heard is probed. Most are heard earlier: each new
/// flow triggers an update, and reports are sent unsolicited.
const PROBE_DELAY: Duration = Duration::from_millis(200);

/// Time between two probes of an agent.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Unanswered probes after which an agent counts as silent: two datagrams are not lost by chance,
/// and the answer to each had fifty times a normal round trip.
const MIN_UNANSWERED_PROBES: u8 = 2;

/// Time between two probes of an unconfirmed agent that counts as silent.
const UNCONFIRMED_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on probes of unconfirmed agents per [`PROBE_INTERVAL`]: any number of entries may name
/// addresses without an agent, and all messages of a balancer beside packets may take 2 KB/s.
const MAX_UNCONFIRMED_PROBES: usize = 6;

/// How long an unconfirmed agent may be silent if there was none at its address before: as long as
/// one whose target the store no longer lists.
const VACANCY_RECHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Limit on remembered vacant addresses.
const MAX_VACANT_ADDRESSES: usize = 1_024;

/// A balancer that has heard no agent for this long considers itself isolated: fifty normal round
/// trips, which include two probes of each agent.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum number of silent agents for a balancer to consider itself isolated. A single one may be
/// dead; three at once are not, unless their machines fail together.
const MIN_ISOLATION_AGENTS: usize = 3;

/// How long an agent's report of the room of its cold target is valid: agents report every 250 ms,
/// to eight balancers in turn.
const ROOM_TTL: Duration = Duration::from_secs(1);

/// How long an agent's report that its target belongs to another service outweighs the store's
/// entry. The platform reuses an address no sooner than 2 s after its target's end, so the report
/// of a former agent never excludes the target that follows.
const SERVICE_REPORT_TTL: Duration = Duration::from_secs(2);

/// What is known about one target and its agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// The agent's last report.
    pub report: LoadReport,
    /// When that report arrived; `Moment::ZERO` before the first.
    pub last_heard: Moment,
    /// Flows offered to the target since that report.
    pub offers_since_report: u16,
    /// Consecutive offers without an answer.
    pub unanswered_offers: u8,
    /// Until when the target is skipped for new flows.
    pub avoid_until: Moment,
    /// When the first frame was sent to the agent since it was last heard.
    pub awaiting_since: Option<Moment>,
    /// Probes sent to the agent since it was last heard.
    pub probes: u8,
    /// When the last of these probes was sent.
    pub last_probed: Moment,
    /// Whether the agent was queried for a target in a service that the configuration does not
    /// name, and never heard: the entry may belong to another writer, and there may be no agent.
    pub unconfirmed: bool,
}

impl TargetLoad {
    /// Creates the state after a report, with nothing sent to the target since.
    fn new(report: LoadReport, last_heard: Moment) -> Self {
        Self {
            report,
            last_heard,
            offers_since_report: 0,
            unanswered_offers: 0,
            avoid_until: Moment::ZERO,
            awaiting_since: None,
            probes: 0,
            last_probed: Moment::ZERO,
            unconfirmed: false,
        }
    }

    /// Returns whether the target should be skipped for new flows at the moment.
    fn is_suspected(&self, now: Moment) -> bool {
        let report = &self.report;
        now < self.avoid_until || !report.responsive || report.failing || report.leaving
    }

    /// Returns whether a cold target has room for one more flow according to its last report and
    /// the offers since; always true where no limit applies.
    fn has_room(&self, now: Moment) -> bool {
        let fresh = now.since(self.last_heard) < ROOM_TTL;
        let room = self.report.room.filter(|_| fresh);
        room.is_none_or(|room| room > self.offers_since_report)
    }

    /// Returns whether the target is among the first choices: it is not suspected, has room if it
    /// is cold, and holds fewer than `max_flows` flows according to its last report and the offers
    /// since.
    pub(crate) fn is_first_choice(&self, max_flows: Option<NonZeroU32>, now: Moment) -> bool {
        let flows = self.report.flows;
        let flows = flows.saturating_add(self.offers_since_report.into());
        let is_full = max_flows.is_some_and(|max_flows| flows >= max_flows.get());
        !is_full && self.has_room(now) && !self.is_suspected(now)
    }

    /// Returns whether the agent recently reported that its target belongs to another service; see
    /// [`LoadTable::is_reassigned`].
    pub(crate) fn is_reassigned(&self, target: &FlowTarget, now: Moment) -> bool {
        self.report.service != target.service
            && self.last_heard > target.standing_since
            && now.since(self.last_heard) < SERVICE_REPORT_TTL
    }

    /// Returns whether the agent reports its zone as evacuated, at a store revision later than
    /// `revision`.
    pub(crate) fn knows_evacuated(&self, revision: StorePosition) -> bool {
        self.report.evacuated && self.report.zones_revision > revision
    }

    /// Returns whether the agent was sent frames for `timeout`, including probes, and was not heard
    /// since.
    fn is_unheard(&self, timeout: Duration, now: Moment) -> bool {
        let timed_out = self
            .awaiting_since
            .is_some_and(|at| now.since(at) >= timeout);
        timed_out && self.probes >= MIN_UNANSWERED_PROBES
    }

    /// Returns whether the agent should be probed now.
    fn is_probe_due(&self, now: Moment) -> bool {
        let interval = if self.unconfirmed && self.probes >= MIN_UNANSWERED_PROBES {
            UNCONFIRMED_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        let unheard = self
            .awaiting_since
            .is_some_and(|since| now.since(since) >= PROBE_DELAY);
        unheard && now.since(self.last_probed) >= interval
    }

    fn record_probe(&mut self, now: Moment) {
        self.last_probed = now;
        self.probes = self.probes.saturating_add(1);
    }
}

/// An agent's announcement that it is stopping. Valid until the agent is heard again, or for
/// [`RESTART_GRACE`].
#[derive(Clone, Copy, Debug)]
struct StopNotice {
    at: Moment,
    /// Whether the agent itself notified this balancer.
    direct: bool,
    /// Whether the stop was returned by [`LoadTable::stops_to_relay`].
    relayed: bool,
}

impl StopNotice {
    /// Creates the notice of an announcement by the agent itself, after `former`.
    fn direct(former: Option<&Self>, now: Moment) -> Self {
        let is_repeated = |former: &&Self| now.since(former.at) <= STOP_REPEAT_WINDOW;
        Self {
            at: now,
            direct: true,
            relayed: former
                .filter(is_repeated)
                .is_some_and(|former| former.relayed),
        }
    }
}

/// The loads of all targets that this balancer has sent frames to or heard from.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: HashMap<AgentAddress, TargetLoad>,
    stops: HashMap<AgentAddress, StopNotice>,
    services: ServiceLoads,
    /// Every stop of an agent since this moment is known.
    stops_known_since: Moment,
    /// Addresses where no agent was found, until one is heard there.
    vacant: HashSet<AgentAddress>,
    /// When unconfirmed agents were last probed.
    unconfirmed_probed_at: Moment,
}

impl LoadTable {
    /// Sets the moment since which every stop of an agent is known.
    pub fn set_stops_known_since(&mut self, since: Moment) {
        self.stops_known_since = since;
    }

    /// Returns what is known about the target of `agent`.
    #[must_use]
    pub fn load(&self, agent: AgentAddress) -> Option<&TargetLoad> {
        self.loads.get(&agent)
    }

    /// Records a report, and with it whether its agent is stopping.
    pub fn record_report(&mut self, report: &LoadReport, now: Moment) {
        let former = self
            .loads
            .insert(report.agent, TargetLoad::new(*report, now));
        let former = former.as_ref().map(|load| &load.report);
        self.services.replace(former, Some(report));
        self.vacant.remove(&report.agent);
        if report.leaving {
            let notice = StopNotice::direct(self.stops.get(&report.agent), now);
            self.stops.insert(report.agent, notice);
        } else {
            self.stops.remove(&report.agent);
        }
    }

    /// Records a stop of an agent that another balancer was notified of. It only explains the
    /// agent's silence; whether the agent takes new flows is determined by its own reports.
    pub fn record_stop(&mut self, stop: &AgentStop, now: Moment) {
        let at = now - stop.age;
        let is_back = self
            .loads
            .get(&stop.agent)
            .is_some_and(|load| load.last_heard >= at);
        if !is_back {
            let notice = StopNotice {
                at,
                direct: false,
                relayed: false,
            };
            self.stops.insert(stop.agent, notice);
        }
    }

    /// Returns the current stops that agents announced to this balancer directly.
    #[must_use]
    pub fn direct_stops(&self, now: Moment) -> Vec<AgentStop> {
        let direct = self.stops.iter().filter(|(_, notice)| notice.direct);
        let stops = direct.map(|(&agent, notice)| AgentStop {
            agent,
            age: now.since(notice.at),
        });
        stops.filter(|stop| stop.age < RESTART_GRACE).collect()
    }

    /// Returns the stops that agents announced to this balancer directly, which the caller relays to
    /// the other balancers.
    pub fn stops_to_relay(&mut self, now: Moment) -> Vec<AgentStop> {
        let stops = self.direct_stops(now);
        for stop in &stops {
            if let Some(notice) = self.stops.get_mut(&stop.agent) {
                notice.relayed = true;
            }
        }
        stops
    }

    /// Returns whether the stop that an agent announces to this balancer was relayed.
    #[must_use]
    pub fn is_stop_relayed(&self, agent: AgentAddress) -> bool {
        let notice = self.stops.get(&agent);
        notice.is_some_and(|notice| notice.relayed)
    }

    /// Returns whether an agent may have announced a stop before this balancer could know of it.
    fn may_have_stopped(&self, load: &TargetLoad, now: Moment) -> bool {
        load.last_heard == Moment::ZERO && now.since(self.stops_known_since) < RESTART_GRACE
    }

    /// Returns whether an agent was sent frames for `timeout`, including probes, and was not heard,
    /// while others were, and is not known to be restarting.
    fn is_unreachable(&self, agent: AgentAddress, timeout: Duration, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        load.is_some_and(|load| load.is_unheard(timeout, now))
            && !self.is_restarting(agent, now)
            && self.heard_any_agent(timeout, now)
    }

    /// Returns whether an agent announced a stop, and its successor may still be starting.
    fn is_restarting(&self, agent: AgentAddress, now: Moment) -> bool {
        let notice = self.stops.get(&agent);
        notice.is_some_and(|notice| now.since(notice.at) < RESTART_GRACE)
    }

    /// Records that a frame was sent to an agent.
    pub fn record_sent(&mut self, agent: AgentAddress, service: ServiceId, now: Moment) {
        let load = self.entry(agent, service);
        load.awaiting_since.get_or_insert(now);
    }

    /// Records that an agent is queried for a target in a service that the configuration does not
    /// name.
    pub fn record_unconfirmed(&mut self, agent: AgentAddress, service: ServiceId) {
        let load = self.entry(agent, service);
        load.unconfirmed |= load.last_heard == Moment::ZERO;
    }

    /// Returns whether there is no agent at an address that only entries outside the configuration
    /// name: it was queried for as long as an agent may take to restart, and never heard, while
    /// others were. After that, a shorter silence is enough.
    pub fn is_vacant(&mut self, agent: AgentAddress, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        if !load.is_some_and(|load| load.unconfirmed) {
            return false;
        }
        let timeout = if self.vacant.contains(&agent) {
            VACANCY_RECHECK_TIMEOUT
        } else {
            RESTART_GRACE
        };
        let is_vacant = self.is_unreachable(agent, timeout, now);
        if is_vacant && self.vacant.len() < MAX_VACANT_ADDRESSES {
            self.vacant.insert(agent);
        }
        is_vacant
    }

    /// Returns the agents to probe now, sorted: they were sent frames and were not heard since.
    pub fn due_probes(&mut self, now: Moment) -> Vec<AgentAddress> {
        let mut due = Vec::new();
        let mut unconfirmed = Vec::new();
        for (&agent, load) in &mut self.loads {
            if !load.is_probe_due(now) {
                continue;
            }
            if load.unconfirmed {
                unconfirmed.push((load.last_probed, agent));
            } else {
                load.record_probe(now);
                due.push(agent);
            }
        }
        due.extend(self.probe_unconfirmed(unconfirmed, now));
        due.sort_unstable();
        due
    }

    /// Selects unconfirmed agents to probe now of those that are due, given with the time of their
    /// last probes: those that were probed longest ago.
    fn probe_unconfirmed(
        &mut self,
        mut due: Vec<(Moment, AgentAddress)>,
        now: Moment,
    ) -> impl Iterator<Item = AgentAddress> {
        if due.is_empty() || now.since(self.unconfirmed_probed_at) < PROBE_INTERVAL {
            due.clear();
        } else {
            self.unconfirmed_probed_at = now;
        }
        due.sort_unstable();
        due.truncate(MAX_UNCONFIRMED_PROBES);
        for (_, agent) in &due {
            if let Some(load) = self.loads.get_mut(agent) {
                load.record_probe(now);
            }
        }
        due.into_iter().map(|(_, agent)| agent)
    }

    /// Returns the agents that were sent frames for `timeout` and at least two probes and were not
    /// heard, although others were: if no agent is heard, the fault is on this balancer's side.
    /// Excludes agents that announced a stop, which will be restarted beside a live target.
    #[must_use]
    pub fn silent_agents(&self, timeout: Duration, now: Moment) -> Vec<AgentAddress> {
        if !self.heard_any_agent(timeout, now) {
            return Vec::new();
        }
        let unheard = self
            .loads
            .iter()
            .filter(|(_, load)| load.is_unheard(timeout, now));
        let silent = unheard.filter(|(agent, load)| {
            !self.is_restarting(**agent, now) && !self.may_have_stopped(load, now)
        });
        silent.map(|(&agent, _)| agent).collect()
    }

    /// Returns whether an agent has announced a stop, reported that its target does not answer, or
    /// been silent for `timeout` while others were heard. If the store no longer lists the target
    /// either, it is gone.
    #[must_use]
    pub fn is_gone(&self, agent: AgentAddress, timeout: Duration, now: Moment) -> bool {
        self.is_stopped(agent, now) || self.is_unreachable(agent, timeout, now)
    }

    /// Returns whether an agent was sent frames for `timeout`, including probes, and was not heard,
    /// while others were, and did not announce a stop. An agent that was never heard may have
    /// announced one to a balancer that no longer exists.
    #[must_use]
    pub fn is_silent(&self, agent: AgentAddress, timeout: Duration, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        let may_have_stopped = load.is_some_and(|load| self.may_have_stopped(load, now));
        self.is_unreachable(agent, timeout, now) && !may_have_stopped
    }

    /// Returns whether a frame sent to an agent has been unanswered for `timeout`.
    #[must_use]
    pub fn is_overdue(&self, agent: AgentAddress, timeout: Duration, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        let awaiting_since = load.and_then(|load| load.awaiting_since);
        awaiting_since.is_some_and(|at| now.since(at) >= timeout)
    }

    fn heard_any_agent(&self, window: Duration, now: Moment) -> bool {
        let mut loads = self.loads.values();
        loads.any(|load| load.last_heard > Moment::ZERO && now.since(load.last_heard) < window)
    }

    /// Returns whether this balancer is isolated: several agents were sent frames and probes, and
    /// neither they nor any other agent was heard for half a second.
    ///
    /// Without this check, a balancer that is partitioned from the fleet, but not from the routers,
    /// reports ready, and every flow of its clients fails until the partition heals. Routers that
    /// see it not ready use other balancers; if all balancers report this because all agents are
    /// down, routers that have no other choice continue as before.
    #[must_use]
    pub fn is_isolated(&self, now: Moment) -> bool {
        if self.heard_any_agent(ISOLATION_TIMEOUT, now) {
            return false;
        }
        let loads = self.loads.values();
        // There may be no agent at an unconfirmed address.
        let confirmed = loads.filter(|load| !load.unconfirmed);
        let unheard = confirmed.filter(|load| load.is_unheard(ISOLATION_TIMEOUT, now));
        unheard.count() >= MIN_ISOLATION_AGENTS
    }

    /// Records that a flow was offered to a target.
    pub fn record_offer(&mut self, target: &FlowTarget) {
        let load = self.entry(target.agent, target.service);
        load.offers_since_report = load.offers_since_report.saturating_add(1);
    }

    /// Records that an offer to a target was not answered in time.
    pub fn record_unanswered(&mut self, target: &FlowTarget, now: Moment) {
        let load = self.entry(target.agent, target.service);
        if now.since(load.last_heard) < SILENCE_TIMEOUT && load.unanswered_offers == 0 {
            // One lost datagram is no evidence while reports still arrive.
            load.unanswered_offers = 1;
            return;
        }
        load.unanswered_offers = load.unanswered_offers.saturating_add(1);
        let doublings = u32::from(load.unanswered_offers.saturating_sub(1)).min(8);
        let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
        load.avoid_until = now + backoff;
    }

    /// Returns whether the target should be skipped for new flows at the moment.
    #[must_use]
    pub fn is_suspected(&self, agent: AgentAddress, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        load.is_some_and(|load| load.is_suspected(now))
    }

    /// Returns whether the agent at a target's address recently reported that its target belongs to
    /// another service, after this target was listed: the address was reused, and the store's entry
    /// is that of the former target. The agent refuses all flows of the former service.
    #[must_use]
    pub fn is_reassigned(&self, target: &FlowTarget, now: Moment) -> bool {
        let load = self.loads.get(&target.agent);
        load.is_some_and(|load| load.is_reassigned(target, now))
    }

    /// Returns whether an agent reports its zone as evacuated, at a store revision later than
    /// `revision`.
    #[must_use]
    pub fn knows_evacuated(&self, agent: AgentAddress, revision: StorePosition) -> bool {
        let load = self.loads.get(&agent);
        load.is_some_and(|load| load.knows_evacuated(revision))
    }

    /// Returns when an agent was last heard; `None` if it never was, or if it last reported that it
    /// is stopping or that its target does not answer. Such an agent should neither relay nor
    /// search.
    #[must_use]
    pub fn last_healthy_report(&self, agent: AgentAddress) -> Option<Moment> {
        let load = self.loads.get(&agent)?;
        let healthy =
            load.last_heard > Moment::ZERO && load.report.responsive && !load.report.leaving;
        healthy.then_some(load.last_heard)
    }

    /// Returns whether an agent has announced a stop, or reported that its target does not answer.
    fn is_stopped(&self, agent: AgentAddress, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        let unresponsive = load.is_some_and(|load| {
            let recent = now.since(load.last_heard) < RESTART_GRACE;
            recent && !load.report.responsive
        });
        unresponsive || self.is_restarting(agent, now)
    }

    /// Returns the mean of the targets of a service; `None` if none of them reports a service
    /// time.
    pub(crate) fn service_mean(&self, service: ServiceId) -> Option<&ServiceMean> {
        self.services.mean(service)
    }

    /// Returns the cost of one more flow at a target: the expected wait in service times of the
    /// mean target of its service, plus the costs of open flows, warm-up and zone. `random` is
    /// between 0 and 1 and breaks ties.
    #[must_use]
    pub fn score(&self, target: &FlowTarget, near: bool, random: f32, now: Moment) -> f32 {
        let load = self.loads.get(&target.agent);
        let mean = self.service_mean(target.service);
        score_target(target, load, mean, near, random, now).0
    }

    /// Removes targets that were not heard for `idle`.
    pub fn expire_idle(&mut self, idle: Duration, now: Moment) {
        let awaits_answer = |load: &TargetLoad| {
            load.awaiting_since
                .is_some_and(|since| now.since(since) < idle)
        };
        let services = &mut self.services;
        self.loads.retain(|_, load| {
            let kept =
                now.since(load.last_heard) < idle || now < load.avoid_until || awaits_answer(load);
            if !kept {
                services.replace(Some(&load.report), None);
            }
            kept
        });
        self.stops
            .retain(|_, notice| now.since(notice.at) < RESTART_GRACE);
    }

    fn entry(&mut self, agent: AgentAddress, service: ServiceId) -> &mut TargetLoad {
        let report = LoadReport::idle(agent, service);
        let entry = self.loads.entry(agent);
        entry.or_insert(TargetLoad::new(report, Moment::ZERO))
    }
}
