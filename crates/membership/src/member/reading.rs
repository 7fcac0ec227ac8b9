//! Reads from the platform: at startup, while elected as a reader, and after a conflict or pause.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, ConfigRevision, InstanceList, Moment};
use rand::Rng;
use smallvec::SmallVec;

use super::FleetMember;
use crate::action::{MemberAction, MemberNotice, PlatformCall};
use crate::budget::SendPriority;
use crate::config::{ConfigError, ConfigOutcome};
use crate::election::{epoch_at, is_reader};
use crate::message::GossipHead;

/// How long a starting process waits for [`JOIN_PEERS`] answers before fewer are sufficient.
const JOIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers that a starting process asks and waits for before it serves, up to [`JOIN_TIMEOUT`].
const JOIN_PEERS: usize = 3;

/// Initial backoff after a failed platform call; doubles with each failure.
const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Upper bound of the backoff after failed platform calls.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(8);

/// Timeout of a platform call.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Retry state of one kind of platform call.
#[derive(Clone, Copy, Debug, Default)]
struct CallState {
    /// When the call in flight was started; `None` if there is none.
    in_flight_since: Option<Moment>,
    /// Earliest time of the next call.
    not_before: Moment,
    failures: u32,
}

impl CallState {
    fn is_due(&self, now: Moment) -> bool {
        let timed_out = |since: Moment| now.since(since) >= CALL_TIMEOUT;
        self.in_flight_since.is_none_or(timed_out) && now >= self.not_before
    }

    fn succeed(&mut self, not_before: Moment) {
        self.in_flight_since = None;
        self.failures = 0;
        self.not_before = not_before;
    }

    fn fail(&mut self, jitter: f64, now: Moment) {
        self.in_flight_since = None;
        self.failures = self.failures.saturating_add(1);
        let backoff = RETRY_BACKOFF * 2_u32.saturating_pow(self.failures.min(8) - 1);
        self.not_before = now + backoff.min(MAX_RETRY_BACKOFF).mul_f64(jitter);
    }
}

/// State of platform reads, and of the join after a start or pause.
#[derive(Clone, Debug)]
pub(super) struct ReadingState {
    started: Moment,
    /// When the platform last answered, either this process or the peer that reported it.
    platform_last_heard: Option<Moment>,
    config_call: CallState,
    list_call: CallState,
    epoch: Option<u64>,
    is_reader: bool,
    /// Peers asked while joining or resynchronizing, and whether they answered.
    asked_peers: SmallVec<[(AgentAddress, bool); 4]>,
    resyncing: bool,
    /// Whether the platform itself has answered with a configuration since the join started.
    platform_config: bool,
    /// Whether the platform itself has answered with a list that names instances since the join
    /// started. An empty list names nobody who could report a later one, so it is read again.
    platform_list: bool,
}

impl ReadingState {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            started: now,
            platform_last_heard: None,
            config_call: CallState::default(),
            list_call: CallState::default(),
            epoch: None,
            is_reader: false,
            asked_peers: SmallVec::new(),
            resyncing: false,
            platform_config: false,
            platform_list: false,
        }
    }

    pub(super) fn platform_age(&self, now: Moment) -> u16 {
        let Some(heard) = self.platform_last_heard else {
            return u16::MAX;
        };
        u16::try_from(now.since(heard).as_secs()).unwrap_or(u16::MAX)
    }

    pub(super) fn is_reader(&self) -> bool {
        self.is_reader
    }
}

impl FleetMember {
    /// Handles a configuration read from the platform.
    pub fn accept_config(&mut self, revision: ConfigRevision, text: &str, now: Moment) {
        self.reading.platform_last_heard = Some(now);
        self.reading.platform_config = true;
        self.reading.config_call.succeed(now);
        match self.config.offer_text(revision, text) {
            Ok(ConfigOutcome::Applied(changes)) => self.apply_config(&changes, now),
            Ok(ConfigOutcome::Unchanged) => {}
            Err(error) => {
                // A stale platform replica answers immediately; without a delay the reads would
                // spin.
                if matches!(
                    error,
                    ConfigError::Lower { .. } | ConfigError::Conflict { .. }
                ) {
                    self.reading.config_call.not_before = now + RETRY_BACKOFF;
                }
                self.notify(MemberNotice::ConfigRefused(error));
            }
        }
        self.check_ready(now);
    }

    /// Records that a watch ended without a newer configuration.
    pub fn config_unchanged(&mut self, now: Moment) {
        self.reading.platform_last_heard = Some(now);
        self.reading.config_call.succeed(now);
    }

    /// Handles an instance list read from the platform.
    pub fn accept_instances(&mut self, list: &InstanceList, now: Moment) {
        self.reading.platform_last_heard = Some(now);
        self.reading
            .list_call
            .succeed(now + self.settings.list_poll);
        self.reading.platform_list |= !list.targets.is_empty() || !list.balancers.is_empty();
        match self.list.offer_list(list) {
            Ok(changes) => {
                if !changes.is_empty() || self.view.list_revision() != self.list.revision() {
                    self.apply_list(&changes, now);
                }
            }
            Err(error) => self.notify(MemberNotice::ListRefused(error)),
        }
        self.check_ready(now);
    }

    /// Records that a platform call failed.
    pub fn platform_failed(&mut self, call: PlatformCall, now: Moment) {
        let jitter = self.rng.random_range(0.5..1.0);
        match call {
            PlatformCall::ReadInstances => self.reading.list_call.fail(jitter, now),
            _ => self.reading.config_call.fail(jitter, now),
        }
    }

    /// Reads from the platform and pulls from peers again, as after a start.
    pub fn resync(&mut self, now: Moment) {
        self.restart_join(now);
    }

    pub(super) fn advance_reading(&mut self, now: Moment) {
        self.update_reader_role(now);
        let starting = !self.ready || self.reading.resyncing;
        let reader = self.reading.is_reader;
        // A process that is not a reader reads once. With no configuration in force it watches for
        // the first one.
        let lacks_config = !self.reading.platform_config || self.config.head().revision == 0;
        if (reader || (starting && lacks_config)) && self.reading.config_call.is_due(now) {
            self.request_next_config(now);
        }
        let lacks_list = !self.reading.platform_list;
        if (reader || (starting && lacks_list)) && self.reading.list_call.is_due(now) {
            self.reading.list_call.in_flight_since = Some(now);
            let call = PlatformCall::ReadInstances;
            self.actions.push(MemberAction::Platform(call));
        }
        if starting {
            self.pull_from_next_peer(now);
        }
    }

    /// Reads the configuration once, whether or not this process is a reader.
    pub(super) fn request_config(&mut self, now: Moment) {
        self.reading.config_call.in_flight_since = Some(now);
        let call = PlatformCall::ReadConfig;
        self.actions.push(MemberAction::Platform(call));
    }

    /// Repeats the join of a starting process, but stays ready.
    pub(super) fn restart_join(&mut self, now: Moment) {
        self.reading.started = now;
        self.reading.asked_peers.clear();
        self.reading.resyncing = true;
        self.reading.config_call = CallState::default();
        self.reading.list_call = CallState::default();
        self.reading.platform_config = false;
        self.reading.platform_list = false;
        self.spread.want_departures = true;
    }

    fn request_next_config(&mut self, now: Moment) {
        // The first call is a read, which returns immediately. A watch would block until the next
        // change, which may never come.
        if !self.reading.platform_config {
            self.request_config(now);
            return;
        }
        self.reading.config_call.in_flight_since = Some(now);
        let call = PlatformCall::WatchConfig(self.config.evaluated());
        self.actions.push(MemberAction::Platform(call));
    }

    fn update_reader_role(&mut self, now: Moment) {
        let since_unix = self.settings.unix_start + now.since(Moment::ZERO);
        let epoch = epoch_at(since_unix);
        if self.list.rows().is_empty() || self.reading.epoch == Some(epoch) {
            return;
        }
        self.reading.epoch = Some(epoch);
        let rows = self.list.rows();
        self.reading.is_reader = is_reader(self.settings.control, self.zone, rows, epoch);
    }

    fn pull_from_next_peer(&mut self, now: Moment) {
        if self.is_pulling() || self.reading.asked_peers.len() >= JOIN_PEERS {
            return;
        }
        let asked: SmallVec<[AgentAddress; 4]> = self
            .reading
            .asked_peers
            .iter()
            .map(|&(peer, _)| peer)
            .collect();
        let Some(peer) = self.pick_peer_in_other_zone(&asked) else {
            return;
        };
        self.pull(peer, SendPriority::Change, now);
        if self.is_pulling() {
            self.reading.asked_peers.push((peer, false));
        }
    }

    pub(super) fn record_peer_answer(&mut self, peer: AgentAddress) {
        let asked = &mut self.reading.asked_peers;
        if let Some(entry) = asked.iter_mut().find(|(asked, _)| *asked == peer) {
            entry.1 = true;
        } else if asked.len() < JOIN_PEERS {
            asked.push((peer, true));
        }
    }

    pub(super) fn record_peer_failure(&mut self, peer: AgentAddress) {
        // While no configuration is known, an unresponsive peer may be asked again: it may still be
        // starting.
        if !self.ready && self.config.head().revision == 0 {
            self.reading.asked_peers.retain(|(asked, _)| *asked != peer);
        }
    }

    pub(super) fn record_platform_age(&mut self, head: &GossipHead, now: Moment) {
        if head.platform_age == u16::MAX {
            return;
        }
        let heard = now - Duration::from_secs(u64::from(head.platform_age));
        self.reading.platform_last_heard = self.reading.platform_last_heard.max(Some(heard));
    }

    /// Ends joining or resynchronizing once enough sources have answered.
    ///
    /// The platform alone is not sufficient: it may be stale, and a starting process that relied on
    /// it would route by a configuration that the rest of the fleet has already replaced.
    pub(super) fn check_ready(&mut self, now: Moment) {
        if self.ready && !self.reading.resyncing {
            return;
        }
        if self.config.head().revision == 0 || self.list.head().revision == 0 {
            return;
        }
        let answers = self
            .reading
            .asked_peers
            .iter()
            .filter(|(_, ok)| *ok)
            .count();
        let timed_out = now.since(self.reading.started) >= JOIN_TIMEOUT;
        if answers < JOIN_PEERS && !timed_out {
            return;
        }
        // Without an answer from the platform, at least one peer must have answered since the
        // start.
        if !self.reading.platform_config && answers == 0 {
            return;
        }
        self.reading.resyncing = false;
        if !self.ready {
            self.ready = true;
            self.notify(MemberNotice::Ready);
        }
    }
}
