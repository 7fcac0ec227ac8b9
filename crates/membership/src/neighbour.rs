//! The neighbours of an agent: their heartbeats, and which of them fell silent.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition, Incarnation, Moment, PeerReport, ZoneName};

use crate::list::ZoneId;
use crate::message::{AccusedSubject, PeerHeartbeat};
use crate::probe::{PROBE_WAIT, ZoneProbe, ZoneVerdict};

/// A neighbour that was heard of and then not for this long is silent.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// How often an accusation that still holds is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_secs(6);

/// Failed exchanges in a row that count as silence.
const FAILURES_NEEDED: u32 = 3;

/// How long failed exchanges count.
const FAILURE_LIFETIME: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct NeighbourEntry {
    zone: ZoneId,
    zone_name: ZoneName,
    /// The last heartbeat, or when it became a neighbour.
    heard: Moment,
    heartbeat: Option<PeerHeartbeat>,
    failures: u32,
    failed: Moment,
    /// When it was asked directly, since it fell silent.
    probed: Option<Moment>,
    accused: Option<Moment>,
}

impl NeighbourEntry {
    /// Whether it was asked directly and had its time to answer: lost heartbeats alone must
    /// not make events that the whole fleet passes on.
    fn had_its_say(&self, now: Moment) -> bool {
        let waited = |probed| now.since(probed) >= PROBE_WAIT;
        self.probed.is_some_and(waited)
    }

    fn is_silent(&self, now: Moment) -> bool {
        // One that never spoke has perhaps not started; the list lags, and its own peers judge.
        self.heartbeat.is_some() && now.since(self.heard) >= SILENCE_LIMIT
    }

    fn is_failing(&self, now: Moment) -> bool {
        // It expires, or a peer that nobody tries any more would stay avoided for ever.
        self.failures >= FAILURES_NEEDED && now.since(self.failed) < FAILURE_LIFETIME
    }
}

/// A word about a subject that is due now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueWord {
    /// Who or what is silent, or was.
    pub subject: AccusedSubject,
    /// Whether it is silent now.
    pub holds: bool,
}

/// Watches the neighbours of one agent.
#[derive(Clone, Debug, Default)]
pub struct NeighbourWatch {
    entries: BTreeMap<AgentAddress, NeighbourEntry>,
    probes: BTreeMap<ZoneId, ZoneProbe>,
}

impl NeighbourWatch {
    /// Replaces the neighbours; what is known of those that stay is kept.
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
                heard: now,
                heartbeat: None,
                failures: 0,
                failed: now,
                probed: None,
                accused: None,
            };
            self.entries
                .insert(agent, old.remove(&agent).unwrap_or(fresh));
        }
    }

    /// The neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = AgentAddress> + '_ {
        self.entries.keys().copied()
    }

    /// Notes a heartbeat; whether it came from a neighbour.
    pub fn note_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Moment) -> bool {
        let Some(entry) = self.entries.get_mut(&heartbeat.sender) else {
            return false;
        };
        entry.heard = now;
        entry.probed = None;
        entry.heartbeat = Some(heartbeat);
        let zone = entry.zone;
        self.note_zone_alive(zone);
        true
    }

    /// Notes that a neighbour answered a probe.
    pub fn note_answer(&mut self, agent: AgentAddress, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&agent) {
            entry.heard = now;
            entry.probed = None;
        }
    }

    /// Notes that a process of a zone was heard.
    pub fn note_zone_alive(&mut self, zone: ZoneId) {
        if let Some(probe) = self.probes.get_mut(&zone) {
            probe.answered = true;
        }
    }

    /// Notes how an exchange ended: evidence that outranks heartbeats, which may still arrive
    /// from a process whose streams are stuck.
    pub fn note_exchange(&mut self, agent: AgentAddress, succeeded: bool, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&agent) {
            entry.failures = if succeeded {
                0
            } else {
                entry.failures.saturating_add(1)
            };
            entry.failed = now;
        }
    }

    /// Starts all waits anew: after a pause of our own, silence says nothing about others.
    pub fn forgive(&mut self, now: Moment) {
        for entry in self.entries.values_mut() {
            entry.heard = now;
            entry.probed = None;
        }
    }

    /// Whether a neighbour that was heard of earlier is silent or fails exchanges.
    #[must_use]
    pub fn avoids(&self, agent: AgentAddress, now: Moment) -> bool {
        let entry = self.entries.get(&agent);
        entry.is_some_and(|entry| entry.is_silent(now) || entry.is_failing(now))
    }

    /// The start that a neighbour's last heartbeat named.
    #[must_use]
    pub fn incarnation_of(&self, agent: AgentAddress) -> Option<Incarnation> {
        let heartbeat = self.entries.get(&agent)?.heartbeat?;
        Some(heartbeat.incarnation)
    }

    /// The neighbours' newest reports; `suspected` adds what others say, and `leaving` what
    /// they said of themselves.
    pub fn reports(
        &self,
        suspected: impl Fn(AgentAddress) -> bool,
        leaving: impl Fn(AgentAddress) -> bool,
        now: Moment,
    ) -> Vec<PeerReport> {
        let heard = self.entries.iter();
        heard
            .filter_map(|(&agent, entry)| {
                let mut report = entry.heartbeat?.report;
                if leaving(agent) {
                    report.condition = GateCondition::Leaving;
                }
                Some(PeerReport {
                    agent,
                    zone: entry.zone_name.clone(),
                    report,
                    received: entry.heard,
                    suspected: suspected(agent) || entry.is_silent(now) || entry.is_failing(now),
                })
            })
            .collect()
    }

    /// The silent neighbours that are to be asked directly now.
    pub fn due_questions(&mut self, now: Moment) -> Vec<AgentAddress> {
        let mut asked = Vec::new();
        for (&agent, entry) in &mut self.entries {
            if entry.is_silent(now) && entry.probed.is_none() {
                entry.probed = Some(now);
                asked.push(agent);
            }
        }
        asked
    }

    /// The zones of silent neighbours that are to be probed now, each with the neighbours in it
    /// that need not be asked.
    pub fn due_probes(&mut self, now: Moment) -> Vec<(ZoneId, Vec<AgentAddress>)> {
        let mut silent: BTreeMap<ZoneId, Vec<AgentAddress>> = BTreeMap::new();
        if !self.is_cut_off(now) {
            for (&agent, entry) in &self.entries {
                if entry.is_silent(now) {
                    silent.entry(entry.zone).or_default().push(agent);
                }
            }
        }
        let probes = &mut self.probes;
        silent.retain(|&zone, _| {
            let probe = probes.get(&zone);
            let due = probe.is_none_or(|probe| now.since(probe.sent) >= REPEAT_INTERVAL);
            if due {
                let accused = probe.and_then(|probe| probe.accused);
                let probe = ZoneProbe {
                    sent: now,
                    answered: false,
                    accused,
                };
                probes.insert(zone, probe);
            }
            due
        });
        silent.into_iter().collect()
    }

    /// The words that are due: new accusations, repeated ones, and ends of accusations.
    pub fn due_words(&mut self, now: Moment) -> Vec<DueWord> {
        let mut words = Vec::new();
        if self.is_cut_off(now) {
            return words;
        }
        self.zone_words(&mut words, now);
        let probes = &self.probes;
        for (&agent, entry) in &mut self.entries {
            let subject = AccusedSubject::Agent(agent);
            let verdict = probes.get(&entry.zone).map(|probe| probe.verdict(now));
            let zone_reached = verdict == Some(ZoneVerdict::Reachable);
            let silent = entry.is_silent(now) && entry.had_its_say(now);
            if (silent && zone_reached) || entry.is_failing(now) {
                if is_due(&mut entry.accused, now) {
                    words.push(DueWord {
                        subject,
                        holds: true,
                    });
                }
            } else if !entry.is_silent(now) && entry.accused.take().is_some() {
                words.push(DueWord {
                    subject,
                    holds: false,
                });
            }
        }
        words
    }

    /// Whether every neighbour that ever spoke is silent. The fault is then most likely on this
    /// side, and accusations from inside a cut-off process would only harm whoever hears them
    /// later.
    fn is_cut_off(&self, now: Moment) -> bool {
        let mut spoken = self
            .entries
            .values()
            .filter(|entry| entry.heartbeat.is_some())
            .peekable();
        spoken.peek().is_some() && spoken.all(|entry| entry.is_silent(now))
    }

    fn zone_words(&mut self, words: &mut Vec<DueWord>, now: Moment) {
        let entries = &self.entries;
        self.probes.retain(|&zone, probe| {
            let subject = AccusedSubject::Zone(zone);
            let mut silent = entries.values().filter(|entry| entry.zone == zone);
            let any_silent = silent.any(|entry| entry.is_silent(now));
            let lost = any_silent && probe.verdict(now) == ZoneVerdict::Lost;
            if lost && is_due(&mut probe.accused, now) {
                words.push(DueWord {
                    subject,
                    holds: true,
                });
            }
            let found = !any_silent || probe.verdict(now) == ZoneVerdict::Reachable;
            if found && probe.accused.take().is_some() {
                words.push(DueWord {
                    subject,
                    holds: false,
                });
            }
            any_silent
        });
    }
}

/// Whether a word is due, given when it was last said; notes that it is said now.
fn is_due(last: &mut Option<Moment>, now: Moment) -> bool {
    let due = last.is_none_or(|last| now.since(last) >= REPEAT_INTERVAL);
    if due {
        *last = Some(now);
    }
    due
}
