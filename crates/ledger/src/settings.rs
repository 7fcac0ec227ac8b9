//! Limits of one ledger.

use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Incarnation};

const DEFAULT_ENTRY_LIMIT: usize = 20_000;
const DEFAULT_BYTE_LIMIT: usize = 16 * 1024 * 1024;
const DEFAULT_ANSWER_LIMIT: usize = 16 * 1024;

/// Whose ledger it is and how much it may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The agent that the tickets name.
    pub home: AgentAddress,
    /// The start of that agent which the tickets name.
    pub incarnation: Incarnation,
    /// How long a ticket is good for after its issue. It counts in whole seconds.
    pub lifetime: Duration,
    /// The most requests that are remembered at once.
    pub entry_limit: usize,
    /// The most bytes that stored answers may take together.
    pub byte_limit: usize,
    /// The longest answer that is stored, in bytes.
    pub answer_limit: usize,
}

impl LedgerSettings {
    /// Settings with the default limits: 20,000 requests, 16 MB of answers, 16 kB each.
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

    /// Sets the most requests that are remembered at once.
    #[must_use]
    pub const fn with_entry_limit(mut self, entry_limit: usize) -> Self {
        self.entry_limit = entry_limit;
        self
    }

    /// Sets the most bytes of stored answers.
    #[must_use]
    pub const fn with_byte_limit(mut self, byte_limit: usize) -> Self {
        self.byte_limit = byte_limit;
        self
    }

    /// Sets the longest answer that is stored, in bytes.
    #[must_use]
    pub const fn with_answer_limit(mut self, answer_limit: usize) -> Self {
        self.answer_limit = answer_limit;
        self
    }
}
