//! What can be wrong with a text, in words that say what to write instead.

use std::fmt;
use std::net::SocketAddrV4;

use lovagelatch_domain::{NameError, ServiceName};
use thiserror::Error;

use crate::text::MAX_TEXT_BYTES;

/// One fault of a service text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {kind}")]
pub struct TextFault {
    /// Where, from 1.
    pub line: usize,
    /// What.
    pub kind: TextFaultKind,
}

/// What is wrong with a service text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TextFaultKind {
    /// The text is larger than the platform can hold.
    #[error("the text has {length} bytes; it may have {MAX_TEXT_BYTES} at most")]
    TooLarge {
        /// Its length in bytes.
        length: usize,
    },
    /// The line is not INI.
    #[error("not readable ({reason}); write '[service NAME]' or 'field = value'")]
    NotIni {
        /// What the INI parser said.
        reason: String,
    },
    /// A field stands before the first section.
    #[error("this field stands outside a section; put '[service NAME]' before it")]
    OutsideSection,
    /// A section is not a service.
    #[error("unknown section [{section}]; write '[service NAME]'")]
    UnknownSection {
        /// Its heading.
        section: String,
    },
    /// A field is not known.
    #[error("unknown field '{field}'; a service has 'address', 'depends' and 'once'")]
    UnknownField {
        /// Its name.
        field: String,
    },
    /// A name is not acceptable.
    #[error("bad name {name:?}: {error}")]
    BadName {
        /// The name.
        name: String,
        /// Why.
        error: NameError,
    },
    /// An address is not an IPv4 address with a port.
    #[error("bad address {address:?}; write 'IP:PORT', then the agency if it belongs to one")]
    BadAddress {
        /// What stands there.
        address: String,
    },
    /// A once-only route is not a method and a path.
    #[error("bad once-only route {route:?}; write 'METHOD /path', such as 'POST /claims'")]
    BadRoute {
        /// What stands there.
        route: String,
    },
    /// A service stands twice.
    #[error("service {service} is already given on line {first}; join the two sections")]
    DuplicateService {
        /// The service.
        service: ServiceName,
        /// The line of the first section.
        first: usize,
    },
    /// Two services share an address.
    #[error("address {address} is already given on line {first}; an address leads to one service")]
    SharedAddress {
        /// The address.
        address: SocketAddrV4,
        /// The line where it stands first.
        first: usize,
    },
    /// A service depends on one that is not in the text.
    #[error("{service} depends on {dependency}, which is not in this text; add it or take it out")]
    UnknownDependency {
        /// The service.
        service: ServiceName,
        /// What it depends on.
        dependency: ServiceName,
    },
    /// A service names a dependency twice.
    #[error("{dependency} is named twice; name it once")]
    DuplicateDependency {
        /// The dependency.
        dependency: ServiceName,
    },
    /// Services depend on each other in a circle.
    #[error("dependencies form a circle: {}; take out one of them", path_text(.path))]
    DependencyCycle {
        /// The services along it; the first stands at the end again.
        path: Vec<ServiceName>,
    },
    /// A service has no address.
    #[error("service {service} has no address; add 'address = IP:PORT'")]
    NoAddress {
        /// The service.
        service: ServiceName,
    },
    /// Two services' names share a number.
    #[error("services {service} and {other} share an internal number; rename one of them")]
    SameNumber {
        /// The later service.
        service: ServiceName,
        /// The earlier one.
        other: ServiceName,
    },
}

fn path_text(path: &[ServiceName]) -> String {
    let names: Vec<&str> = path.iter().map(ServiceName::as_str).collect();
    names.join(" -> ")
}

/// One fault of a process's settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: [{section}] {field}: {reason}")]
pub struct SettingFault {
    /// Where, from 1; 0 when the field is missing.
    pub line: usize,
    /// The section.
    pub section: String,
    /// The field.
    pub field: String,
    /// What is wrong and what to write.
    pub reason: String,
}

/// Every fault of one text or file. Invariant: holds at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultList<F>(pub Vec<F>);

impl<F: fmt::Display> fmt::Display for FaultList<F> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl<F: fmt::Display + fmt::Debug> std::error::Error for FaultList<F> {}
