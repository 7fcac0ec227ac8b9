//! Pulls: asking a peer for what is newer, and answering.
//!
//! ```text
//! Ask -> Answer            small: one datagram each way
//! Ask -> (none, too long)  then Pull over a stream -> parts
//! ```

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::FleetMember;
use super::spread::{FRAME_BYTES, encoded_length};
use crate::action::{MemberAction, MemberNotice};
use crate::budget::SendUrgency;
use crate::config::{ConfigDelta, ConfigError, ConfigVerdict};
use crate::delta::TableError;
use crate::list::ListDelta;
use crate::message::{MemberEvent, MemberMessage, PullPart, PullRequest, split_delta};

/// An ask that was not answered for this long goes on as a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest answer that is sent as a datagram, in bytes.
const MAX_ANSWER_BYTES: usize = 1_100;

/// A pull that was not answered for this long is given up.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Least time between two pulls for the list alone; grows by [`LIST_ROWS_A_SECOND`], because at
/// full size the list changes every second and lags by much more anyway.
const LIST_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Rows that add a second between two pulls for the list.
const LIST_ROWS_A_SECOND: usize = 50_000;

/// Least time between two reads of the platform because of a conflict.
const CONFLICT_INTERVAL: Duration = Duration::from_secs(10);

/// What opening and closing a TCP stream costs its opener: SYN, two ACKs and FIN, with 40 bytes
/// of headers each, and the request's own segment.
const STREAM_BYTES: usize = 5 * 40 + 4 + 19;

#[derive(Clone, Copy, Debug)]
pub(super) struct PullState {
    pub(super) from: AgentAddress,
    pub(super) since: Moment,
    /// Whether it was asked by a datagram.
    pub(super) asked: bool,
}

impl PullState {
    pub(super) fn limit(&self) -> Duration {
        if self.asked {
            ASK_TIMEOUT
        } else {
            PULL_TIMEOUT
        }
    }
}

impl FleetMember {
    /// The parts of the answer to a pull.
    pub fn answer_pull(&mut self, request: &PullRequest, now: Moment) -> Vec<PullPart> {
        let mut parts = vec![PullPart::Head(self.head(SmallVec::new(), now))];
        if request.config < self.config.head().revision {
            let delta = self.config.delta_since(request.config);
            parts.extend(split_delta(delta).into_iter().map(PullPart::Config));
        }
        if request.list < self.list.head().revision {
            let ListDelta { table, zones } = self.list.delta_since(request.list);
            let split = split_delta(table).into_iter().map(|table| {
                PullPart::List(ListDelta {
                    table,
                    zones: zones.clone(),
                })
            });
            parts.extend(split);
        }
        if request.departures {
            parts.push(PullPart::Departures(self.departures.events()));
            parts.push(PullPart::Arrivals(self.arrivals.events()));
        }
        parts.push(PullPart::End);
        // A whole table for a fresh process is paid by no budget: it is owed once in the
        // lifetime of an instance, and refusing it would keep that instance from serving.
        if request.config > 0 && request.list > 0 {
            let bytes = parts.iter().map(|part| encoded_length(part) + FRAME_BYTES);
            self.budget.spend(bytes.sum(), now);
        }
        parts
    }

    /// Takes the parts of an answer; one that broke off is a failed pull.
    pub fn accept_answer(&mut self, from: AgentAddress, parts: Vec<PullPart>, now: Moment) {
        if parts.last() != Some(&PullPart::End) {
            self.pull_failed(from, now);
            return;
        }
        self.end_pull(from);
        self.note_peer_answer(from);
        let mut config: Option<ConfigDelta> = None;
        let mut list: Option<ListDelta> = None;
        let mut head = None;
        let mut arrivals = Vec::new();
        for part in parts {
            match part {
                PullPart::Head(answered) => head = Some(answered),
                PullPart::Config(part) => join_config(&mut config, part),
                PullPart::List(part) => join_list(&mut list, part),
                PullPart::Departures(events) => {
                    self.spread.want_departures = false;
                    for event in events {
                        self.accept_event(MemberEvent::Departure(event), now);
                    }
                }
                PullPart::Arrivals(events) => arrivals = events,
                PullPart::End => {}
            }
        }
        if let Some(head) = &head {
            self.note_platform_age(head, now);
        }
        if let Some(delta) = config {
            self.accept_config_delta(delta, now);
        }
        if let Some(delta) = list {
            self.accept_list_delta(delta, now);
        }
        // After the list, which names their zones and tells which of them it names itself.
        for event in arrivals {
            self.accept_event(MemberEvent::Arrival(event), now);
        }
        self.check_ready(now);
    }

    /// Notes that a pull brought nothing.
    pub fn pull_failed(&mut self, from: AgentAddress, _now: Moment) {
        self.end_pull(from);
        self.note_peer_failure(from);
    }

    pub(super) fn list_pull_interval(&self) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let rows = self.list.rows().len() as f64 / LIST_ROWS_A_SECOND as f64;
        LIST_PULL_INTERVAL + Duration::from_secs_f64(rows)
    }

    /// Asks a peer for what is newer, unless a pull is under way.
    pub(super) fn pull(&mut self, from: AgentAddress, urgency: SendUrgency, now: Moment) {
        if self.spread.pull.is_some() || from == self.settings.own {
            return;
        }
        let known = self.config.head().revision > 0 && self.list.head().revision > 0;
        if self.ready && known && !self.spread.whole {
            self.ask(from, urgency, now);
        } else {
            self.pull_by_stream(from, urgency, now);
        }
    }

    fn request(&mut self) -> PullRequest {
        let whole = std::mem::take(&mut self.spread.whole);
        let held = |revision| if whole { 0 } else { revision };
        PullRequest {
            sender: self.settings.own,
            config: held(self.config.head().revision),
            list: held(self.list.head().revision),
            departures: self.spread.want_departures,
        }
    }

    fn start_pull(&mut self, from: AgentAddress, asked: bool, now: Moment) {
        let since = now;
        self.spread.pull = Some(PullState { from, since, asked });
        self.spread.last_list_pull = Some(now);
    }

    fn ask(&mut self, from: AgentAddress, urgency: SendUrgency, now: Moment) {
        let request = self.request();
        self.start_pull(from, true, now);
        self.send(from, MemberMessage::Ask(request), urgency, now);
    }

    pub(super) fn pull_by_stream(&mut self, from: AgentAddress, urgency: SendUrgency, now: Moment) {
        let bytes = STREAM_BYTES + FRAME_BYTES;
        if !self.budget.try_spend(bytes, urgency, now) {
            self.spread.pull = None;
            return;
        }
        let request = self.request();
        self.start_pull(from, false, now);
        self.actions.push(MemberAction::Pull { from, request });
    }

    pub(super) fn accept_ask(&mut self, request: &PullRequest, now: Moment) {
        let mut parts = self.answer_pull(request, now);
        let bytes: usize = parts.iter().map(encoded_length).sum();
        if bytes > MAX_ANSWER_BYTES {
            parts.clear();
        }
        // Its bytes were taken from the budget with the answer.
        self.actions.push(MemberAction::Send {
            to: request.sender,
            message: MemberMessage::Answer {
                sender: self.settings.own,
                parts,
            },
        });
    }

    pub(super) fn accept_small_answer(
        &mut self,
        from: AgentAddress,
        parts: Vec<PullPart>,
        now: Moment,
    ) {
        let expected = |pull: &PullState| pull.asked && pull.from == from;
        if !self.spread.pull.as_ref().is_some_and(expected) {
            return;
        }
        if parts.is_empty() {
            self.pull_by_stream(from, SendUrgency::Change, now);
        } else {
            self.accept_answer(from, parts, now);
        }
    }

    pub(super) fn is_pulling(&self) -> bool {
        self.spread.pull.is_some()
    }

    fn end_pull(&mut self, from: AgentAddress) {
        if self.spread.pull.is_some_and(|pull| pull.from == from) {
            self.spread.pull = None;
        }
    }

    fn accept_config_delta(&mut self, delta: ConfigDelta, now: Moment) {
        let revision = delta.to.revision;
        match self.config.offer_delta(delta) {
            Ok(ConfigVerdict::Taken(changes)) => self.apply_config(&changes, now),
            Ok(ConfigVerdict::Known) | Err(ConfigError::Lower { .. }) => {}
            Err(ConfigError::Conflict { .. }) => self.note_conflict(revision, now),
            Err(error) => {
                self.spread.whole = true;
                self.notice(MemberNotice::ConfigRefused(error));
            }
        }
    }

    fn accept_list_delta(&mut self, delta: ListDelta, now: Moment) {
        match self.list.offer_delta(delta) {
            Ok(changes) => self.apply_list(&changes, now),
            Err(TableError::NotNewer { .. }) => {}
            Err(error) => {
                self.spread.whole = true;
                self.notice(MemberNotice::ListRefused(error));
            }
        }
    }

    /// Two contents under one revision: the first is kept, and the platform is asked.
    pub(super) fn note_conflict(&mut self, revision: u64, now: Moment) {
        let recent = self
            .spread
            .last_conflict
            .is_some_and(|last| now.since(last) < CONFLICT_INTERVAL);
        if recent {
            return;
        }
        self.spread.last_conflict = Some(now);
        let error = ConfigError::Conflict { revision };
        self.notice(MemberNotice::ConfigRefused(error));
        self.read_config_once(now);
    }
}

/// Joins a part to the parts before it.
fn join_config(whole: &mut Option<ConfigDelta>, part: ConfigDelta) {
    match whole {
        Some(held) => held.join(part),
        None => *whole = Some(part),
    }
}

fn join_list(whole: &mut Option<ListDelta>, part: ListDelta) {
    let Some(held) = whole else {
        *whole = Some(part);
        return;
    };
    held.table.join(part.table);
    for zone in part.zones {
        if !held.zones.contains(&zone) {
            held.zones.push(zone);
        }
    }
}
