//! Calls to the store and their results.

use std::time::Duration;

use lovagelatch_domain::{StoreEra, StorePosition, ZoneName};
use serde::{Deserialize, Serialize};

use crate::record::{PublishedConfig, PublishedTarget, TargetName};

/// A call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreCall {
    /// Reads all entries.
    List,
    /// Waits for changes after a revision (long poll).
    Watch {
        /// The revision up to which the caller knows all changes.
        after: u64,
        /// How long the store may hold the call open while nothing changes.
        wait: Duration,
    },
}

/// A change in the store, or an item of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreEvent {
    /// The configuration was written.
    Config(PublishedConfig),
    /// A target was written.
    Target(PublishedTarget),
    /// A target's entry was removed.
    TargetRemoved(TargetName),
    /// The operator evacuated a zone: its targets get no new flows.
    ZoneEvacuated(ZoneName),
    /// The operator ended the evacuation of a zone.
    ZoneRestored(ZoneName),
    /// A value that could not be decoded. An undecodable target entry provides no target; an
    /// undecodable configuration leaves the current one in force.
    Unreadable {
        /// The key in the store.
        key: String,
        /// The decoding error.
        reason: String,
        /// The target name, if the key is that of a target entry.
        target: Option<TargetName>,
    },
}

/// A successful answer of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreAnswer {
    /// The era of the store.
    pub era: StoreEra,
    /// The items or changes, each with the revision of its last change, in the order of the store.
    pub events: Vec<(u64, StoreEvent)>,
    /// The revision from which a watch continues without missing a change.
    pub revision: u64,
}

impl StoreAnswer {
    /// Returns the position from which a watch continues without missing a change.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StoreFailure {
    /// The store no longer holds the history that the watch asked for, or came back from a copy
    /// during a list.
    HistoryGone,
    /// The store rejected the call.
    Refused,
    /// The answer was still arriving when its time was over.
    TooLong,
    /// No answer arrived, or it was incomplete or could not be decoded.
    Unanswered,
}

impl StoreFailure {
    /// Returns whether the failure says nothing about the store, but the call has to be followed by
    /// a list. A watch that takes too long would take longer if it were repeated: its answer grows
    /// with each change.
    pub(crate) fn requires_list(self, call: StoreCall) -> bool {
        match self {
            Self::HistoryGone => true,
            Self::TooLong => matches!(call, StoreCall::Watch { .. }),
            Self::Refused | Self::Unanswered => false,
        }
    }
}
