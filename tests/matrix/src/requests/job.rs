//! The state of a request at one agent.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, AttemptId, Moment, RefusalReason};

/// The response of a backend server: the call and the filing it is for, and the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunResponse {
    pub(crate) call: u64,
    pub(crate) filing: Option<u64>,
    pub(crate) run: u64,
}

impl RunResponse {
    /// The size of a complete response body.
    pub(crate) const BYTES: usize = 24;

    pub(crate) fn to_bytes(self) -> Vec<u8> {
        let filing = self.filing.map_or(u64::MAX, |filing| filing);
        [self.call, filing, self.run]
            .iter()
            .flat_map(|number| number.to_be_bytes())
            .collect()
    }

    /// Parses a response body; `None` if it is truncated.
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

/// The outcome of an attempt, as one agent reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// The body, and whether it is complete.
    Responded(Vec<u8>, bool),
    NotRun(RefusalReason, Duration),
    Unknown,
}

/// The receiver of the outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    Caller(u64),
    Stream(usize),
    /// The ledger of this agent, and through it all waiters.
    Filing,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum JobPhase {
    New,
    /// In the queue of the local gate.
    Queued,
    /// At the local backend server.
    Running {
        backend: usize,
        cancelling: bool,
    },
    /// Offered over a stream to a peer that has not yet sent `Ready`.
    Offered(usize),
    /// Handed over to a peer over a stream, with the part of the response body received so far.
    Relayed(usize, Option<Vec<u8>>),
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) attempt: AttemptId,
    pub(crate) call: u64,
    pub(crate) filing: Option<u64>,
    /// The sealed ticket of a filing that is on its way to its home.
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

    /// The time before the deadline that is reserved for a cancellation.
    pub(crate) fn cancel_reserve(&self) -> Duration {
        let total = self.deadline.since(self.arrived);
        Duration::from_millis(250).min(total / 4)
    }

    /// Whether this agent chooses the gate, and another one after a refusal.
    pub(crate) fn chooses_gate(&self) -> bool {
        !matches!(self.reply, ReplyTo::Stream(_)) && self.ticket.is_none()
    }
}
