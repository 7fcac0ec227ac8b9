//! Pulls: requests newer tables from a peer, and answers such requests.
//!
//! ```text
//! Ask -> Answer             small: one datagram each way
//! Ask -> (empty or timeout) then Pull over a stream -> parts
//! ```

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::SmallVec;

use super::FleetMember;
use super::spread::{FRAME_OVERHEAD_BYTES, encoded_length};
use crate::action::{MemberAction, MemberNotice};
use crate::budget::SendPriority;
use crate::config::{ConfigDelta, ConfigError, ConfigOutcome};
use crate::delta::TableError;
use crate::list::ListDelta;
use crate::message::{MemberEvent, MemberMessage, PullPart, PullRequest, split_delta};

/// An ask that is not answered within this time is retried over a stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest answer that is sent as a datagram.
const MAX_ANSWER_BYTES: usize = 1_100;

/// Timeout of a pull over a stream.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between two pulls for the list alone. It grows with the list by
/// [`LIST_PULL_ROWS_PER_SECOND`]: at full size the list changes every second, and the platform's
/// list lags by much more than this interval.
const LIST_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Listed rows that add one second to the interval between list pulls.
const LIST_PULL_ROWS_PER_SECOND: usize = 50_000;

/// Minimum time between two platform reads caused by conflicts.
const CONFLICT_READ_INTERVAL: Duration = Duration::from_secs(10);

/// Bytes that the opener of a TCP stream sends to open and close it: SYN, two ACKs and FIN with 40
/// bytes of headers each, and the segment with the request.
const STREAM_OVERHEAD_BYTES: usize = 5 * 40 + 4 + 19;

#[derive(Clone, Copy, Debug)]
pub(super) struct PullState {
    pub(super) from: AgentAddress,
    pub(super) since: Moment,
    /// Whether the request was sent as a datagram rather than over a stream.
    pub(super) by_datagram: bool,
}

impl PullState {
    pub(super) fn timeout(&self) -> Duration {
        if self.by_datagram {
            ASK_TIMEOUT
        } else {
            PULL_TIMEOUT
        }
    }
}

impl FleetMember {
    /// Returns the parts of the answer to a pull.
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
        // A full table for a starting process is not charged to the budget: it is sent once in the
        // lifetime of an instance, and refusing it would keep that instance from serving.
        if request.config > 0 && request.list > 0 {
            let bytes = parts
                .iter()
                .map(|part| encoded_length(part) + FRAME_OVERHEAD_BYTES);
            self.budget.spend(bytes.sum(), now);
        }
        parts
    }

    /// Handles the parts of an answer. An answer without its end was truncated and counts as a
    /// failed pull.
    pub fn accept_answer(&mut self, from: AgentAddress, parts: Vec<PullPart>, now: Moment) {
        if parts.last() != Some(&PullPart::End) {
            self.pull_failed(from, now);
            return;
        }
        self.end_pull(from);
        self.record_peer_answer(from);
        let mut config: Option<ConfigDelta> = None;
        let mut list: Option<ListDelta> = None;
        let mut head = None;
        let mut arrivals = Vec::new();
        for part in parts {
            match part {
                PullPart::Head(answered) => head = Some(answered),
                PullPart::Config(part) => append_config_part(&mut config, part),
                PullPart::List(part) => append_list_part(&mut list, part),
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
            self.record_platform_age(head, now);
        }
        if let Some(delta) = config {
            self.accept_config_delta(delta, now);
        }
        if let Some(delta) = list {
            self.accept_list_delta(delta, now);
        }
        // Arrivals are handled after the list: it resolves their zones and shows which of them are
        // already listed.
        for event in arrivals {
            self.accept_event(MemberEvent::Arrival(event), now);
        }
        self.check_ready(now);
    }

    /// Records that a pull failed.
    pub fn pull_failed(&mut self, from: AgentAddress, _now: Moment) {
        self.end_pull(from);
        self.record_peer_failure(from);
    }

    pub(super) fn list_pull_interval(&self) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let rows = self.list.rows().len() as f64 / LIST_PULL_ROWS_PER_SECOND as f64;
        LIST_PULL_INTERVAL + Duration::from_secs_f64(rows)
    }

    /// Requests newer tables from a peer, unless a pull is in flight.
    pub(super) fn pull(&mut self, from: AgentAddress, priority: SendPriority, now: Moment) {
        if self.spread.pull.is_some() || from == self.settings.control {
            return;
        }
        let known = self.config.head().revision > 0 && self.list.head().revision > 0;
        if self.ready && known && !self.spread.pull_full {
            self.ask(from, priority, now);
        } else {
            self.pull_by_stream(from, priority, now);
        }
    }

    fn request(&mut self) -> PullRequest {
        let full = std::mem::take(&mut self.spread.pull_full);
        let known = |revision| if full { 0 } else { revision };
        PullRequest {
            sender: self.settings.control,
            config: known(self.config.head().revision),
            list: known(self.list.head().revision),
            departures: self.spread.want_departures,
        }
    }

    fn start_pull(&mut self, from: AgentAddress, by_datagram: bool, now: Moment) {
        let since = now;
        self.spread.pull = Some(PullState {
            from,
            since,
            by_datagram,
        });
        self.spread.last_list_pull = Some(now);
    }

    fn ask(&mut self, from: AgentAddress, priority: SendPriority, now: Moment) {
        let request = self.request();
        self.start_pull(from, true, now);
        self.send(from, MemberMessage::Ask(request), priority, now);
    }

    pub(super) fn pull_by_stream(
        &mut self,
        from: AgentAddress,
        priority: SendPriority,
        now: Moment,
    ) {
        let bytes = STREAM_OVERHEAD_BYTES + FRAME_OVERHEAD_BYTES;
        if !self.budget.try_spend(bytes, priority, now) {
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
        // `answer_pull` has already charged these bytes to the budget.
        self.actions.push(MemberAction::Send {
            to: request.sender,
            message: MemberMessage::Answer {
                sender: self.settings.control,
                parts,
            },
        });
    }

    pub(super) fn accept_datagram_answer(
        &mut self,
        from: AgentAddress,
        parts: Vec<PullPart>,
        now: Moment,
    ) {
        let expected = |pull: &PullState| pull.by_datagram && pull.from == from;
        if !self.spread.pull.as_ref().is_some_and(expected) {
            return;
        }
        if parts.is_empty() {
            self.pull_by_stream(from, SendPriority::Change, now);
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
            Ok(ConfigOutcome::Applied(changes)) => self.apply_config(&changes, now),
            Ok(ConfigOutcome::Unchanged) | Err(ConfigError::Lower { .. }) => {}
            Err(ConfigError::Conflict { .. }) => self.handle_conflict(revision, now),
            Err(error) => {
                self.spread.pull_full = true;
                self.notify(MemberNotice::ConfigRefused(error));
            }
        }
    }

    fn accept_list_delta(&mut self, delta: ListDelta, now: Moment) {
        match self.list.offer_delta(delta) {
            Ok(changes) => self.apply_list(&changes, now),
            Err(TableError::NotNewer { .. }) => {}
            Err(error) => {
                self.spread.pull_full = true;
                self.notify(MemberNotice::ListRefused(error));
            }
        }
    }

    /// Handles two different contents under one revision: keeps the first and reads from the
    /// platform.
    pub(super) fn handle_conflict(&mut self, revision: u64, now: Moment) {
        let throttled = self
            .spread
            .last_conflict
            .is_some_and(|last| now.since(last) < CONFLICT_READ_INTERVAL);
        if throttled {
            return;
        }
        self.spread.last_conflict = Some(now);
        let error = ConfigError::Conflict { revision };
        self.notify(MemberNotice::ConfigRefused(error));
        self.request_config(now);
    }
}

/// Appends a part to the parts received before it.
fn append_config_part(merged: &mut Option<ConfigDelta>, part: ConfigDelta) {
    match merged {
        Some(held) => held.append(part),
        None => *merged = Some(part),
    }
}

fn append_list_part(merged: &mut Option<ListDelta>, part: ListDelta) {
    let Some(held) = merged else {
        *merged = Some(part);
        return;
    };
    held.table.append(part.table);
    for zone in part.zones {
        if !held.zones.contains(&zone) {
            held.zones.push(zone);
        }
    }
}
