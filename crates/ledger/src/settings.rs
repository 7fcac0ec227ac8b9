//! The identity and limits of a ledger.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Incarnation};

const DEFAULT_ENTRY_LIMIT: usize = 20_000;
const DEFAULT_BYTE_LIMIT: usize = 16 * 1024 * 1024;
const DEFAULT_ANSWER_LIMIT: usize = 16 * 1024;

/// The home that a ledger issues tickets for, and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The agent that the tickets name.
    pub home: AgentAddress,
    /// The incarnation of that agent that the tickets name.
    pub incarnation: Incarnation,
    /// The lifetime of a ticket from its issue. Fractions of a second are ignored.
    pub lifetime: Duration,
    /// The maximum number of requests in the ledger.
    pub entry_limit: usize,
    /// The maximum size of all stored answers together, in bytes.
    pub byte_limit: usize,
    /// The maximum size of a stored answer, in bytes.
    pub answer_limit: usize,
}

impl LedgerSettings {
    /// Creates settings with the default limits: 20,000 requests, 16 MB of answers, 16 kB each.
    #[must_use]
    pub const fn new(home: AgentAddress, incarnation: Incarnation, lifetime: Duration) -> Self {
        Self {
            home,
            incarnation,
            lifetime,
            entry_limit: DEFAULT_ENTRY_LIMIT,
            byte_limit: DEFAULT_BYTE_LIMIT,
            answer_limit: DEFAULT_ANSWER_LIMIT,
        }
    }

    /// Sets the maximum number of requests in the ledger.
    #[must_use]
    pub const fn with_entry_limit(mut self, entry_limit: usize) -> Self {
        self.entry_limit = entry_limit;
        self
    }

    /// Sets the maximum size of all stored answers together, in bytes.
    #[must_use]
    pub const fn with_byte_limit(mut self, byte_limit: usize) -> Self {
        self.byte_limit = byte_limit;
        self
    }

    /// Sets the maximum size of a stored answer, in bytes.
    #[must_use]
    pub const fn with_answer_limit(mut self, answer_limit: usize) -> Self {
        self.answer_limit = answer_limit;
        self
    }
}
