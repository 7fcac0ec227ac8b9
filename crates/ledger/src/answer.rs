//! The answer of a request that ran, kept to be replayed.

use serde::{Deserialize, Serialize};

/// What one entry costs besides the bytes of its answer, as counted against the byte limit.
const ENTRY_BYTES: usize = 128;

/// One header field of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHeader {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The header fields.
    pub headers: Vec<AnswerHeader>,
    /// The body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// An answer without header fields.
    #[must_use]
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
        }
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &[u8]) -> Self {
        self.headers.push(AnswerHeader {
            name: name.to_owned(),
            value: value.to_vec(),
        });
        self
    }

    /// What it takes of a ledger's byte limit.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        ENTRY_BYTES + headers + self.body.len()
    }
}
