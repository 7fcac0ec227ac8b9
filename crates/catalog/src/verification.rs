//! Comparing the catalog with the store on request.
//!
//! A balancer that holds an old catalog cannot tell: heads may be late, and those that it hears may
//! be as old as its own. Where a decision needs every target that exists by a given moment, it
//! requests a verification from an elected reader. The reader reads the store after the request
//! has arrived and answers with what the requester lacks. One read answers all requests that
//! arrived before it.
//!
//! ```text
//! requester --Ask with a number--> reader --watch without wait--> store
//!           <---Answer with it----
//! ```

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_domain::Moment;
use smallvec::SmallVec;

use crate::message::CatalogHead;

/// How long a request waits for its answer before another balancer gets the next one. Ten times a
/// normal exchange, including the read.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a request to this process itself waits: longer than any call to the store.
const OWN_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Mean interval between requests in a small fleet while further ones are needed.
const MEAN_INTERVAL: Duration = Duration::from_millis(25);

/// Number of requests that may follow each other without regard to [`MEAN_INTERVAL`]: the flows of a
/// single lost target are told at once, and those of a lost fleet do not overload the readers.
const BURST: u32 = 4;

/// Number of balancers up to which [`MEAN_INTERVAL`] applies. In larger fleets the interval grows
/// with their number, so that the load of the readers does not.
const SMALL_FLEET: u32 = 12;

/// Limit on requests that wait for a read; further ones are dropped, and repeated by their senders.
const MAX_WAITING_REQUESTS: usize = 1_024;

/// Identifies a request among those of its sender.
pub(crate) type RequestNumber = u32;

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    number: RequestNumber,
    at: Moment,
    /// When it counts as lost.
    expires: Moment,
}

/// The verifications that this process requests.
#[derive(Clone, Debug)]
pub(crate) struct VerificationRequests {
    /// The catalog contains every target that the store listed at this moment.
    verified_at: Moment,
    /// The moment that the next verification must not precede.
    wanted: Moment,
    sent: Option<SentRequest>,
    next_number: RequestNumber,
    /// The number of requests without an answer since the last one that was answered.
    failures: usize,
    /// When the requests so far would have been made at the mean interval.
    paced_until: Moment,
    /// How long before `paced_until` the next request may be made.
    lead: Duration,
}

impl VerificationRequests {
    /// Creates the state of a process that has verified nothing. Numbers start at a random one, so
    /// that an answer to a former process at the same address is not taken for one to this process.
    pub(crate) fn new(first_number: RequestNumber) -> Self {
        Self {
            verified_at: Moment::ZERO,
            wanted: Moment::ZERO,
            sent: None,
            next_number: first_number,
            failures: 0,
            paced_until: Moment::ZERO,
            lead: Duration::ZERO,
        }
    }

    /// Returns the moment at which the catalog was last compared with the store.
    pub(crate) fn verified_at(&self) -> Moment {
        self.verified_at
    }

    /// Requests a verification that does not precede `moment`.
    pub(crate) fn want(&mut self, moment: Moment) {
        self.wanted = self.wanted.max(moment);
    }

    /// Returns when the next request is due; `None` if none is needed.
    pub(crate) fn next_due(&self) -> Option<Moment> {
        let next = self.paced_until - self.lead;
        let due = self.sent.map_or(next, |sent| sent.expires);
        (self.wanted > self.verified_at).then_some(due)
    }

    /// Returns how many requests in a row got no answer, if a request is due now.
    pub(crate) fn due_attempt(&mut self, now: Moment) -> Option<usize> {
        if self.next_due()? > now {
            return None;
        }
        if self.sent.take().is_some() {
            self.failures += 1;
        }
        Some(self.failures)
    }

    /// Records that a request is sent now. Returns its number.
    pub(crate) fn record_sent(
        &mut self,
        is_own: bool,
        members: usize,
        now: Moment,
    ) -> RequestNumber {
        let timeout = if is_own {
            OWN_REQUEST_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        };
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        self.sent = Some(SentRequest {
            number,
            at: now,
            expires: now + timeout,
        });
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let interval = MEAN_INTERVAL * members.div_ceil(SMALL_FLEET).max(1);
        self.paced_until = self.paced_until.max(now) + interval;
        self.lead = interval * (BURST - 1);
        number
    }

    /// Records the answer to a request. Returns how long it took, if it was awaited.
    pub(crate) fn record_answer(&mut self, number: RequestNumber, now: Moment) -> Option<Duration> {
        let sent = self.sent.take_if(|sent| sent.number == number)?;
        self.verified_at = sent.at;
        self.failures = 0;
        Some(now.since(sent.at))
    }
}

/// A request of a balancer, this one included, that waits for a read of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) sender: SocketAddrV4,
    pub(crate) number: RequestNumber,
    /// The state that the sender holds.
    pub(crate) head: CatalogHead,
    /// Whether the read in flight began after the request arrived.
    is_covered: bool,
}

/// The requests that wait for this process to read the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct VerificationQueue {
    waiting: Vec<WaitingRequest>,
    reading: bool,
}

impl VerificationQueue {
    /// Adds a request. A newer one of the same sender replaces it.
    pub(crate) fn push(&mut self, sender: SocketAddrV4, number: RequestNumber, head: CatalogHead) {
        self.waiting.retain(|waiting| waiting.sender != sender);
        if self.waiting.len() < MAX_WAITING_REQUESTS {
            self.waiting.push(WaitingRequest {
                sender,
                number,
                head,
                is_covered: false,
            });
        }
    }

    /// Returns whether the store has to be read now, and records that it is.
    pub(crate) fn begin_read(&mut self) -> bool {
        if self.reading || self.waiting.is_empty() {
            return false;
        }
        self.reading = true;
        for waiting in &mut self.waiting {
            waiting.is_covered = true;
        }
        true
    }

    /// Ends the read. Returns the requests that it answers.
    pub(crate) fn end_read(&mut self) -> SmallVec<[WaitingRequest; 4]> {
        self.reading = false;
        self.waiting
            .extract_if(.., |waiting| waiting.is_covered)
            .collect()
    }
}
