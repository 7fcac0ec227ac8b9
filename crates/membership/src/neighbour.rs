//! Monitoring of an agent's neighbours: heartbeats, silence and accusations.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, Incarnation, Moment, PeerReport, ZoneName};

use crate::list::ZoneId;
use crate::message::{AccusedSubject, PeerHeartbeat};
use crate::probe::{PROBE_TIMEOUT, ZoneProbe, ZoneReachability};

/// A neighbour that sent heartbeats and was then not heard for this long is silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// How often an accusation that still holds, or a zone probe, is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_secs(6);

/// Consecutive failed exchanges that count as silence.
const MIN_FAILURES: u32 = 3;

/// How long failed exchanges count after the last one.
const FAILURE_WINDOW: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct NeighbourEntry {
    zone: ZoneId,
    zone_name: ZoneName,
    /// When it was last heard, or when it became a neighbour.
    last_heard: Moment,
    heartbeat: Option<PeerHeartbeat>,
    failures: u32,
    last_exchange: Moment,
    /// When it was probed directly, since it became silent.
    probed_at: Option<Moment>,
    last_accused: Option<Moment>,
}

impl NeighbourEntry {
    /// Returns whether it was probed directly and did not reply in time. Lost heartbeats alone must
    /// not cause events that the whole fleet relays.
    fn probe_timed_out(&self, now: Moment) -> bool {
        let timed_out = |probed| now.since(probed) >= PROBE_TIMEOUT;
        self.probed_at.is_some_and(timed_out)
    }

    fn is_silent(&self, now: Moment) -> bool {
        // A neighbour that was never heard may not have started: the list lags, and the neighbours
        // that have heard it decide.
        self.heartbeat.is_some() && now.since(self.last_heard) >= SILENCE_TIMEOUT
    }

    fn is_failing(&self, now: Moment) -> bool {
        // Failures expire; otherwise a peer that nobody contacts any more would be avoided
        // forever.
        self.failures >= MIN_FAILURES && now.since(self.last_exchange) < FAILURE_WINDOW
    }
}

/// An accusation, or its withdrawal, that is due now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueAccusation {
    /// The process or zone concerned.
    pub subject: AccusedSubject,
    /// Whether it is silent now; `false` withdraws an earlier accusation.
    pub holds: bool,
}

/// Monitors the neighbours of one agent.
#[derive(Clone, Debug, Default)]
pub struct NeighbourMonitor {
    entries: BTreeMap<AgentAddress, NeighbourEntry>,
    probes: BTreeMap<ZoneId, ZoneProbe>,
}

impl NeighbourMonitor {
    /// Replaces the neighbours; the state of those that remain is kept.
    pub fn set_neighbours(
        &mut self,
        neighbours: impl Iterator<Item = (AgentAddress, ZoneId, ZoneName)>,
        now: Moment,
    ) {
        let mut old = std::mem::take(&mut self.entries);
        for (agent, zone, zone_name) in neighbours {
            let fresh = NeighbourEntry {
                zone,
                zone_name,
                last_heard: now,
                heartbeat: None,
                failures: 0,
                last_exchange: now,
                probed_at: None,
                last_accused: None,
            };
            self.entries
                .insert(agent, old.remove(&agent).unwrap_or(fresh));
        }
    }

    /// Returns the addresses of the neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = AgentAddress> + '_ {
        self.entries.keys().copied()
    }

    /// Records a heartbeat; returns whether it came from a neighbour.
    pub fn record_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(&heartbeat.sender) else {
            return false;
        };
        entry.last_heard = now;
        entry.probed_at = None;
        entry.heartbeat = Some(heartbeat);
        let zone = entry.zone;
        self.record_zone_alive(zone);
        true
    }

    /// Records that a neighbour replied to a probe.
    pub fn record_probe_reply(&mut self, agent: AgentAddress, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&agent) {
            entry.last_heard = now;
            entry.probed_at = None;
        }
    }

    /// Records that a process of a zone was heard.
    pub fn record_zone_alive(&mut self, zone: ZoneId) {
        if let Some(probe) = self.probes.get_mut(&zone) {
            probe.answered = true;
        }
    }

    /// Records the result of an exchange. Failures outrank heartbeats, which may still arrive from
    /// a process whose streams are stuck.
    pub fn record_exchange(&mut self, agent: AgentAddress, succeeded: bool, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&agent) {
            entry.failures = if succeeded {
                0
            } else {
                entry.failures.saturating_add(1)
            };
            entry.last_exchange = now;
        }
    }

    /// Restarts all silence timers: after a pause of this process, silence says nothing about
    /// others.
    pub fn reset_timers(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            entry.last_heard = now;
            entry.probed_at = None;
        }
    }

    /// Returns whether a neighbour that was heard earlier is silent or fails exchanges.
    #[must_use]
    pub fn is_unresponsive(&self, agent: AgentAddress, now: Moment) -> bool {
        let entry = self.entries.get(&agent);
        entry.is_some_and(|entry| entry.is_silent(now) || entry.is_failing(now))
    }

    /// Returns the incarnation in a neighbour's last heartbeat.
    #[must_use]
    pub fn incarnation_of(&self, agent: AgentAddress) -> Option<Incarnation> {
        let heartbeat = self.entries.get(&agent)?.heartbeat?;
        Some(heartbeat.incarnation)
    }

    /// Returns the latest reports of the neighbours. `suspected` adds what other processes
    /// reported, `leaving` what the neighbours announced themselves.
    pub fn reports(
        &self,
        suspected: impl Fn(AgentAddress) -> bool,
        leaving: impl Fn(AgentAddress) -> bool,
        now: Moment,
    ) -> Vec<PeerReport> {
        let entries = self.entries.iter();
        entries
            .filter_map(|(&agent, entry)| {
                let mut report = entry.heartbeat?.report;
                if leaving(agent) {
                    report.condition = GateCondition::Leaving;
                }
                Some(PeerReport {
                    agent,
                    zone: entry.zone_name.clone(),
                    report,
                    received: entry.last_heard,
                    suspected: suspected(agent) || entry.is_silent(now) || entry.is_failing(now),
                })
            })
            .collect()
    }

    /// Returns the silent neighbours to probe directly now, and records that they are probed.
    pub fn due_peer_probes(&mut self, now: Moment) -> Vec<AgentAddress> {
        let mut due = Vec::new();
        for (&agent, entry) in &mut self.entries {
            if entry.is_silent(now) && entry.probed_at.is_none() {
                entry.probed_at = Some(now);
                due.push(agent);
            }
        }
        due
    }

    /// Returns the zones of silent neighbours to probe now, each with its silent neighbours, which
    /// are not to be asked again.
    pub fn due_zone_probes(&mut self, now: Moment) -> Vec<(ZoneId, Vec<AgentAddress>)> {
        let mut silent: BTreeMap<ZoneId, Vec<AgentAddress>> = BTreeMap::new();
        if !self.is_isolated(now) {
            for (&agent, entry) in &self.entries {
                if entry.is_silent(now) {
                    silent.entry(entry.zone).or_default().push(agent);
                }
            }
        }
        let probes = &mut self.probes;
        silent.retain(|&zone, _| {
            let probe = probes.get(&zone);
            let due = probe.is_none_or(|probe| now.since(probe.sent_at) >= REPEAT_INTERVAL);
            if due {
                let last_accused = probe.and_then(|probe| probe.last_accused);
                let probe = ZoneProbe {
                    sent_at: now,
                    answered: false,
                    last_accused,
                };
                probes.insert(zone, probe);
            }
            due
        });
        silent.into_iter().collect()
    }

    /// Returns the accusations that are due: new ones, repeated ones and withdrawals.
    pub fn due_accusations(&mut self, now: Moment) -> Vec<DueAccusation> {
        let mut accusations = Vec::new();
        if self.is_isolated(now) {
            return accusations;
        }
        self.push_zone_accusations(&mut accusations, now);
        let probes = &self.probes;
        for (&agent, entry) in &mut self.entries {
            let subject = AccusedSubject::Agent(agent);
            let reachability = probes.get(&entry.zone).map(|probe| probe.reachability(now));
            let zone_reached = reachability == Some(ZoneReachability::Reachable);
            let silent = entry.is_silent(now) && entry.probe_timed_out(now);
            if (silent && zone_reached) || entry.is_failing(now) {
                if is_due(&mut entry.last_accused, now) {
                    accusations.push(DueAccusation {
                        subject,
                        holds: true,
                    });
                }
            } else if !entry.is_silent(now) && entry.last_accused.take().is_some() {
                accusations.push(DueAccusation {
                    subject,
                    holds: false,
                });
            }
        }
        accusations
    }

    /// Returns whether every neighbour that was ever heard is silent. The fault is then most likely
    /// on this side, and accusations by an isolated process would only do harm where they arrive
    /// later.
    fn is_isolated(&self, now: Moment) -> bool {
        let mut heard_from = self
            .entries
            .values()
            .filter(|entry| entry.heartbeat.is_some())
            .peekable();
        heard_from.peek().is_some() && heard_from.all(|entry| entry.is_silent(now))
    }

    fn push_zone_accusations(&mut self, accusations: &mut Vec<DueAccusation>, now: Moment) {
        let entries = &self.entries;
        self.probes.retain(|&zone, probe| {
            let subject = AccusedSubject::Zone(zone);
            let mut silent = entries.values().filter(|entry| entry.zone == zone);
            let any_silent = silent.any(|entry| entry.is_silent(now));
            let lost = any_silent && probe.reachability(now) == ZoneReachability::Lost;
            if lost && is_due(&mut probe.last_accused, now) {
                accusations.push(DueAccusation {
                    subject,
                    holds: true,
                });
            }
            let recovered = !any_silent || probe.reachability(now) == ZoneReachability::Reachable;
            if recovered && probe.last_accused.take().is_some() {
                accusations.push(DueAccusation {
                    subject,
                    holds: false,
                });
            }
            any_silent
        });
    }
}

/// Returns whether an accusation last sent at `last` is due, and records that it is sent now.
fn is_due(last: &mut Option<Moment>, now: Moment) -> bool {
    let due = last.is_none_or(|last| now.since(last) >= REPEAT_INTERVAL);
    if due {
        *last = Some(now);
    }
    due
}
