//! Tracks whether a view includes every live target.
//!
//! A search without a result proves that a flow is lost only if every target that could hold it was
//! queried. A balancer whose view lacks a live target would reset that target's open flows.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use lovagelatch_catalog::RECOVERY_WINDOW;
use lovagelatch_domain::Moment;
use serde::Serialize;

use crate::ring::NameKey;

/// How long after the last store failure a missing entry is considered lapsed rather than removed.
/// The entry of a target expires three heartbeats (3.6 s) after its last write, and a live target
/// restores its entry within 2 s after the store recovers.
const STORE_FAILURE_WINDOW: Duration = Duration::from_secs(6);

/// How long an entry that vanished around a store failure may belong to a live target.
const LAPSE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an unreadable entry may belong to a live target. A live target rewrites its entry with
/// every heartbeat (1.2 s), and the store considers a target gone after three missed heartbeats. An
/// entry that stays unreadable for longer belongs to another writer. Without this limit, a single
/// such entry prevented every lost flow from being reported for as long as it existed.
pub(super) const UNREADABLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a view may lack a live target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DoubtReason {
    /// The process has just started, and no other process has informed it of store failures yet.
    NotInformed,
    /// The store is failing or failed recently: entries of live targets may have expired.
    StoreTrouble,
    /// The store has been restored from a copy, and no process knows that this happened long ago:
    /// entries of live targets may be missing from the copy.
    RestorePossible,
    /// An unreadable entry may belong to a live target.
    UnreadableEntry,
}

impl DoubtReason {
    /// Returns the reason as it is logged.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotInformed => "not informed",
            Self::StoreTrouble => "store trouble",
            Self::RestorePossible => "restore possible",
            Self::UnreadableEntry => "unreadable entry",
        }
    }
}

/// Whether a view includes every live target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewCoverage {
    /// The view includes every live target: a flow that none of them holds is lost.
    Complete,
    /// The view may lack a live target.
    Doubtful(DoubtReason),
}

impl Default for ViewCoverage {
    /// Returns the coverage of a view that has not been confirmed.
    fn default() -> Self {
        Self::Doubtful(DoubtReason::NotInformed)
    }
}

/// Tracks the conditions under which a view may lack a live target.
#[derive(Clone, Debug)]
pub(super) struct CoverageTracker {
    /// The time of the last known store failure.
    last_failure: Option<Moment>,
    /// When the store first answered after that failure, if it has.
    recovered_at: Option<Moment>,
    /// Whether this process would know of store failures before its start.
    informed: bool,
    /// Until when the list may be that of a copy from which the store has just been restored.
    restore_possible_until: Option<Moment>,
    /// Unreadable entries. If the target's address is unknown, holds the time when the entry was
    /// first seen: until [`UNREADABLE_TIMEOUT`] has passed it may belong to a live target.
    unreadable: HashMap<NameKey, Option<Moment>>,
}

impl CoverageTracker {
    pub(super) fn new() -> Self {
        Self {
            last_failure: None,
            recovered_at: None,
            informed: true,
            restore_possible_until: None,
            unreadable: HashMap::new(),
        }
    }

    pub(super) fn record_store_failure(&mut self, at: Moment) {
        self.last_failure = Some(self.last_failure.map_or(at, |known| known.max(at)));
    }

    pub(super) fn set_store_recovered_at(&mut self, recovered_at: Option<Moment>) {
        self.recovered_at = recovered_at;
    }

    pub(super) fn set_restore_possible_until(&mut self, until: Option<Moment>) {
        self.restore_possible_until = until;
    }

    pub(super) fn set_informed(&mut self, informed: bool) {
        self.informed = informed;
    }

    /// Records an unreadable entry. It causes no doubt if the target's address is known, because a
    /// search then queries the target's agent.
    pub(super) fn record_unreadable(&mut self, name: NameKey, is_located: bool, now: Moment) {
        let since = (!is_located).then_some(now);
        self.unreadable.entry(name).or_insert(since);
    }

    /// Removes an entry that has become readable or was deleted.
    pub(super) fn clear_unreadable(&mut self, name: NameKey) {
        self.unreadable.remove(&name);
    }

    /// Removes all unreadable entries except these.
    pub(super) fn retain_unreadable(&mut self, names: &HashSet<NameKey>) {
        self.unreadable.retain(|name, _| names.contains(name));
    }

    /// Returns whether an entry that vanishes now may belong to a live target.
    pub(super) fn has_recent_failure(&self, now: Moment) -> bool {
        self.last_failure
            .is_some_and(|at| now.since(at) < STORE_FAILURE_WINDOW)
    }

    /// Returns whether live targets may still be about to restore their entries after a store
    /// failure.
    pub(super) fn is_recovering(&self, now: Moment) -> bool {
        let recovered = self
            .recovered_at
            .is_some_and(|at| now.since(at) >= RECOVERY_WINDOW);
        self.has_recent_failure(now) && !recovered
    }

    /// Returns until when a live target whose entry vanished at `since` may be missing from the
    /// list.
    pub(super) fn lapse_end(&self, since: Moment) -> Moment {
        let end = since + LAPSE_TIMEOUT;
        let relisted = self.recovered_at.map(|at| at + RECOVERY_WINDOW);
        match relisted.filter(|relisted| since < *relisted) {
            Some(relisted) => end.min(relisted),
            None => end,
        }
    }

    /// Returns when the coverage may next change by the passage of time alone.
    pub(super) fn next_change(&self, now: Moment) -> Option<Moment> {
        let failure = self.last_failure.map(|at| at + STORE_FAILURE_WINDOW);
        let recovery = self.recovered_at.map(|at| at + RECOVERY_WINDOW);
        let unlocated = self.unreadable.values().flatten();
        let timeouts = unlocated.map(|&since| since + UNREADABLE_TIMEOUT);
        let changes = failure.into_iter().chain(recovery).chain(timeouts);
        let changes = changes.chain(self.restore_possible_until);
        changes.filter(|at| *at > now).min()
    }

    /// Returns whether every live target is known, and if not, why.
    pub(super) fn coverage(&self, now: Moment) -> ViewCoverage {
        if !self.informed {
            return ViewCoverage::Doubtful(DoubtReason::NotInformed);
        }
        if self.is_recovering(now) {
            return ViewCoverage::Doubtful(DoubtReason::StoreTrouble);
        }
        if self.restore_possible_until.is_some_and(|until| now < until) {
            return ViewCoverage::Doubtful(DoubtReason::RestorePossible);
        }
        let mut unlocated = self.unreadable.values().flatten();
        if unlocated.any(|&since| now.since(since) < UNREADABLE_TIMEOUT) {
            return ViewCoverage::Doubtful(DoubtReason::UnreadableEntry);
        }
        ViewCoverage::Complete
    }
}
