//! Faults of service texts and settings files. Each message names the remedy.

use std::fmt;
use std::net::SocketAddrV4;

use lovagelatch_domain::{NameError, ServiceName};
use thiserror::Error;

use crate::text::MAX_TEXT_BYTES;

/// A fault of a service text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {kind}")]
pub struct TextFault {
    /// The line number, from 1.
    pub line: usize,
    /// What is wrong; the message includes the remedy.
    pub kind: TextFaultKind,
}

/// The kinds of faults in a service text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TextFaultKind {
    /// The text is longer than one value of the platform's configuration service.
    #[error("the text has {length} bytes; the maximum is {MAX_TEXT_BYTES}")]
    TooLarge {
        /// The text's length in bytes.
        length: usize,
    },
    /// The line is not valid INI.
    #[error("invalid syntax ({reason}); write '[service NAME]' or 'field = value'")]
    InvalidSyntax {
        /// The INI parser's message.
        reason: String,
    },
    /// The field is before the first section.
    #[error("field outside a section; put '[service NAME]' before it")]
    OutsideSection,
    /// The section heading is not `[service NAME]`.
    #[error("unknown section [{section}]; write '[service NAME]'")]
    UnknownSection {
        /// The heading as written.
        section: String,
    },
    /// A service has no field of this name.
    #[error("unknown field '{field}'; a service has 'address', 'depends' and 'once'")]
    UnknownField {
        /// The field name as written.
        field: String,
    },
    /// The name of a service or agency is not valid.
    #[error("invalid name {name:?}: {error}")]
    InvalidName {
        /// The name as written.
        name: String,
        /// The rule that the name breaks.
        error: NameError,
    },
    /// The value is not an IPv4 address with a port, optionally followed by one agency.
    #[error(
        "invalid address {address:?}; write 'IP:PORT', followed by the agency if it belongs to one"
    )]
    InvalidAddress {
        /// The value as written.
        address: String,
    },
    /// The once-only route is not a method and an absolute path.
    #[error("invalid once-only route {route:?}; write 'METHOD /path', such as 'POST /claims'")]
    InvalidRoute {
        /// The value as written.
        route: String,
    },
    /// Two sections define the same service.
    #[error("service {service} is already defined on line {first}; merge the two sections")]
    DuplicateService {
        /// The service.
        service: ServiceName,
        /// The line of the first section.
        first: usize,
    },
    /// The address is listed before, by the same or another service.
    #[error(
        "address {address} is already listed on line {first}; an address may be listed only once"
    )]
    DuplicateAddress {
        /// The address.
        address: SocketAddrV4,
        /// The line of its first occurrence.
        first: usize,
    },
    /// The service depends on a service that is not in the text.
    #[error(
        "{service} depends on {dependency}, which is not in this text; \
         add the service or remove the dependency"
    )]
    UnknownDependency {
        /// The service.
        service: ServiceName,
        /// The missing service.
        dependency: ServiceName,
    },
    /// The service lists a dependency twice.
    #[error("{dependency} is listed twice; list it once")]
    DuplicateDependency {
        /// The dependency.
        dependency: ServiceName,
    },
    /// The services' dependencies form a cycle.
    #[error("dependencies form a cycle: {}; remove one of them", path_text(.path))]
    DependencyCycle {
        /// The services along the cycle; the first is repeated at the end.
        path: Vec<ServiceName>,
    },
    /// The service has no `address` field.
    #[error("service {service} has no address; add 'address = IP:PORT'")]
    NoAddress {
        /// The service.
        service: ServiceName,
    },
    /// The names of two services hash to the same service ID.
    #[error("services {service} and {other} have the same internal ID; rename one of them")]
    IdCollision {
        /// The service that occurs later in the text.
        service: ServiceName,
        /// The service that occurs earlier in the text.
        other: ServiceName,
    },
}

fn path_text(path: &[ServiceName]) -> String {
    let names: Vec<&str> = path.iter().map(ServiceName::as_str).collect();
    names.join(" -> ")
}

/// A fault of a process's settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: [{section}] {field}: {reason}")]
pub struct SettingFault {
    /// The line number, from 1; 0 for a missing field or an unreadable file.
    pub line: usize,
    /// The section's name; `file` for a fault of the file as a whole.
    pub section: String,
    /// The field's name; empty for a fault of the whole section.
    pub field: String,
    /// What is wrong and, where it helps, what to write instead.
    pub reason: String,
}

/// All faults of a text or file. Invariant: not empty.
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
