//! The service text: each service with its addresses, dependencies and once-only routes.
//!
//! ```ini
//! [service claims]
//! address = 127.20.0.1:4433 ludhiana
//! address = 127.20.0.2:4433 amritsar
//! depends = certificates
//! once = POST /claims
//!
//! [service certificates]
//! address = 127.20.1.1:4433
//! ```

use std::net::SocketAddrV4;

use lovagelatch_domain::{AgencyName, ServiceId, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::document::IniDocument;
use crate::fault::{FaultList, TextFault, TextFaultKind};
use crate::text_reader::TextReader;

/// The maximum length of a service text: the limit for one value of the platform's configuration
/// service.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// An address of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAddress {
    /// The address that callers send to.
    pub address: SocketAddrV4,
    /// The agency that the address belongs to. Fair sharing uses it because a caller cannot forge
    /// the address that it sends to.
    pub agency: Option<AgencyName>,
    /// The line of the address in the text, from 1.
    pub line: usize,
}

/// A route whose requests must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRoute {
    /// The method, in upper case.
    pub method: String,
    /// The exact path, without a query.
    pub path: String,
}

/// A service of the text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The name in the section heading. Invariant: unique in the text.
    pub name: ServiceName,
    /// The service's addresses. Invariant: at least one, each unique in the text.
    pub addresses: Vec<ServiceAddress>,
    /// The services that the backend servers may call. Invariant: each is in the text, and there
    /// are no cycles.
    pub depends: SmallVec<[ServiceName; 4]>,
    /// The routes whose requests must run at most once.
    pub once: SmallVec<[OnceRoute; 2]>,
    /// The line of the section heading, from 1.
    pub line: usize,
}

impl ServiceEntry {
    /// Returns whether a request must run at most once. The query of `path` is ignored.
    #[must_use]
    pub fn is_once_only(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        self.once
            .iter()
            .any(|route| route.method == method && route.path == path)
    }
}

/// A valid service text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceText {
    /// The services, in the order of the text.
    pub services: Vec<ServiceEntry>,
}

impl ServiceText {
    /// Parses and validates a text.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, ordered by line.
    pub fn parse(text: &str) -> Result<Self, FaultList<TextFault>> {
        if text.len() > MAX_TEXT_BYTES {
            let kind = TextFaultKind::TooLarge { length: text.len() };
            return Err(FaultList(vec![TextFault { line: 1, kind }]));
        }
        let document = IniDocument::parse(text).map_err(|error| {
            let kind = TextFaultKind::InvalidSyntax {
                reason: error.reason,
            };
            FaultList(vec![TextFault {
                line: error.line,
                kind,
            }])
        })?;
        let mut reader = TextReader::default();
        reader.read(&document);
        reader.finish()
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services
            .iter()
            .find(|entry| entry.name.as_str() == name)
    }

    /// Returns the service with this ID.
    #[must_use]
    pub fn service_by_id(&self, id: ServiceId) -> Option<&ServiceEntry> {
        self.services.iter().find(|entry| entry.name.id() == id)
    }

    /// Returns the service that an address belongs to, and the address's entry.
    #[must_use]
    pub fn service_at(&self, address: SocketAddrV4) -> Option<(&ServiceEntry, &ServiceAddress)> {
        self.services.iter().find_map(|entry| {
            let found = entry
                .addresses
                .iter()
                .find(|candidate| candidate.address == address)?;
            Some((entry, found))
        })
    }
}
