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

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::str::FromStr;

use lovagelatch_domain::{AgencyName, ServiceId, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::document::{DocumentField, DocumentSection, IniDocument};
use crate::fault::{FaultList, TextFault, TextFaultKind};

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

/// Collects services and faults while a document is read.
#[derive(Default)]
struct TextReader {
    services: Vec<ServiceEntry>,
    faults: Vec<TextFault>,
    lines_of_addresses: HashMap<SocketAddrV4, usize>,
    /// Positions in `services`.
    names: HashMap<ServiceName, usize>,
    numbers: HashMap<ServiceId, usize>,
    /// The line of each dependency, by service and dependency.
    lines_of_depends: HashMap<(ServiceName, ServiceName), usize>,
}

impl TextReader {
    fn fault(&mut self, line: usize, kind: TextFaultKind) {
        self.faults.push(TextFault { line, kind });
    }

    fn read(&mut self, document: &IniDocument) {
        for &line in &document.stray_lines {
            self.fault(line, TextFaultKind::OutsideSection);
        }
        for section in &document.sections {
            self.read_section(section);
        }
        self.check_dependencies();
        self.check_cycles();
    }

    fn finish(mut self) -> Result<ServiceText, FaultList<TextFault>> {
        if self.faults.is_empty() {
            return Ok(ServiceText {
                services: self.services,
            });
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(FaultList(self.faults))
    }

    fn read_section(&mut self, section: &DocumentSection) {
        let Some(name) = section.name.strip_prefix("service ").map(str::trim) else {
            let kind = TextFaultKind::UnknownSection {
                section: section.name.clone(),
            };
            self.fault(section.line, kind);
            return;
        };
        let Some(name) = self.parse_name::<ServiceName>(name, section.line) else {
            return;
        };
        if let Some(&first) = self.names.get(&name) {
            let first = self.services[first].line;
            let kind = TextFaultKind::DuplicateService {
                service: name,
                first,
            };
            self.fault(section.line, kind);
            return;
        }
        let entry = ServiceEntry {
            name,
            addresses: Vec::new(),
            depends: SmallVec::new(),
            once: SmallVec::new(),
            line: section.line,
        };
        self.read_fields(entry, section);
    }

    fn read_fields(&mut self, mut entry: ServiceEntry, section: &DocumentSection) {
        for field in &section.fields {
            match field.name.as_str() {
                "address" => self.read_address(&mut entry, field),
                "depends" => self.read_depends(&mut entry, field),
                "once" => self.read_once(&mut entry, field),
                _ => {
                    let kind = TextFaultKind::UnknownField {
                        field: field.name.clone(),
                    };
                    self.fault(field.line, kind);
                }
            }
        }
        let has_address_field = section.fields.iter().any(|field| field.name == "address");
        if entry.addresses.is_empty() && !has_address_field {
            let kind = TextFaultKind::NoAddress {
                service: entry.name.clone(),
            };
            self.fault(entry.line, kind);
        }
        self.add_service(entry);
    }

    fn add_service(&mut self, entry: ServiceEntry) {
        let position = self.services.len();
        if let Some(&other) = self.numbers.get(&entry.name.id()) {
            let other = self.services[other].name.clone();
            let kind = TextFaultKind::SameNumber {
                service: entry.name.clone(),
                other,
            };
            self.fault(entry.line, kind);
        }
        self.numbers.insert(entry.name.id(), position);
        self.names.insert(entry.name.clone(), position);
        self.services.push(entry);
    }

    fn read_address(&mut self, entry: &mut ServiceEntry, field: &DocumentField) {
        let bad = || TextFaultKind::BadAddress {
            address: field.value.clone(),
        };
        let mut words = field.value.split_whitespace();
        let address = words
            .next()
            .and_then(|word| word.parse::<SocketAddrV4>().ok());
        let agency = words.next();
        let (Some(address), None) = (address, words.next()) else {
            self.fault(field.line, bad());
            return;
        };
        let agency = match agency {
            Some(word) => match self.parse_name::<AgencyName>(word, field.line) {
                Some(agency) => Some(agency),
                None => return,
            },
            None => None,
        };
        if let Some(&first) = self.lines_of_addresses.get(&address) {
            self.fault(field.line, TextFaultKind::SharedAddress { address, first });
            return;
        }
        self.lines_of_addresses.insert(address, field.line);
        entry.addresses.push(ServiceAddress {
            address,
            agency,
            line: field.line,
        });
    }

    fn read_depends(&mut self, entry: &mut ServiceEntry, field: &DocumentField) {
        let separators = |c: char| c == ',' || c.is_whitespace();
        for word in field
            .value
            .split(separators)
            .filter(|word| !word.is_empty())
        {
            let Some(dependency) = self.parse_name::<ServiceName>(word, field.line) else {
                continue;
            };
            if entry.depends.contains(&dependency) {
                self.fault(
                    field.line,
                    TextFaultKind::DuplicateDependency { dependency },
                );
                continue;
            }
            let key = (entry.name.clone(), dependency.clone());
            self.lines_of_depends.insert(key, field.line);
            entry.depends.push(dependency);
        }
    }

    fn read_once(&mut self, entry: &mut ServiceEntry, field: &DocumentField) {
        let mut words = field.value.split_whitespace();
        let route = match (words.next(), words.next(), words.next()) {
            (Some(method), Some(path), None) if path.starts_with('/') => OnceRoute {
                method: method.to_ascii_uppercase(),
                path: path.to_owned(),
            },
            _ => {
                self.fault(
                    field.line,
                    TextFaultKind::BadRoute {
                        route: field.value.clone(),
                    },
                );
                return;
            }
        };
        entry.once.push(route);
    }

    fn parse_name<N: FromStr<Err = lovagelatch_domain::NameError>>(
        &mut self,
        word: &str,
        line: usize,
    ) -> Option<N> {
        match word.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.fault(
                    line,
                    TextFaultKind::BadName {
                        name: word.to_owned(),
                        error,
                    },
                );
                None
            }
        }
    }

    fn check_dependencies(&mut self) {
        let mut missing = Vec::new();
        for entry in &self.services {
            for dependency in entry
                .depends
                .iter()
                .filter(|name| !self.names.contains_key(*name))
            {
                let line = self.line_of_dependency(&entry.name, dependency);
                let kind = TextFaultKind::UnknownDependency {
                    service: entry.name.clone(),
                    dependency: dependency.clone(),
                };
                missing.push(TextFault { line, kind });
            }
        }
        self.faults.extend(missing);
    }

    fn line_of_dependency(&self, service: &ServiceName, dependency: &ServiceName) -> usize {
        let key = (service.clone(), dependency.clone());
        self.lines_of_depends.get(&key).copied().unwrap_or(1)
    }

    /// Walks the dependencies depth first, without recursion, so that a long chain in a hostile
    /// text cannot exhaust the stack. Each circle is reported once, at the edge that closes it.
    fn check_cycles(&mut self) {
        let mut visits = vec![VisitState::Unseen; self.services.len()];
        for start in 0..self.services.len() {
            if visits[start] == VisitState::Unseen {
                self.walk_from(start, &mut visits);
            }
        }
    }

    fn walk_from(&mut self, start: usize, visits: &mut [VisitState]) {
        let mut path = vec![(start, 0)];
        visits[start] = VisitState::OnPath;
        while let Some((position, next_edge)) = path.last_mut() {
            let entry = &self.services[*position];
            let Some(dependency) = entry.depends.get(*next_edge) else {
                visits[*position] = VisitState::Finished;
                path.pop();
                continue;
            };
            *next_edge += 1;
            let Some(&target) = self.names.get(dependency) else {
                continue;
            };
            match visits[target] {
                VisitState::Unseen => {
                    visits[target] = VisitState::OnPath;
                    path.push((target, 0));
                }
                VisitState::OnPath => self.report_cycle(&path, target),
                VisitState::Finished => {}
            }
        }
    }

    fn report_cycle(&mut self, path: &[(usize, usize)], target: usize) {
        let positions: Vec<usize> = path.iter().map(|&(position, _)| position).collect();
        let start = positions
            .iter()
            .position(|&position| position == target)
            .unwrap_or(0);
        let mut names: Vec<ServiceName> = positions[start..]
            .iter()
            .map(|&position| self.services[position].name.clone())
            .collect();
        let last = names.last().cloned().unwrap_or_else(|| names[0].clone());
        let line = self.line_of_dependency(&last, &names[0]);
        names.push(names[0].clone());
        self.fault(line, TextFaultKind::DependencyCycle { path: names });
    }
}

/// Where a walk over the dependencies has got with one service.
#[derive(Clone, Copy, PartialEq, Eq)]
enum VisitState {
    Unseen,
    OnPath,
    Finished,
}
