//! What speaks against taking a view for complete.
//!
//! What goes wrong without it: a search that found nobody is proof that a flow is lost only if everybody
//! who could hold it was asked. A balancer whose view lacks a living target would reset that target's
//! open flows.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use lovagelatch_catalog::RECOVERY_WINDOW;
use lovagelatch_domain::Moment;
use serde::Serialize;

use crate::ring::NameKey;

/// How long after the store's last trouble a vanished entry is taken for a lapse: a target's
/// entry ends three heartbeats (3.6 s) after its last write, and a live one is back 2 s after the
/// store is.
const TROUBLE_SPAN: Duration = Duration::from_secs(6);

/// How long an entry that vanished around the store's trouble may be a living target's.
const LAPSE_SPAN: Duration = Duration::from_secs(2);

/// How long an entry that cannot be read may stand for a target that lives. A living target writes its
/// entry anew with every heartbeat (1.2 s), so what stands for three of them, after which the store
/// itself takes a silent target for gone, is another writer's. Without the bound one such entry kept
/// every lost flow from being told, for as long as it stood.
pub(super) const UNREADABLE_SPAN: Duration = Duration::from_secs(4);

/// Why a view may lack a living target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewDoubt {
    /// The process has just started, and no other has told it whether the store had trouble.
    NotInformed,
    /// The store is or was in trouble: entries of living targets may have expired.
    StoreTrouble,
    /// An entry that cannot be read may be a living target's.
    UnreadableEntry,
}

impl ViewDoubt {
    /// The reason as logs say it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotInformed => "not informed",
            Self::StoreTrouble => "store trouble",
            Self::UnreadableEntry => "unreadable entry",
        }
    }
}

/// Whether every living target is in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ViewCoverage {
    /// It is: a flow that nobody in the view holds is lost.
    Complete,
    /// It may not be.
    Doubtful(ViewDoubt),
}

impl Default for ViewCoverage {
    /// A view that nobody has vouched for proves nothing.
    fn default() -> Self {
        Self::Doubtful(ViewDoubt::NotInformed)
    }
}

/// What is known of the reasons for doubt.
#[derive(Clone, Debug)]
pub(super) struct DoubtRecord {
    /// When the store was last known to be in trouble.
    trouble: Option<Moment>,
    /// When it first answered after that, if it has.
    returned: Option<Moment>,
    /// Whether trouble from before this process's start would be known.
    informed: bool,
    /// Entries that cannot be read. Where the target's place was not known then, with when it was
    /// first seen: until [`UNREADABLE_SPAN`] has passed a living target may be behind it.
    unreadable: HashMap<NameKey, Option<Moment>>,
}

impl DoubtRecord {
    pub(super) fn new() -> Self {
        Self {
            trouble: None,
            returned: None,
            informed: true,
            unreadable: HashMap::new(),
        }
    }

    pub(super) fn note_trouble(&mut self, at: Moment) {
        self.trouble = Some(self.trouble.map_or(at, |known| known.max(at)));
    }

    pub(super) fn set_returned(&mut self, returned: Option<Moment>) {
        self.returned = returned;
    }

    pub(super) fn set_informed(&mut self, informed: bool) {
        self.informed = informed;
    }

    /// Notes an entry that cannot be read. Whoever knows where its target is asks it, and needs no doubt.
    pub(super) fn note_unreadable(&mut self, name: NameKey, is_placed: bool, now: Moment) {
        let since = (!is_placed).then_some(now);
        self.unreadable.entry(name).or_insert(since);
    }

    /// The entry can be read, or is gone.
    pub(super) fn forget_unreadable(&mut self, name: NameKey) {
        self.unreadable.remove(&name);
    }

    /// Only these entries cannot be read.
    pub(super) fn retain_unreadable(&mut self, names: &HashSet<NameKey>) {
        self.unreadable.retain(|name, _| names.contains(name));
    }

    /// Whether an entry that vanishes now may be a living target's.
    pub(super) fn is_troubled(&self, now: Moment) -> bool {
        self.trouble.is_some_and(|at| now.since(at) < TROUBLE_SPAN)
    }

    /// Until when a living target whose entry vanished at `since` may be off the list.
    pub(super) fn lapse_end(&self, since: Moment) -> Moment {
        let end = since + LAPSE_SPAN;
        let listed = self.returned.map(|at| at + RECOVERY_WINDOW);
        match listed.filter(|listed| since < *listed) {
            Some(listed) => end.min(listed),
            None => end,
        }
    }

    /// When the coverage next changes by the passing of time.
    pub(super) fn next_change(&self, now: Moment) -> Option<Moment> {
        let trouble = self.trouble.map(|at| at + TROUBLE_SPAN);
        let returned = self.returned.map(|at| at + RECOVERY_WINDOW);
        let unplaced = self.unreadable.values().flatten();
        let readable = unplaced.map(|&since| since + UNREADABLE_SPAN);
        let changes = trouble.into_iter().chain(returned).chain(readable);
        changes.filter(|at| *at > now).min()
    }

    /// Whether every living target is known.
    pub(super) fn coverage(&self, now: Moment) -> ViewCoverage {
        if !self.informed {
            return ViewCoverage::Doubtful(ViewDoubt::NotInformed);
        }
        let back = self
            .returned
            .is_some_and(|at| now.since(at) >= RECOVERY_WINDOW);
        if self.is_troubled(now) && !back {
            return ViewCoverage::Doubtful(ViewDoubt::StoreTrouble);
        }
        let mut unplaced = self.unreadable.values().flatten();
        if unplaced.any(|&since| now.since(since) < UNREADABLE_SPAN) {
            return ViewCoverage::Doubtful(ViewDoubt::UnreadableEntry);
        }
        ViewCoverage::Complete
    }
}
