//! What the platform holds, and what it shows while a fault is on.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lovagelatch_domain::{ConfigRevision, InstanceList, ListRevision};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// A configuration as readers get it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// Its number.
    pub revision: ConfigRevision,
    /// The text.
    pub text: String,
}

/// The answer to a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRevision {
    /// The number it got.
    pub revision: u64,
}

/// What is wrong with the configuration service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigFault {
    /// Nothing.
    #[default]
    Ok,
    /// It answers 503.
    Down,
    /// It shows the revision before the newest, and no watch ever ends early.
    Stale,
}

/// The faults that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultSettings {
    /// Of the configuration service.
    pub config: ConfigFault,
    /// How far the instance list lags, in milliseconds.
    pub list_lag_ms: u64,
}

/// How many calls were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of the configuration.
    pub config: u64,
    /// Watches of the configuration.
    pub watch: u64,
    /// Reads of the instance list.
    pub instances: u64,
}

#[derive(Debug, Default)]
struct CallCounters {
    config: AtomicU64,
    watch: AtomicU64,
    instances: AtomicU64,
}

#[derive(Debug)]
struct ListVersion {
    published: Instant,
    list: InstanceList,
}

#[derive(Debug, Default)]
struct PublishedState {
    /// Invariant: revisions rise by one.
    configs: Vec<PublishedConfig>,
    /// Invariant: in order of publication.
    lists: Vec<ListVersion>,
    fault: FaultSettings,
}

/// The platform's state. Every method takes `&self`; one lock guards it all.
#[derive(Debug)]
pub struct PlatformState {
    published: Mutex<PublishedState>,
    newest: watch::Sender<ConfigRevision>,
    calls: CallCounters,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self {
            published: Mutex::default(),
            newest: watch::Sender::new(ConfigRevision::default()),
            calls: CallCounters::default(),
        }
    }
}

impl PlatformState {
    /// Publishes a text under the next number.
    pub fn publish_config(&self, text: String) -> ConfigRevision {
        let mut published = self.published.lock();
        let revision = published
            .configs
            .last()
            .map_or(1, |config| config.revision.0 + 1);
        let revision = ConfigRevision(revision);
        published.configs.push(PublishedConfig { revision, text });
        self.newest.send_replace(revision);
        revision
    }

    /// Publishes an instance list under the next number.
    pub fn publish_instances(&self, mut list: InstanceList) -> ListRevision {
        let mut published = self.published.lock();
        let revision = published
            .lists
            .last()
            .map_or(1, |version| version.list.revision.0 + 1);
        list.revision = ListRevision(revision);
        published.lists.push(ListVersion {
            published: Instant::now(),
            list,
        });
        ListRevision(revision)
    }

    /// Sets the faults that are on from now.
    pub fn set_fault(&self, fault: FaultSettings) {
        self.published.lock().fault = fault;
        // Wakes the waiting watches so that they see the fault, or its end.
        self.newest.send_modify(|_| ());
    }

    /// The configuration as it is shown now; `None` while the service is down or empty.
    pub fn shown_config(&self) -> Option<PublishedConfig> {
        let published = self.published.lock();
        let configs = &published.configs;
        match published.fault.config {
            ConfigFault::Down => None,
            ConfigFault::Ok => configs.last().cloned(),
            ConfigFault::Stale => configs.iter().rev().nth(1).or(configs.last()).cloned(),
        }
    }

    /// The instance list as it is shown now: the newest that is older than the lag.
    pub fn shown_instances(&self) -> InstanceList {
        let published = self.published.lock();
        let lag = Duration::from_millis(published.fault.list_lag_ms);
        let old_enough = |version: &&ListVersion| version.published.elapsed() >= lag;
        let lists = &published.lists;
        let shown = lists.iter().rev().find(old_enough).or(lists.first());
        shown
            .map(|version| version.list.clone())
            .unwrap_or_default()
    }

    /// Waits until a configuration after `revision` is shown, `limit` at most.
    pub async fn watch_config(
        &self,
        revision: ConfigRevision,
        limit: Duration,
    ) -> Option<PublishedConfig> {
        let mut newest = self.newest.subscribe();
        let found = async {
            loop {
                newest.borrow_and_update();
                let shown = self.shown_config();
                if let Some(config) = shown.filter(|config| config.revision > revision) {
                    return Some(config);
                }
                newest.changed().await.ok()?;
            }
        };
        tokio::time::timeout(limit, found).await.ok().flatten()
    }

    /// Whether the configuration service is down.
    pub fn is_down(&self) -> bool {
        self.published.lock().fault.config == ConfigFault::Down
    }

    pub(crate) fn count_config(&self) {
        self.calls.config.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_watch(&self) {
        self.calls.watch.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_instances(&self) {
        self.calls.instances.fetch_add(1, Ordering::Relaxed);
    }

    /// How many calls were answered so far.
    pub fn calls(&self) -> CallCounts {
        CallCounts {
            config: self.calls.config.load(Ordering::Relaxed),
            watch: self.calls.watch.load(Ordering::Relaxed),
            instances: self.calls.instances.load(Ordering::Relaxed),
        }
    }
}
