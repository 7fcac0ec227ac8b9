//! Calls to the store and what they bring.

use std::time::Duration;

use lovagelatch_domain::ZoneName;
use serde::{Deserialize, Serialize};

use crate::record::{PublishedConfig, PublishedTarget, TargetName};

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreCall {
    /// Read everything.
    List,
    /// Wait for changes after a revision.
    Watch {
        /// The revision up to which everything is known.
        after: u64,
        /// How long the store holds the call while nothing changes.
        wait: Duration,
    },
}

/// One change in the store, or one item of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// The configuration was written.
    Config(PublishedConfig),
    /// A target was written.
    Target(PublishedTarget),
    /// A target's entry is gone.
    TargetRemoved(TargetName),
    /// The operator evacuates a zone: its targets get no new flows.
    ZoneEvacuated(ZoneName),
    /// The operator takes a zone back.
    ZoneRestored(ZoneName),
    /// A value that could not be read. A target's entry names no target then; of the configuration
    /// what is held stays.
    Unreadable {
        /// The key.
        key: String,
        /// Why.
        reason: String,
        /// The target it stands for, when it is one's entry.
        target: Option<TargetName>,
    },
}

/// A successful answer of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAnswer {
    /// The items or changes, each with the revision of its last change, in the store's order.
    pub events: Vec<(u64, StoreEvent)>,
    /// The revision after which a watch misses nothing that this answer does not hold.
    pub revision: u64,
}

/// Why a call brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreFailure {
    /// The store no longer holds the history that a watch asked for.
    HistoryGone,
    /// The store turned the call away.
    Refused,
    /// No answer, a broken one, or one that could not be understood.
    Unanswered,
}
