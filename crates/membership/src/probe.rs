//! Probes of a zone before its processes are accused.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// How long a probe of a silent neighbour or its zone waits for an answer.
pub(crate) const PROBE_WAIT: Duration = Duration::from_secs(1);

/// What was found out about the zone of a silent neighbour.
///
/// When a zone is lost, its agents have some hundred thousand neighbours elsewhere at full size;
/// if each accused each, no budget would carry it. So an accuser first asks a few other
/// processes of that zone: silence from all makes it one word about the zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneProbe {
    pub(crate) sent: Moment,
    pub(crate) answered: bool,
    pub(crate) accused: Option<Moment>,
}

/// Whether a silent neighbour's zone answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneVerdict {
    Pending,
    Reachable,
    Lost,
}

impl ZoneProbe {
    pub(crate) fn verdict(&self, now: Moment) -> ZoneVerdict {
        if self.answered {
            ZoneVerdict::Reachable
        } else if now.since(self.sent) >= PROBE_WAIT {
            ZoneVerdict::Lost
        } else {
            ZoneVerdict::Pending
        }
    }
}
