//! Whether the agent serves or drains, and how much work is in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

/// The reasons for which the agent accepts no new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeavingCauses {
    /// The process received a stop signal. Never reset.
    pub(crate) stopping: bool,
    /// The backend server reports that it is draining.
    pub(crate) backend: bool,
    /// The platform lists the instance as leaving.
    pub(crate) listed: bool,
}

impl LeavingCauses {
    fn any(self) -> bool {
        self.stopping || self.backend || self.listed
    }
}

/// Whether the agent serves or is leaving, with a count of the work in progress.
#[derive(Clone, Debug)]
pub(crate) struct DrainState {
    /// Set once callers' packets are accepted.
    accepting: Arc<AtomicBool>,
    causes: Arc<Mutex<LeavingCauses>>,
    leaving: watch::Sender<bool>,
    /// Set when open feeds must close after their current event.
    closing_feeds: watch::Sender<bool>,
    active: watch::Sender<usize>,
}

/// Counts one piece of work as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    active: watch::Sender<usize>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.active.send_modify(|count| *count -= 1);
    }
}

impl DrainState {
    pub(crate) fn new() -> Self {
        Self {
            accepting: Arc::default(),
            causes: Arc::default(),
            leaving: watch::Sender::new(false),
            closing_feeds: watch::Sender::new(false),
            active: watch::Sender::new(0),
        }
    }

    /// Counts a piece of work until the returned guard is dropped.
    pub(crate) fn start_work(&self) -> WorkGuard {
        self.active.send_modify(|count| *count += 1);
        WorkGuard {
            active: self.active.clone(),
        }
    }

    /// Starts accepting callers' packets.
    pub(crate) fn accept_packets(&self) {
        self.accepting.store(true, Ordering::Relaxed);
    }

    pub(crate) fn accepts_packets(&self) -> bool {
        self.accepting.load(Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Watches whether the agent is leaving.
    pub(crate) fn watch_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Watches whether open feeds must close.
    pub(crate) fn watch_feed_close(&self) -> watch::Receiver<bool> {
        self.closing_feeds.subscribe()
    }

    /// Changes the causes. Returns whether the agent is leaving if that changed.
    pub(crate) fn change(&self, change: impl FnOnce(&mut LeavingCauses)) -> Option<bool> {
        let mut causes = self.causes.lock();
        let before = causes.any();
        change(&mut causes);
        let after = causes.any();
        if before == after {
            return None;
        }
        self.leaving.send_replace(after);
        Some(after)
    }

    /// Asks open feeds to close after their current event.
    pub(crate) fn close_feeds(&self) {
        self.closing_feeds.send_replace(true);
    }

    pub(crate) fn active(&self) -> usize {
        *self.active.borrow()
    }

    /// Waits until no work is in progress, at most until `limit`. Returns `true` if none is.
    pub(crate) async fn wait_idle(&self, limit: Instant) -> bool {
        let mut active = self.active.subscribe();
        let idle = active.wait_for(|count| *count == 0);
        tokio::time::timeout_at(limit, idle).await.is_ok()
    }
}

/// Minimum time that a stopping agent keeps running, so that peers and balancers learn that it is
/// leaving and callers receive its GOAWAY before their flows are closed.
pub(crate) const MIN_DRAIN_TIME: Duration = Duration::from_secs(2);

/// How long before the end of the drain open feeds are asked to close.
pub(crate) const FEED_CLOSE_GRACE: Duration = Duration::from_secs(2);

/// Waits until the watched flag is set; never returns when its sender is gone.
pub(crate) async fn wait_true(flag: &mut watch::Receiver<bool>) {
    if flag.wait_for(|on| *on).await.is_err() {
        std::future::pending::<()>().await;
    }
}
