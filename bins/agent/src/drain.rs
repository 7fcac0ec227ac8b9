//! Whether the agent serves yet or leaves, and what is still under way.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

/// Why no new work is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeavingCauses {
    /// The process was told to stop. Never taken back.
    pub(crate) stopping: bool,
    /// The backend server says that it drains.
    pub(crate) backend: bool,
    /// The platform lists the instance as leaving.
    pub(crate) listed: bool,
}

impl LeavingCauses {
    fn any(self) -> bool {
        self.stopping || self.backend || self.listed
    }
}

/// The switch between serving and leaving, with a count of what is under way.
#[derive(Clone, Debug)]
pub(crate) struct DrainSwitch {
    /// Set once callers' packets may be taken.
    open: Arc<AtomicBool>,
    causes: Arc<Mutex<LeavingCauses>>,
    leaving: watch::Sender<bool>,
    /// Set when open feeds shall end at their next event.
    ending: watch::Sender<bool>,
    active: watch::Sender<usize>,
}

/// Counts one piece of work for as long as it lives.
#[derive(Debug)]
pub(crate) struct ActiveWork {
    active: watch::Sender<usize>,
}

impl Drop for ActiveWork {
    fn drop(&mut self) {
        self.active.send_modify(|count| *count -= 1);
    }
}

impl DrainSwitch {
    pub(crate) fn new() -> Self {
        Self {
            open: Arc::default(),
            causes: Arc::default(),
            leaving: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            active: watch::Sender::new(0),
        }
    }

    /// Notes that a piece of work starts.
    pub(crate) fn enter(&self) -> ActiveWork {
        self.active.send_modify(|count| *count += 1);
        ActiveWork {
            active: self.active.clone(),
        }
    }

    /// From now on callers' packets are taken.
    pub(crate) fn open(&self) {
        self.open.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Follows whether the agent leaves.
    pub(crate) fn watch_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Follows whether feeds shall end.
    pub(crate) fn watch_ending(&self) -> watch::Receiver<bool> {
        self.ending.subscribe()
    }

    /// Changes a cause; returns the new state when it became or ceased to be leaving.
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

    /// Asks feeds to end at their next event.
    pub(crate) fn end_feeds(&self) {
        self.ending.send_replace(true);
    }

    pub(crate) fn active(&self) -> usize {
        *self.active.borrow()
    }

    /// Waits until nothing is under way, at most until `limit`; `true` when nothing is.
    pub(crate) async fn wait_quiet(&self, limit: Instant) -> bool {
        let mut active = self.active.subscribe();
        let quiet = active.wait_for(|count| *count == 0);
        tokio::time::timeout_at(limit, quiet).await.is_ok()
    }
}

/// How long a stopping agent stays at least, so that peers and balancers hear of it and callers
/// have its GOAWAY before their flows end.
pub(crate) const LEAST_STAY: Duration = Duration::from_secs(2);

/// How long before the end of a drain open feeds are asked to end.
pub(crate) const FEED_END_WAIT: Duration = Duration::from_secs(2);

/// Waits until a switch is on; for ever when it is gone.
pub(crate) async fn wait_true(switch: &mut watch::Receiver<bool>) {
    if switch.wait_for(|on| *on).await.is_err() {
        std::future::pending::<()>().await;
    }
}
