//! The rig's platform, network and queue.

use lovagelatch_domain::{AgentAddress, ConfigRevision, InstanceList, Moment};
use lovagelatch_membership::{MemberMessage, PlatformCall, PullPart, PullRequest};

/// What the platform does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// It answers.
    Up,
    /// It answers nothing.
    Down,
    /// It answers with this older revision of the configuration.
    Stale(usize),
}

/// The fake platform.
#[derive(Debug)]
pub struct RigPlatform {
    /// Texts by revision; the first is revision 1.
    pub texts: Vec<String>,
    /// The instance list.
    pub list: InstanceList,
    /// What it does.
    pub state: PlatformState,
    /// Calls answered or begun, a waiting watch as one.
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

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct RigNetwork {
    /// Share of datagrams lost.
    pub drop: f64,
    /// Share of datagrams delivered twice.
    pub duplicate: f64,
    /// Share of datagrams that arrive up to a second late.
    pub late: f64,
}

/// Bytes that one member sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct RigTraffic {
    /// Bytes sent, with headers.
    pub sent: u64,
    /// Bytes received, with headers.
    pub received: u64,
    /// Messages sent.
    pub messages: u64,
}

#[derive(Debug)]
pub(crate) enum Delivery {
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
pub(crate) struct Pending {
    pub(crate) at: Moment,
    pub(crate) order: u64,
    pub(crate) to: usize,
    pub(crate) delivery: Delivery,
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Pending {}

impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pending {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
