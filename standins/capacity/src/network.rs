//! The simulated platform, network and delivery queue of the rig.

use lovagelatch_domain::{AgentAddress, ConfigRevision, InstanceList, Moment};
use lovagelatch_membership::{MemberMessage, PlatformCall, PullPart, PullRequest};

/// How the simulated platform responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// Responds with the newest revision.
    Up,
    /// Fails every call.
    Down,
    /// Responds with this older revision of the configuration.
    Stale(usize),
}

/// The simulated platform.
#[derive(Debug)]
pub struct RigPlatform {
    /// Published texts in order of revision; the first is revision 1.
    pub texts: Vec<String>,
    /// The instance list that the next read returns.
    pub list: InstanceList,
    /// How it responds to calls.
    pub state: PlatformState,
    /// Calls received since the counters were reset; a waiting watch counts once.
    pub calls: u64,
    pub(crate) watches: Vec<(usize, ConfigRevision, Moment)>,
}

impl RigPlatform {
    pub(crate) fn published(&self) -> Option<(ConfigRevision, String)> {
        let count = match self.state {
            PlatformState::Up => self.texts.len(),
            PlatformState::Down => return None,
            PlatformState::Stale(revision) => revision.min(self.texts.len()),
        };
        let text = self.texts.get(count.checked_sub(1)?)?;
        Some((ConfigRevision(count as u64), text.clone()))
    }
}

/// The faults that the network injects into datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct RigNetwork {
    /// Share of datagrams lost.
    pub drop: f64,
    /// Share of datagrams delivered twice.
    pub duplicate: f64,
    /// Share of datagrams that are delayed by up to a second.
    pub late: f64,
}

/// Traffic counters of one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct RigTraffic {
    /// Bytes sent, including headers.
    pub sent: u64,
    /// Bytes received, including headers.
    pub received: u64,
    /// Messages sent.
    pub messages: u64,
}

#[derive(Debug)]
pub(crate) enum RigDelivery {
    Message(Box<MemberMessage>),
    Request(PullRequest),
    Answer(AgentAddress, Vec<PullPart>),
    Failed(AgentAddress),
    Config(ConfigRevision, String),
    Unchanged,
    List(Box<InstanceList>),
    PlatformFailed(PlatformCall),
}

#[derive(Debug)]
pub(crate) struct PendingDelivery {
    pub(crate) at: Moment,
    pub(crate) order: u64,
    pub(crate) to: usize,
    pub(crate) delivery: RigDelivery,
}

impl PartialEq for PendingDelivery {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for PendingDelivery {}

impl PartialOrd for PendingDelivery {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingDelivery {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
