//! The service text: each service, its addresses and what it depends on.
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

/// The largest service text, in bytes: one value of the platform's configuration service.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// One address of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAddress {
    /// Where callers send.
    pub address: SocketAddrV4,
    /// The agency that the address belongs to. Fairness is by this, which no caller can forge.
    pub agency: Option<AgencyName>,
    /// Its line in the text, from 1.
    pub line: usize,
}

/// A route whose requests must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnceRoute {
    /// The method, in upper case.
    pub method: String,
    /// The path, which must match whole, without its query.
    pub path: String,
}

/// One service of the text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Its name.
    pub name: ServiceName,
    /// Its addresses. Invariant: at least one, none shared with another service.
    pub addresses: Vec<ServiceAddress>,
    /// The services its backend servers may call. Invariant: each is in the text, no circle.
    pub depends: SmallVec<[ServiceName; 4]>,
    /// Its once-only routes.
    pub once: SmallVec<[OnceRoute; 2]>,
    /// The line of its heading, from 1.
    pub line: usize,
}

impl ServiceEntry {
    /// Whether a request must run at most once.
    #[must_use]
    pub fn is_once_only(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or(path);
        self.once
            .iter()
            .any(|route| route.method == method && route.path == path)
    }
}

/// A service text that was found free of faults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceText {
    /// The services in the order of the text.
    pub services: Vec<ServiceEntry>,
}

impl ServiceText {
    /// Parses and checks a text.
    ///
    /// # Errors
    ///
    /// Every fault of the text, in order of lines.
    pub fn parse(text: &str) -> Result<Self, FaultList<TextFault>> {
        if text.len() > MAX_TEXT_BYTES {
            let kind = TextFaultKind::TooLarge { length: text.len() };
            return Err(FaultList(vec![TextFault { line: 1, kind }]));
        }
        let document = IniDocument::parse(text).map_err(|error| {
            let kind = TextFaultKind::NotIni {
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

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services
            .iter()
            .find(|entry| entry.name.as_str() == name)
    }

    /// The service with this number.
    #[must_use]
    pub fn service_by_id(&self, id: ServiceId) -> Option<&ServiceEntry> {
        self.services.iter().find(|entry| entry.name.id() == id)
    }

    /// The service that an address leads to, and the address's entry.
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
