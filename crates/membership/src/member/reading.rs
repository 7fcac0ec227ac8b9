//! Reading the platform: at the start, while drawn as a reader, and after a conflict or pause.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, ConfigRevision, InstanceList, Moment};
use rand::Rng;
use smallvec::SmallVec;

use super::FleetMember;
use crate::action::{MemberAction, MemberNotice, PlatformCall};
use crate::budget::SendUrgency;
use crate::config::{ConfigError, ConfigVerdict};
use crate::lot::{epoch_at, is_reader};
use crate::message::GossipHead;

/// How long a fresh process waits for peers after it knows a configuration.
const JOIN_WAIT: Duration = Duration::from_secs(1);

/// Peers that a fresh process hears before it serves, if there are that many.
const JOIN_PEERS: usize = 3;

/// First wait after a failed call to the platform; it doubles with each failure.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Longest wait after a failed call to the platform.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(8);

/// A call that was not answered for this long is taken for failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// The state of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
struct CallState {
    /// Since when a call is under way.
    waiting: Option<Moment>,
    /// No call before this.
    next: Moment,
    failures: u32,
}

impl CallState {
    fn is_due(&self, now: Moment) -> bool {
        let stuck = |since: Moment| now.since(since) >= CALL_TIMEOUT;
        self.waiting.is_none_or(stuck) && now >= self.next
    }

    fn succeed(&mut self, next: Moment) {
        self.waiting = None;
        self.failures = 0;
        self.next = next;
    }

    fn fail(&mut self, share: f64, now: Moment) {
        self.waiting = None;
        self.failures = self.failures.saturating_add(1);
        let wait = RETRY_WAIT * 2_u32.saturating_pow(self.failures.min(8) - 1);
        self.next = now + wait.min(MAX_RETRY_WAIT).mul_f64(share);
    }
}

/// What is known of the platform, and the calls under way.
#[derive(Clone, Debug)]
pub(super) struct ReadingState {
    started: Moment,
    /// When the platform last spoke, to us or to whom we heard it from.
    platform_heard: Option<Moment>,
    config_call: CallState,
    list_call: CallState,
    epoch: Option<u64>,
    is_reader: bool,
    /// Peers asked while joining or rechecking, and whether they answered.
    asked: SmallVec<[(AgentAddress, bool); 4]>,
    rechecking: bool,
    /// Answers that were taken from the platform itself.
    platform_config: bool,
    platform_list: bool,
}

impl ReadingState {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            started: now,
            platform_heard: None,
            config_call: CallState::default(),
            list_call: CallState::default(),
            epoch: None,
            is_reader: false,
            asked: SmallVec::new(),
            rechecking: false,
            platform_config: false,
            platform_list: false,
        }
    }

    pub(super) fn platform_age(&self, now: Moment) -> u16 {
        let Some(heard) = self.platform_heard else {
            return u16::MAX;
        };
        u16::try_from(now.since(heard).as_secs()).unwrap_or(u16::MAX)
    }

    pub(super) fn is_reader(&self) -> bool {
        self.is_reader
    }
}

impl FleetMember {
    /// Takes what the platform answered about the configuration.
    pub fn accept_config(&mut self, revision: ConfigRevision, text: &str, now: Moment) {
        self.reading.platform_heard = Some(now);
        self.reading.platform_config = true;
        self.reading.config_call.succeed(now);
        match self.config.offer_text(revision, text) {
            Ok(ConfigVerdict::Taken(changes)) => self.apply_config(&changes, now),
            Ok(ConfigVerdict::Known) => {}
            Err(error) => {
                // A stale replica answers at once; asking it again at once would spin.
                if matches!(
                    error,
                    ConfigError::Lower { .. } | ConfigError::Conflict { .. }
                ) {
                    self.reading.config_call.next = now + RETRY_WAIT;
                }
                self.notice(MemberNotice::ConfigRefused(error));
            }
        }
        self.check_ready(now);
    }

    /// Notes that a watch ended without a newer configuration.
    pub fn config_unchanged(&mut self, now: Moment) {
        self.reading.platform_heard = Some(now);
        self.reading.config_call.succeed(now);
    }

    /// Takes what the platform answered about the instances.
    pub fn accept_instances(&mut self, list: &InstanceList, now: Moment) {
        self.reading.platform_heard = Some(now);
        self.reading
            .list_call
            .succeed(now + self.settings.list_poll);
        match self.list.offer_list(list) {
            Ok(changes) => {
                if !changes.is_empty() || self.view.list_revision() != self.list.revision() {
                    self.apply_list(&changes, now);
                }
            }
            Err(error) => self.notice(MemberNotice::ListRefused(error)),
        }
        self.check_ready(now);
    }

    /// Notes that a call to the platform brought nothing.
    pub fn platform_failed(&mut self, call: PlatformCall, now: Moment) {
        let share = self.rng.random_range(0.5..1.0);
        match call {
            PlatformCall::ReadInstances => self.reading.list_call.fail(share, now),
            _ => self.reading.config_call.fail(share, now),
        }
    }

    /// Asks the platform and peers again soon.
    pub fn refresh_soon(&mut self, now: Moment) {
        self.ask_everybody_again(now);
    }

    pub(super) fn advance_reading(&mut self, now: Moment) {
        self.draw_lot(now);
        let starting = !self.ready || self.reading.rechecking;
        let reader = self.reading.is_reader;
        // A process that is no reader asks once; with nothing in force it waits on a watch.
        let lacks_config = !self.reading.platform_config || self.config.head().revision == 0;
        if (reader || (starting && lacks_config)) && self.reading.config_call.is_due(now) {
            self.call_config(now);
        }
        let lacks_list = !self.reading.platform_list;
        if (reader || (starting && lacks_list)) && self.reading.list_call.is_due(now) {
            self.reading.list_call.waiting = Some(now);
            let call = PlatformCall::ReadInstances;
            self.actions.push(MemberAction::Platform(call));
        }
        if starting {
            self.ask_next_peer(now);
        }
    }

    /// Reads the configuration once, reader or not.
    pub(super) fn read_config_once(&mut self, now: Moment) {
        self.reading.config_call.waiting = Some(now);
        let call = PlatformCall::ReadConfig;
        self.actions.push(MemberAction::Platform(call));
    }

    /// Starts over as a fresh process does, but stays ready.
    pub(super) fn ask_everybody_again(&mut self, now: Moment) {
        self.reading.started = now;
        self.reading.asked.clear();
        self.reading.rechecking = true;
        self.reading.config_call = CallState::default();
        self.reading.list_call = CallState::default();
        self.reading.platform_config = false;
        self.reading.platform_list = false;
        self.spread.want_departures = true;
    }

    fn call_config(&mut self, now: Moment) {
        // The first read returns at once; a watch would wait for what may never change.
        if !self.reading.platform_config {
            self.read_config_once(now);
            return;
        }
        self.reading.config_call.waiting = Some(now);
        let call = PlatformCall::WatchConfig(self.config.judged());
        self.actions.push(MemberAction::Platform(call));
    }

    fn draw_lot(&mut self, now: Moment) {
        let since_unix = self.settings.unix_start + now.since(Moment::ZERO);
        let epoch = epoch_at(since_unix);
        if self.list.rows().is_empty() || self.reading.epoch == Some(epoch) {
            return;
        }
        self.reading.epoch = Some(epoch);
        let rows = self.list.rows();
        self.reading.is_reader = is_reader(self.settings.own, self.zone, rows, epoch);
    }

    fn ask_next_peer(&mut self, now: Moment) {
        if self.is_pulling() || self.reading.asked.len() >= JOIN_PEERS {
            return;
        }
        let asked: SmallVec<[AgentAddress; 4]> =
            self.reading.asked.iter().map(|&(peer, _)| peer).collect();
        let Some(peer) = self.pick_far_peer(&asked) else {
            return;
        };
        self.pull(peer, SendUrgency::Change, now);
        if self.is_pulling() {
            self.reading.asked.push((peer, false));
        }
    }

    pub(super) fn note_peer_answer(&mut self, peer: AgentAddress) {
        let asked = &mut self.reading.asked;
        if let Some(entry) = asked.iter_mut().find(|(asked, _)| *asked == peer) {
            entry.1 = true;
        } else if asked.len() < JOIN_PEERS {
            asked.push((peer, true));
        }
    }

    pub(super) fn note_peer_failure(&mut self, peer: AgentAddress) {
        // While nothing is known a silent peer may be asked again; it may still be starting.
        if !self.ready && self.config.head().revision == 0 {
            self.reading.asked.retain(|(asked, _)| *asked != peer);
        }
    }

    pub(super) fn note_platform_age(&mut self, head: &GossipHead, now: Moment) {
        if head.platform_age == u16::MAX {
            return;
        }
        let heard = now - Duration::from_secs(u64::from(head.platform_age));
        self.reading.platform_heard = self.reading.platform_heard.max(Some(heard));
    }

    /// Ends joining or rechecking when enough was heard.
    ///
    /// What goes wrong without the peers: the platform may be stale, and a fresh process that
    /// took its word alone would route by a configuration that everybody else left behind.
    pub(super) fn check_ready(&mut self, now: Moment) {
        if self.ready && !self.reading.rechecking {
            return;
        }
        let list_known = self.reading.platform_list || self.list.head().revision > 0;
        if self.config.head().revision == 0 || !list_known {
            return;
        }
        let answers = self.reading.asked.iter().filter(|(_, ok)| *ok).count();
        let waited = now.since(self.reading.started) >= JOIN_WAIT;
        if answers < JOIN_PEERS && !waited {
            return;
        }
        // Without the platform, one peer at least must have answered since the start.
        if !self.reading.platform_config && answers == 0 {
            return;
        }
        self.reading.rechecking = false;
        if !self.ready {
            self.ready = true;
            self.notice(MemberNotice::Ready);
        }
    }
}
