//! Stored answers of completed requests, kept for replay.

use serde::{Deserialize, Serialize};

/// The overhead of an entry that counts against the byte limit in addition to its answer.
const ENTRY_OVERHEAD_BYTES: usize = 128;

/// A header field of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHeader {
    /// The field name, in lower case.
    pub name: String,
    /// The field value; need not be UTF-8.
    pub value: Vec<u8>,
}

/// A complete HTTP answer. Parts of answers are never stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields, replayed in this order.
    pub headers: Vec<AnswerHeader>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Creates an answer without header fields.
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

    /// Returns the number of bytes that the answer counts against a ledger's byte limit.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        ENTRY_OVERHEAD_BYTES + headers + self.body.len()
    }
}
