//! A request as one agent holds it.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, AttemptId, Moment, RefusalReason};

/// The answer of a backend server: which call and filing it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunAnswer {
    pub(crate) call: u64,
    pub(crate) filing: Option<u64>,
    pub(crate) run: u64,
}

impl RunAnswer {
    /// Bytes of an answer's body.
    pub(crate) const BYTES: usize = 24;

    pub(crate) fn to_bytes(self) -> Vec<u8> {
        let filing = self.filing.map_or(u64::MAX, |filing| filing);
        [self.call, filing, self.run]
            .iter()
            .flat_map(|number| number.to_be_bytes())
            .collect()
    }

    /// `None` when it is not whole.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let number = |at: usize| {
            let bytes = bytes.get(at..at + 8)?;
            Some(u64::from_be_bytes(bytes.try_into().ok()?))
        };
        let filing = number(8)?;
        Some(Self {
            call: number(0)?,
            filing: (filing != u64::MAX).then_some(filing),
            run: number(16)?,
        })
    }
}

/// How an attempt ended, as one agent tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobEnd {
    /// The body, and whether it is whole.
    Answered(Vec<u8>, bool),
    NotRun(RefusalReason, Duration),
    Unknown,
}

/// Whom a job's end is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    Caller(u64),
    Stream(usize),
    /// The ledger of this agent, and through it all who wait.
    Filing,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobPhase {
    New,
    /// In the own gate's queue.
    Queued,
    /// At the own backend server.
    Running {
        backend: usize,
        cancelling: bool,
    },
    /// Offered to a peer, which has not yet said that it is ready.
    Offering(usize),
    /// Handed over to a peer; the answer so far.
    Handed(usize, Option<Vec<u8>>),
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: AttemptId,
    pub(crate) call: u64,
    pub(crate) filing: Option<u64>,
    /// For the home that it names: a filing on its way there.
    pub(crate) ticket: Option<String>,
    pub(crate) home: Option<AgentAddress>,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    pub(crate) tried: Vec<AgentAddress>,
    pub(crate) retries: u8,
    pub(crate) reply: ReplyTo,
    pub(crate) phase: JobPhase,
}

impl Job {
    pub(crate) fn time_left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Time kept for a cancellation.
    pub(crate) fn reserve(&self) -> Duration {
        let whole = self.deadline.since(self.arrived);
        Duration::from_millis(250).min(whole / 4)
    }

    /// Whether this agent chooses the gate, and may choose another after a refusal.
    pub(crate) fn dispatches(&self) -> bool {
        !matches!(self.reply, ReplyTo::Stream(_)) && self.ticket.is_none()
    }
}
