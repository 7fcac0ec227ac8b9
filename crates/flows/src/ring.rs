//! The targets of one service, and which of them may hold a flow.
//!
//! Every target and every flow has a point on a ring. A new flow is placed at one of the
//! [`PLACEMENT_CANDIDATES`] targets that follow its point, selected by load. A balancer that does
//! not know a flow therefore queries only the few targets after its point instead of all of them.
//! These are the same in every process with the same view, and a target that joins or leaves
//! shifts them by one.
//!
//! ```text
//! ring:  t4 . . flow . t1 . t7 . t2 . t9 . t3 . t8
//!                      \____________/  placement candidates of a new flow
//!                      \_______________________/  search candidates: queried for an unknown flow
//! ```

use std::hash::Hasher;

use lovagelatch_catalog::TargetStart;
use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

use crate::view::ZoneIndex;

/// How many targets a new flow may be placed at: enough that the least loaded of them is about as
/// good as the least loaded of all.
pub const PLACEMENT_CANDIDATES: usize = 10;

/// How many targets are queried for an unknown flow. More than [`PLACEMENT_CANDIDATES`], because
/// targets may have joined between them since the flow was placed.
pub const SEARCH_CANDIDATES: usize = 16;

/// Fixed keys of the [`TargetKey`] hash: every process must compute the same key.
const TARGET_KEYS: (u64, u64) = (0x7461_7267_6574, 0x6b65_7900);

/// The hash that identifies one start of one backend server. It is also its point on the ring.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetKey(pub u64);

impl TargetKey {
    /// Returns the key of one start of the target with this name. After a restart under the same
    /// name it is a different target: it holds none of the previous one's flows and is cold again.
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

/// The hash of a target's name in the store, the same for every start of the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameKey(pub u64);

impl NameKey {
    /// Returns the key of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(TargetKey::of(name, TargetStart::default()).0)
    }
}

/// Whether a target may get new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowStanding {
    /// The target accepts new flows.
    Serving,
    /// Its entry vanished around a store failure, which does not yet prove that it is gone.
    Lapsed,
    /// Its entry cannot be read. The target is unusable, but it may still be alive.
    Unreadable,
    /// It is draining, or it is gone. It may still hold flows.
    Leaving,
}

/// A target in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowTarget {
    /// Identifies this start of the target.
    pub key: TargetKey,
    /// Identifies the target across restarts.
    pub name: NameKey,
    /// The address of the agent beside the target.
    pub agent: AgentAddress,
    /// The service that the target belongs to.
    pub service: ServiceId,
    /// Whether the store lists the target.
    pub listed: bool,
    /// Whether another target has replaced it at its address. It gets no new flows, whatever its
    /// entry says.
    pub superseded: bool,
    /// The target's availability zone.
    pub zone: ZoneIndex,
    /// How many requests the target runs concurrently. Invariant: at least 1.
    pub slots: u16,
    /// Whether the target may get new flows.
    pub standing: FlowStanding,
    /// When the standing last changed, or when the target was first seen.
    pub standing_since: Moment,
    /// The remaining warm-up time, in milliseconds, according to the last record applied.
    pub warming_ms: u32,
    /// When the warm-up after the target's start ends.
    pub warm_at: Moment,
}

impl FlowTarget {
    /// Returns whether the target may be alive according to the store: the store lists it, has an
    /// unreadable entry of it, or lost its entry in a store failure. In that case a silent agent
    /// does not prove that the target is gone.
    #[must_use]
    pub fn may_be_alive(&self) -> bool {
        let doubtful = matches!(
            self.standing,
            FlowStanding::Lapsed | FlowStanding::Unreadable
        );
        self.listed || doubtful
    }
}

/// The targets of one service, arranged on a ring.
#[derive(Clone, Debug, Default)]
pub struct ServiceTargets {
    /// Invariant: sorted by key.
    targets: Box<[FlowTarget]>,
}

impl ServiceTargets {
    /// Creates a ring of these targets.
    #[must_use]
    pub fn new(mut targets: Vec<FlowTarget>) -> Self {
        targets.sort_by_key(|target| target.key);
        targets.dedup_by_key(|target| target.key);
        Self {
            targets: targets.into_boxed_slice(),
        }
    }

    /// Returns all targets, in ring order.
    #[must_use]
    pub fn targets(&self) -> &[FlowTarget] {
        &self.targets
    }

    /// Returns the target with this key.
    #[must_use]
    pub fn target(&self, key: TargetKey) -> Option<&FlowTarget> {
        let at = self.targets.binary_search_by_key(&key, |target| target.key);
        at.ok().map(|at| &self.targets[at])
    }

    /// Sets whether another target has replaced the target with this key.
    pub(crate) fn set_superseded(&mut self, key: TargetKey, superseded: bool) {
        if let Ok(at) = self.targets.binary_search_by_key(&key, |target| target.key) {
            self.targets[at].superseded = superseded;
        }
    }

    /// Returns the targets that are queried for a flow, nearest on the ring first. A new flow may
    /// be placed at the first [`PLACEMENT_CANDIDATES`] of them.
    #[must_use]
    pub fn candidates(&self, point: u64) -> SmallVec<[&FlowTarget; SEARCH_CANDIDATES]> {
        self.clockwise_from(point).take(SEARCH_CANDIDATES).collect()
    }

    /// Returns all targets in ring order, starting with the first one at or after `point`.
    pub(crate) fn clockwise_from(&self, point: u64) -> impl Iterator<Item = &FlowTarget> {
        let first = self.targets.partition_point(|target| target.key.0 < point);
        let (before, after) = self.targets.split_at(first);
        after.iter().chain(before)
    }
}
