//! Zone probes, sent before the silent processes of a zone are accused.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// Timeout of a probe, of a silent neighbour or of its zone.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// State of the probe of a silent neighbour's zone.
///
/// When a zone is lost at full size, its agents have about a hundred thousand neighbours in other
/// zones. Individual accusations by all of them would exceed every send budget. An accuser
/// therefore first probes a few other processes of the zone; if none replies, it sends one
/// accusation of the zone instead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneProbe {
    pub(crate) sent_at: Moment,
    pub(crate) answered: bool,
    pub(crate) last_accused: Option<Moment>,
}

/// Whether the zone of a silent neighbour replies to probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneReachability {
    Pending,
    Reachable,
    Lost,
}

impl ZoneProbe {
    pub(crate) fn reachability(&self, now: Moment) -> ZoneReachability {
        if self.answered {
            ZoneReachability::Reachable
        } else if now.since(self.sent_at) >= PROBE_TIMEOUT {
            ZoneReachability::Lost
        } else {
            ZoneReachability::Pending
        }
    }
}
