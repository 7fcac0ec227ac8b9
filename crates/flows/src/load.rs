//! What a balancer knows of each target's load and health, and which one it would rather use.

use std::collections::HashMap;
use std::time::Duration;

use lovagelatch_catalog::{AgentStop, RESTART_GRACE};
use lovagelatch_domain::{AgentAddress, Moment, ServiceId};

use crate::frame::LoadReport;
use crate::ring::FlowTarget;

/// An agent that was silent this long after an offer is suspected. Agents report every 250 ms to
/// balancers that send to them, so two reports must have been lost as well.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// How long a suspected target is passed over before it gets one more offer; doubles with each
/// offer that it leaves unanswered, up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// See [`FIRST_PAUSE`].
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How long after a frame an agent that was not heard is probed. Most are heard before: each new
/// flow brings a note, and reports come by themselves.
const PROBE_AFTER: Duration = Duration::from_millis(200);

/// Time between two probes of an agent.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Probes without an answer that make a silence: two datagrams are not lost by chance, and each had
/// fifty times a calm round trip.
const PROBES_NEEDED: u8 = 2;

/// How long nobody must have been heard for a balancer to take itself for cut off: fifty calm round
/// trips, with two probes of each agent in it.
const ISOLATION_SPAN: Duration = Duration::from_millis(500);

/// How many agents must be silent for that. One that is may be dead; three at once are not, unless
/// machines share a fate.
const ISOLATION_AGENTS: usize = 3;

/// How long an agent's word holds on how many more flows its target bears: agents report every 250 ms, to eight
/// balancers in turn.
const ROOM_SPAN: Duration = Duration::from_secs(1);

/// What another zone costs in the score, in requests in progress per slot. Bytes between zones
/// are paid for; waiting half a request's time is worth more.
const FAR_COST: f32 = 0.35;

/// What one open flow adds to a target's load, in requests in progress. A long flow brings a
/// request of some tens of milliseconds about once a second, whatever is in progress just now.
const FLOW_COST: f32 = 0.03;

/// How much longer requests take at a target that has just started.
const WARMING_FACTOR: f32 = 1.6;

/// Spread of the random part of a score. Several balancers look at the same reports; without it,
/// all of them would send their next flows to the same target.
const SCORE_SPREAD: f32 = 0.35;

/// What is known of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    /// Its last report.
    pub report: LoadReport,
    /// When that came; `Moment::ZERO` before the first.
    pub heard: Moment,
    /// Flows offered to it since.
    pub placed_since: u16,
    /// Offers in a row that nobody answered.
    pub unanswered: u8,
    /// Until when it is passed over.
    pub avoid_until: Moment,
    /// When the first frame was sent to it that it has not been heard after.
    pub asked_since: Option<Moment>,
    /// Probes sent to it since it was heard, and when the last one was.
    pub probes: u8,
    /// See `probes`.
    pub probed: Moment,
}

impl TargetLoad {
    /// What a report alone tells: nothing was sent to the target since.
    fn new(report: LoadReport, heard: Moment) -> Self {
        Self {
            report,
            heard,
            placed_since: 0,
            unanswered: 0,
            avoid_until: Moment::ZERO,
            asked_since: None,
            probes: 0,
            probed: Moment::ZERO,
        }
    }

    /// Whether it was sent frames for `span` and probes in it, and was not heard since.
    fn is_unheard(&self, span: Duration, now: Moment) -> bool {
        let asked = self.asked_since.is_some_and(|at| now.since(at) >= span);
        asked && self.probes >= PROBES_NEEDED
    }
}

/// An agent's word that it stops. It holds until the agent is heard again, or for [`RESTART_GRACE`].
#[derive(Clone, Copy, Debug)]
struct StopWord {
    at: Moment,
    /// Whether the agent said so to this balancer.
    direct: bool,
}

/// The loads of all targets that this balancer has dealt with.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    loads: HashMap<AgentAddress, TargetLoad>,
    stops: HashMap<AgentAddress, StopWord>,
    /// Every agent's stop since then is known.
    stops_since: Moment,
}

impl LoadBoard {
    /// Sets since when every agent's stop is known.
    pub fn set_stops_since(&mut self, since: Moment) {
        self.stops_since = since;
    }

    /// What is known of the target beside `agent`.
    #[must_use]
    pub fn load(&self, agent: AgentAddress) -> Option<&TargetLoad> {
        self.loads.get(&agent)
    }

    /// Takes a report.
    pub fn take(&mut self, report: &LoadReport, now: Moment) {
        self.loads
            .insert(report.agent, TargetLoad::new(*report, now));
        if report.leaving {
            let word = StopWord {
                at: now,
                direct: true,
            };
            self.stops.insert(report.agent, word);
        } else {
            self.stops.remove(&report.agent);
        }
    }

    /// Takes what another balancer heard: an agent that it names stops. It tells of the agent's silence alone;
    /// whether the agent takes new flows is for its own reports to say.
    pub fn take_stop(&mut self, stop: &AgentStop, now: Moment) {
        let at = now - stop.age;
        let is_back = self
            .loads
            .get(&stop.agent)
            .is_some_and(|load| load.heard >= at);
        if !is_back {
            let word = StopWord { at, direct: false };
            self.stops.insert(stop.agent, word);
        }
    }

    /// The agents that told this balancer that they stop.
    #[must_use]
    pub fn heard_stops(&self, now: Moment) -> Vec<AgentStop> {
        let direct = self.stops.iter().filter(|(_, word)| word.direct);
        let stops = direct.map(|(&agent, word)| AgentStop {
            agent,
            age: now.since(word.at),
        });
        stops.filter(|stop| stop.age < RESTART_GRACE).collect()
    }

    /// Whether an agent may have said that it stops before this balancer could know of it.
    fn may_have_stopped(&self, load: &TargetLoad, now: Moment) -> bool {
        load.heard == Moment::ZERO && now.since(self.stops_since) < RESTART_GRACE
    }

    /// Whether an agent was sent frames for `span` and probes in it and was not heard, while others were,
    /// and is not known to be restarting.
    fn is_unreachable(&self, agent: AgentAddress, span: Duration, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        load.is_some_and(|load| load.is_unheard(span, now))
            && !self.is_restarting(agent, now)
            && self.hears_anybody(span, now)
    }

    /// Whether an agent said that it stops, and its successor may still be starting.
    fn is_restarting(&self, agent: AgentAddress, now: Moment) -> bool {
        let word = self.stops.get(&agent);
        word.is_some_and(|word| now.since(word.at) < RESTART_GRACE)
    }

    /// Notes that a frame was sent.
    pub fn note_sent(&mut self, agent: AgentAddress, service: ServiceId, now: Moment) {
        let load = self.entry(agent, service);
        load.asked_since.get_or_insert(now);
    }

    /// The agents to probe now: they were sent frames and were not heard since.
    pub fn due_probes(&mut self, now: Moment) -> Vec<AgentAddress> {
        let mut due = Vec::new();
        for (&agent, load) in &mut self.loads {
            let waits = load
                .asked_since
                .is_some_and(|asked| now.since(asked) >= PROBE_AFTER);
            if waits && now.since(load.probed) >= PROBE_INTERVAL {
                load.probed = now;
                load.probes = load.probes.saturating_add(1);
                due.push(agent);
            }
        }
        due
    }

    /// Agents that were sent frames for `span` and [`PROBES_NEEDED`] probes and were not heard,
    /// although others were: the silence of all is this process's own trouble. One that said it
    /// stops is about to be started again beside a living target.
    #[must_use]
    pub fn silent_agents(&self, span: Duration, now: Moment) -> Vec<AgentAddress> {
        if !self.hears_anybody(span, now) {
            return Vec::new();
        }
        let unheard = self
            .loads
            .iter()
            .filter(|(_, load)| load.is_unheard(span, now));
        let lasting = unheard.filter(|(agent, load)| {
            !self.is_restarting(**agent, now) && !self.may_have_stopped(load, now)
        });
        lasting.map(|(&agent, _)| agent).collect()
    }

    /// Whether an agent has said that it stops, or that its target does not answer, or has been silent
    /// for `span` while others were heard. Where the store has dropped the target as well, it is gone.
    #[must_use]
    pub fn is_gone(&self, agent: AgentAddress, span: Duration, now: Moment) -> bool {
        self.is_stopped(agent, now) || self.is_unreachable(agent, span, now)
    }

    /// Whether an agent was sent frames for `span` and probes in it and was not heard, while others were,
    /// and did not say that it stops. One that was never heard may have said so to a balancer that is gone.
    #[must_use]
    pub fn is_silent(&self, agent: AgentAddress, span: Duration, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        let may_have_stopped = load.is_some_and(|load| self.may_have_stopped(load, now));
        self.is_unreachable(agent, span, now) && !may_have_stopped
    }

    /// Whether an agent has owed an answer for `span`.
    #[must_use]
    pub fn is_overdue(&self, agent: AgentAddress, span: Duration, now: Moment) -> bool {
        let asked = self.loads.get(&agent).and_then(|load| load.asked_since);
        asked.is_some_and(|at| now.since(at) >= span)
    }

    fn hears_anybody(&self, span: Duration, now: Moment) -> bool {
        let mut loads = self.loads.values();
        loads.any(|load| load.heard > Moment::ZERO && now.since(load.heard) < span)
    }

    /// Whether nobody answers this process any more: several agents were sent frames and probes and none
    /// of them was heard, nor any other, for [`ISOLATION_SPAN`].
    ///
    /// What goes wrong without it: a balancer that is cut off from the fleet, and not from routers,
    /// says that it is ready, and every flow of its clients fails until the cut heals. Routers that
    /// are told go to others; where all balancers say so, because all agents are down, routers that
    /// have no choice go on as before.
    #[must_use]
    pub fn is_isolated(&self, now: Moment) -> bool {
        if self.hears_anybody(ISOLATION_SPAN, now) {
            return false;
        }
        let loads = self.loads.values();
        let unheard = loads.filter(|load| load.is_unheard(ISOLATION_SPAN, now));
        unheard.count() >= ISOLATION_AGENTS
    }

    /// Notes that a flow was offered.
    pub fn note_offer(&mut self, target: &FlowTarget) {
        let load = self.entry(target.agent, target.service);
        load.placed_since = load.placed_since.saturating_add(1);
    }

    /// Notes that an offer was not answered in time.
    pub fn note_unanswered(&mut self, target: &FlowTarget, now: Moment) {
        let load = self.entry(target.agent, target.service);
        if now.since(load.heard) < SILENCE_LIMIT && load.unanswered == 0 {
            // One lost datagram proves nothing while reports still come.
            load.unanswered = 1;
            return;
        }
        load.unanswered = load.unanswered.saturating_add(1);
        let doublings = u32::from(load.unanswered.saturating_sub(1)).min(8);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        load.avoid_until = now + pause;
    }

    /// Whether the target is better passed over for now.
    #[must_use]
    pub fn is_suspected(&self, agent: AgentAddress, now: Moment) -> bool {
        self.loads.get(&agent).is_some_and(|load| {
            let report = &load.report;
            now < load.avoid_until || !report.responsive || report.failing || report.leaving
        })
    }

    /// Whether an agent says that its zone is evacuated, and knows that by a later word than `revision`.
    #[must_use]
    pub fn knows_evacuated(&self, agent: AgentAddress, revision: u64) -> bool {
        let load = self.loads.get(&agent);
        load.is_some_and(|load| load.report.evacuated && load.report.zones_revision > revision)
    }

    /// Whether a target is among the first choices: it is well, and where it is cold it bears one more flow
    /// in this second, by its agent's last word and what was offered since.
    #[must_use]
    pub fn is_eligible(&self, agent: AgentAddress, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        let has_room = load.is_none_or(|load| {
            let fresh = now.since(load.heard) < ROOM_SPAN;
            let room = load.report.room.filter(|_| fresh);
            room.is_none_or(|room| room > load.placed_since)
        });
        has_room && !self.is_suspected(agent, now)
    }

    /// When an agent was last heard; `None` when never, or when it said something that speaks
    /// against asking it for a favour.
    #[must_use]
    pub fn well_since(&self, agent: AgentAddress) -> Option<Moment> {
        let load = self.loads.get(&agent)?;
        let well = load.heard > Moment::ZERO && load.report.responsive && !load.report.leaving;
        well.then_some(load.heard)
    }

    /// Whether an agent has said that it stops, or that its target does not answer.
    fn is_stopped(&self, agent: AgentAddress, now: Moment) -> bool {
        let load = self.loads.get(&agent);
        let unresponsive = load.is_some_and(|load| {
            let recent = now.since(load.heard) < RESTART_GRACE;
            recent && !load.report.responsive
        });
        unresponsive || self.is_restarting(agent, now)
    }

    /// The cost of one more flow at a target: requests in progress per slot, and what else counts.
    /// `random` in 0 to 1 breaks ties.
    #[must_use]
    pub fn score(&self, target: &FlowTarget, near: bool, random: f32, now: Moment) -> f32 {
        let busy = self.loads.get(&target.agent).map_or(0.0, busy_requests);
        let slots = f32::from(target.slots.max(1));
        let slow = if now < target.warm_at {
            WARMING_FACTOR
        } else {
            1.0
        };
        let far = if near { 0.0 } else { FAR_COST };
        (busy + 1.0) / slots * slow + far + random * SCORE_SPREAD
    }

    /// Forgets targets that were not heard of for `idle`.
    pub fn forget_silent(&mut self, idle: Duration, now: Moment) {
        let asked = |load: &TargetLoad| load.asked_since.is_some_and(|at| now.since(at) < idle);
        self.loads.retain(|_, load| {
            now.since(load.heard) < idle || now < load.avoid_until || asked(load)
        });
        self.stops
            .retain(|_, word| now.since(word.at) < RESTART_GRACE);
    }

    fn entry(&mut self, agent: AgentAddress, service: ServiceId) -> &mut TargetLoad {
        let report = LoadReport::idle(agent, service);
        let entry = self.loads.entry(agent);
        entry.or_insert(TargetLoad::new(report, Moment::ZERO))
    }
}

#[allow(clippy::cast_precision_loss)]
fn busy_requests(load: &TargetLoad) -> f32 {
    let now = f32::from(load.report.in_progress) + f32::from(load.placed_since);
    let average = load.report.average_milli as f32 / 1_000.0;
    (now + average) / 2.0 + load.report.flows as f32 * FLOW_COST
}
