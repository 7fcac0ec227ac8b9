//! Reads a service text section by section and checks what its services say of each other.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::str::FromStr;

use lovagelatch_domain::{AgencyName, ServiceId, ServiceName};
use smallvec::SmallVec;

use crate::document::{DocumentField, DocumentSection, IniDocument};
use crate::fault::{FaultList, TextFault, TextFaultKind};
use crate::text::{OnceRoute, ServiceAddress, ServiceEntry, ServiceText};

/// Collects services and faults while a document is read.
#[derive(Default)]
pub(crate) struct TextReader {
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

    pub(crate) fn read(&mut self, document: &IniDocument) {
        for &line in &document.stray_lines {
            self.fault(line, TextFaultKind::OutsideSection);
        }
        for section in &document.sections {
            self.read_section(section);
        }
        self.check_dependencies();
        self.check_cycles();
    }

    pub(crate) fn finish(mut self) -> Result<ServiceText, FaultList<TextFault>> {
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
