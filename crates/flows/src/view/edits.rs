//! Changes to the targets of a view.

use std::collections::HashMap;
use std::sync::Arc;

use lovagelatch_domain::{Moment, ServiceId};

use super::ServiceMap;
use super::withheld::WithheldAgents;
use crate::ring::{FlowStanding, FlowTarget, NameKey, ServiceTargets, TargetKey};

/// A target that the store no longer lists.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnlistedTarget {
    pub(super) key: TargetKey,
    pub(super) service: ServiceId,
    pub(super) unlisted_at: Moment,
    /// Whether it announced before that it is leaving.
    pub(super) announced: bool,
}

/// A change to one target of a service.
pub(super) enum TargetEdit {
    /// The store lists the target.
    Listed(FlowTarget),
    /// The store no longer lists the target.
    Unlisted(TargetKey),
    /// The target's entry cannot be read: it may be alive, but it is unusable.
    Unreadable(TargetKey),
    /// The target moved to another service, restarted, or is past its retention.
    Removed(TargetKey),
    /// The target was missing for so long that it is presumed gone.
    PresumedGone(TargetKey),
}

/// Target changes by service.
pub(super) type ServiceEdits = HashMap<ServiceId, Vec<TargetEdit>>;

pub(super) fn push(edits: &mut ServiceEdits, service: ServiceId, edit: TargetEdit) {
    edits.entry(service).or_default().push(edit);
}

/// What a failure of the store means for entries that vanish in an edit.
#[derive(Clone, Copy, Debug)]
pub(super) struct EditContext {
    /// When the edits are made.
    pub(super) now: Moment,
    /// Whether an entry that vanishes may belong to a live target.
    pub(super) store_failed: bool,
    /// Whether entries that vanished in a failure of the store are still restored.
    pub(super) is_recovering: bool,
}

/// Targets that are tracked beyond the store's list.
#[derive(Clone, Debug, Default)]
pub(super) struct TrackedTargets {
    /// Invariant: contains exactly the targets of the view that are not listed.
    pub(super) unlisted: HashMap<NameKey, UnlistedTarget>,
    pub(super) withheld: WithheldAgents,
}

impl TrackedTargets {
    /// Replaces the ring of a service with one that has these edits applied.
    pub(super) fn edit_service(
        &mut self,
        services: &mut ServiceMap,
        service: ServiceId,
        edits: Vec<TargetEdit>,
        context: EditContext,
    ) {
        let known = services.get(&service);
        let mut targets: HashMap<TargetKey, FlowTarget> = known
            .into_iter()
            .flat_map(|ring| ring.targets())
            .map(|target| (target.key, *target))
            .collect();
        for edit in edits {
            match edit {
                TargetEdit::Listed(target) => {
                    self.remove_unlisted(&target);
                    self.withheld.record_listed(&target, context.now);
                    targets.insert(target.key, target);
                }
                TargetEdit::Unlisted(key) | TargetEdit::Unreadable(key) => {
                    let readable = matches!(edit, TargetEdit::Unlisted(_));
                    if let Some(target) = targets.get_mut(&key) {
                        self.unlist(target, readable, context);
                    }
                }
                TargetEdit::PresumedGone(key) => {
                    if let Some(target) = targets.get_mut(&key) {
                        target.standing = FlowStanding::Leaving;
                    }
                }
                TargetEdit::Removed(key) => {
                    if let Some(target) = targets.remove(&key) {
                        self.remove_unlisted(&target);
                        self.withheld.remove(key);
                    }
                }
            }
        }
        if targets.is_empty() {
            services.remove(&service);
        } else {
            let targets = targets.into_values().collect();
            services.insert(service, Arc::new(ServiceTargets::new(targets)));
        }
    }

    /// Marks a target that the store no longer lists, or whose entry cannot be read.
    fn unlist(&mut self, target: &mut FlowTarget, readable: bool, context: EditContext) {
        let served = target.standing == FlowStanding::Serving && !target.superseded;
        let lapses = context.store_failed && served;
        let announced = target.standing == FlowStanding::Leaving;
        let ran = target.listed && !target.superseded;
        if context.is_recovering && readable && announced && ran {
            self.withheld.record_vanished(target, context.now);
        } else {
            self.withheld.remove(target.key);
        }
        target.listed = false;
        target.standing = match (readable, lapses) {
            (false, _) => FlowStanding::Unreadable,
            (true, true) => FlowStanding::Lapsed,
            (true, false) => FlowStanding::Leaving,
        };
        target.standing_since = context.now;
        let record = UnlistedTarget {
            key: target.key,
            service: target.service,
            unlisted_at: context.now,
            announced,
        };
        self.unlisted.insert(target.name, record);
    }

    fn remove_unlisted(&mut self, target: &FlowTarget) {
        let known = self.unlisted.get(&target.name);
        let identity = (target.key, target.service);
        if known.is_some_and(|known| (known.key, known.service) == identity) {
            self.unlisted.remove(&target.name);
        }
    }
}
