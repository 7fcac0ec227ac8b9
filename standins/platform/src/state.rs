//! Published configurations and instance lists, and what readers see of them under a fault.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lovagelatch_domain::{ConfigRevision, InstanceList, ListRevision};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// A published configuration, as readers receive it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedConfig {
    /// Revision of the configuration, from 1.
    pub revision: ConfigRevision,
    /// The text as published.
    pub text: String,
}

/// The response to a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedRevision {
    /// Revision that the published value got.
    pub revision: u64,
}

/// A fault of the configuration service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigFault {
    /// No fault.
    #[default]
    Ok,
    /// Reads and watches of the configuration return 503.
    Down,
    /// Reads and watches see the revision before the newest, or the only one. A watch from the
    /// newest revision therefore does not return at the next publication.
    Stale,
}

/// The injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FaultSettings {
    /// Fault of the configuration service.
    pub config: ConfigFault,
    /// Age at which a published instance list becomes visible, in milliseconds.
    pub list_lag_ms: u64,
}

/// Numbers of calls since the start.
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
    /// Invariant: revisions increase by one.
    configs: Vec<PublishedConfig>,
    /// Invariant: in order of publication.
    lists: Vec<ListVersion>,
    fault: FaultSettings,
}

/// The state of the platform. One lock guards all published values and the faults.
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
    /// Publishes a configuration under the next revision.
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

    /// Publishes an instance list under the next revision.
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

    /// Replaces the injected faults.
    pub fn set_fault(&self, fault: FaultSettings) {
        self.published.lock().fault = fault;
        // Wakes the pending watches so that they apply the change.
        self.newest.send_modify(|_| ());
    }

    /// Returns the configuration that readers see, or `None` while the service is down or none is
    /// published.
    pub fn visible_config(&self) -> Option<PublishedConfig> {
        let published = self.published.lock();
        let configs = &published.configs;
        match published.fault.config {
            ConfigFault::Down => None,
            ConfigFault::Ok => configs.last().cloned(),
            ConfigFault::Stale => configs.iter().rev().nth(1).or(configs.last()).cloned(),
        }
    }

    /// Returns the instance list that readers see: the newest that is at least as old as the lag,
    /// or the first.
    pub fn visible_instances(&self) -> InstanceList {
        let published = self.published.lock();
        let lag = Duration::from_millis(published.fault.list_lag_ms);
        let old_enough = |version: &&ListVersion| version.published.elapsed() >= lag;
        let lists = &published.lists;
        let visible = lists.iter().rev().find(old_enough).or(lists.first());
        visible
            .map(|version| version.list.clone())
            .unwrap_or_default()
    }

    /// Waits until readers see a configuration newer than `revision`. Returns `None` after
    /// `timeout`.
    pub async fn watch_config(
        &self,
        revision: ConfigRevision,
        timeout: Duration,
    ) -> Option<PublishedConfig> {
        let mut newest = self.newest.subscribe();
        let found = async {
            loop {
                newest.borrow_and_update();
                let visible = self.visible_config();
                if let Some(config) = visible.filter(|config| config.revision > revision) {
                    return Some(config);
                }
                newest.changed().await.ok()?;
            }
        };
        tokio::time::timeout(timeout, found).await.ok().flatten()
    }

    /// Whether [`ConfigFault::Down`] is injected.
    pub fn is_down(&self) -> bool {
        self.published.lock().fault.config == ConfigFault::Down
    }

    pub(crate) fn count_config_read(&self) {
        self.calls.config.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_watch(&self) {
        self.calls.watch.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_instance_read(&self) {
        self.calls.instances.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the numbers of calls since the start.
    pub fn calls(&self) -> CallCounts {
        CallCounts {
            config: self.calls.config.load(Ordering::Relaxed),
            watch: self.calls.watch.load(Ordering::Relaxed),
            instances: self.calls.instances.load(Ordering::Relaxed),
        }
    }
}
