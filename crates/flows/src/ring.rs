//! The targets of one service, and which of them a flow may live at.
//!
//! Every target has a point on a ring, and so has every flow. A new flow is placed at one of the
//! [`PLACES`] targets that follow its point; which one, load decides. So a balancer that has
//! never heard of a flow need not ask everybody: it walks those few, the same in every process
//! whose view is the same, and a target that comes or goes shifts them by one.
//!
//! ```text
//! ring:  t4 . . flow . t1 . t7 . t2 . t9 . t3 . t8
//!                      \____________/  places of a new flow
//!                      \_______________________/  candidates: who is asked for it
//! ```

use std::hash::Hasher;

use lovagelatch_catalog::TargetStart;
use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use crate::view::ZoneIndex;

/// How many targets a new flow may be placed at. Enough that the best of them by load is about as
/// good as the best of all.
pub const PLACES: usize = 10;

/// How many targets are asked for an unknown flow: so many more than it may be placed at that some
/// may have joined in between since.
pub const CANDIDATES: usize = 16;

/// Fixed keys of [`TargetKey`]: every process must compute the same number.
const TARGET_KEYS: (u64, u64) = (0x7461_7267_6574, 0x6b65_7900);

/// A number for one start of one backend server, and its point on the ring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u64);

impl TargetKey {
    /// The number of a start of the target with this name. Another start under the same name is
    /// another target: it holds nothing of the former one's flows, and is slow again.
    #[must_use]
    pub fn of(name: &str, start: TargetStart) -> Self {
        let mut hasher = SipHasher13::new_with_keys(TARGET_KEYS.0, TARGET_KEYS.1);
        hasher.write(name.as_bytes());
        if start != TargetStart::default() {
            hasher.write(&start.0.to_be_bytes());
        }
        Self(hasher.finish())
    }
}

/// A number for a name in the store, whichever start of a target it is of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameKey(pub u64);

impl NameKey {
    /// The number of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(TargetKey::of(name, TargetStart::default()).0)
    }
}

/// Whether a target may be given new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowStanding {
    /// It may.
    Serving,
    /// Its entry vanished while the store had trouble, which proves nothing yet.
    Lapsed,
    /// Its entry cannot be read: it is no target to use, and may live all the same.
    Unreadable,
    /// It has announced that it will stop, or is gone; it may still hold flows.
    Leaving,
}

/// One target of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowTarget {
    /// Its number.
    pub key: TargetKey,
    /// The number of its name.
    pub name: NameKey,
    /// The agent beside it.
    pub agent: AgentAddress,
    /// Its service.
    pub service: ServiceId,
    /// Whether the store lists it.
    pub listed: bool,
    /// Its zone.
    pub zone: ZoneIndex,
    /// How many requests it runs at once. Invariant: at least 1.
    pub slots: u16,
    /// Whether it may be given new flows.
    pub standing: FlowStanding,
    /// When the standing was last changed, or the target first seen.
    pub since: Moment,
    /// How long it was to be slow still, in milliseconds, by the record that was taken last.
    pub warming_ms: u32,
    /// Until when it is slow after its start.
    pub warm_at: Moment,
}

impl FlowTarget {
    /// Whether the store leaves it open that the target lives: it lists it, or has an entry that cannot
    /// be read, or lost the entry in its own trouble. Then the silence of its agent is no proof.
    #[must_use]
    pub fn may_live(&self) -> bool {
        let doubtful = matches!(
            self.standing,
            FlowStanding::Lapsed | FlowStanding::Unreadable
        );
        self.listed || doubtful
    }
}

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceTargets {
    /// Invariant: sorted by key.
    targets: Box<[FlowTarget]>,
}

impl ServiceTargets {
    /// A ring of these targets.
    #[must_use]
    pub fn new(mut targets: Vec<FlowTarget>) -> Self {
        targets.sort_by_key(|target| target.key);
        targets.dedup_by_key(|target| target.key);
        Self {
            targets: targets.into_boxed_slice(),
        }
    }

    /// All of them, in the ring's order.
    #[must_use]
    pub fn targets(&self) -> &[FlowTarget] {
        &self.targets
    }

    /// The target with this number.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> Option<&FlowTarget> {
        let at = self.targets.binary_search_by_key(&key, |target| target.key);
        at.ok().map(|at| &self.targets[at])
    }

    /// The targets that are asked for a flow, nearest on the ring first; the first [`PLACES`] are
    /// those that it may be placed at.
    #[must_use]
    pub fn candidates(&self, point: u64) -> SmallVec<[&FlowTarget; CANDIDATES]> {
        self.following(point).take(CANDIDATES).collect()
    }

    /// All targets, nearest on the ring first.
    pub(crate) fn following(&self, point: u64) -> impl Iterator<Item = &FlowTarget> {
        let first = self.targets.partition_point(|target| target.key.0 < point);
        let (before, after) = self.targets.split_at(first);
        after.iter().chain(before)
    }
}
