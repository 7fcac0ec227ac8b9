//! Reads a service text section by section and checks the references between its services.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::str::FromStr;

use lovagelatch_domain::{AgencyName, ServiceId, ServiceName};
use smallvec::SmallVec;

use crate::document::{IniDocument, IniField, IniSection};
use crate::fault::{FaultList, TextFault, TextFaultKind};
use crate::text::{OnceRoute, ServiceAddress, ServiceEntry, ServiceText};

/// Collects the services and faults of a document.
#[derive(Default)]
pub(crate) struct TextReader {
    services: Vec<ServiceEntry>,
    faults: Vec<TextFault>,
    address_lines: HashMap<SocketAddrV4, usize>,
    /// Positions in `services`, by name.
    positions: HashMap<ServiceName, usize>,
    /// Positions in `services`, by ID.
    positions_by_id: HashMap<ServiceId, usize>,
    /// The line of each dependency, by service and dependency.
    dependency_lines: HashMap<(ServiceName, ServiceName), usize>,
}

impl TextReader {
    fn record_fault(&mut self, line: usize, kind: TextFaultKind) {
        self.faults.push(TextFault { line, kind });
    }

    pub(crate) fn read(&mut self, document: &IniDocument) {
        for &line in &document.lines_outside_sections {
            self.record_fault(line, TextFaultKind::OutsideSection);
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

    fn read_section(&mut self, section: &IniSection) {
        let Some(name) = section.name.strip_prefix("service ").map(str::trim) else {
            let kind = TextFaultKind::UnknownSection {
                section: section.name.clone(),
            };
            self.record_fault(section.line, kind);
            return;
        };
        let Some(name) = self.parse_name::<ServiceName>(name, section.line) else {
            return;
        };
        if let Some(&first) = self.positions.get(&name) {
            let first = self.services[first].line;
            let kind = TextFaultKind::DuplicateService {
                service: name,
                first,
            };
            self.record_fault(section.line, kind);
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

    fn read_fields(&mut self, mut entry: ServiceEntry, section: &IniSection) {
        for field in &section.fields {
            match field.name.as_str() {
                "address" => self.read_address(&mut entry, field),
                "depends" => self.read_depends(&mut entry, field),
                "once" => self.read_once(&mut entry, field),
                _ => {
                    let kind = TextFaultKind::UnknownField {
                        field: field.name.clone(),
                    };
                    self.record_fault(field.line, kind);
                }
            }
        }
        let has_address_field = section.fields.iter().any(|field| field.name == "address");
        if entry.addresses.is_empty() && !has_address_field {
            let kind = TextFaultKind::NoAddress {
                service: entry.name.clone(),
            };
            self.record_fault(entry.line, kind);
        }
        self.add_service(entry);
    }

    fn add_service(&mut self, entry: ServiceEntry) {
        let position = self.services.len();
        if let Some(&other) = self.positions_by_id.get(&entry.name.id()) {
            let other = self.services[other].name.clone();
            let kind = TextFaultKind::IdCollision {
                service: entry.name.clone(),
                other,
            };
            self.record_fault(entry.line, kind);
        }
        self.positions_by_id.insert(entry.name.id(), position);
        self.positions.insert(entry.name.clone(), position);
        self.services.push(entry);
    }

    fn read_address(&mut self, entry: &mut ServiceEntry, field: &IniField) {
        let invalid = || TextFaultKind::InvalidAddress {
            address: field.value.clone(),
        };
        let mut words = field.value.split_whitespace();
        let address = words
            .next()
            .and_then(|word| word.parse::<SocketAddrV4>().ok());
        let agency = words.next();
        let (Some(address), None) = (address, words.next()) else {
            self.record_fault(field.line, invalid());
            return;
        };
        let agency = match agency {
            Some(word) => match self.parse_name::<AgencyName>(word, field.line) {
                Some(agency) => Some(agency),
                None => return,
            },
            None => None,
        };
        if let Some(&first) = self.address_lines.get(&address) {
            self.record_fault(
                field.line,
                TextFaultKind::DuplicateAddress { address, first },
            );
            return;
        }
        self.address_lines.insert(address, field.line);
        entry.addresses.push(ServiceAddress {
            address,
            agency,
            line: field.line,
        });
    }

    fn read_depends(&mut self, entry: &mut ServiceEntry, field: &IniField) {
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
                self.record_fault(
                    field.line,
                    TextFaultKind::DuplicateDependency { dependency },
                );
                continue;
            }
            let key = (entry.name.clone(), dependency.clone());
            self.dependency_lines.insert(key, field.line);
            entry.depends.push(dependency);
        }
    }

    fn read_once(&mut self, entry: &mut ServiceEntry, field: &IniField) {
        let mut words = field.value.split_whitespace();
        let route = match (words.next(), words.next(), words.next()) {
            (Some(method), Some(path), None) if path.starts_with('/') => OnceRoute {
                method: method.to_ascii_uppercase(),
                path: path.to_owned(),
            },
            _ => {
                self.record_fault(
                    field.line,
                    TextFaultKind::InvalidRoute {
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
                self.record_fault(
                    line,
                    TextFaultKind::InvalidName {
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
                .filter(|name| !self.positions.contains_key(*name))
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
        self.dependency_lines.get(&key).copied().unwrap_or(1)
    }

    /// Searches the dependencies for cycles, depth first and without recursion, so that a long
    /// chain in a malicious text cannot overflow the stack. Each cycle is reported once, at the
    /// edge that closes it.
    fn check_cycles(&mut self) {
        let mut visits = vec![VisitState::Unvisited; self.services.len()];
        for start in 0..self.services.len() {
            if visits[start] == VisitState::Unvisited {
                self.check_cycles_from(start, &mut visits);
            }
        }
    }

    fn check_cycles_from(&mut self, start: usize, visits: &mut [VisitState]) {
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
            let Some(&target) = self.positions.get(dependency) else {
                continue;
            };
            match visits[target] {
                VisitState::Unvisited => {
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
        self.record_fault(line, TextFaultKind::DependencyCycle { path: names });
    }
}

/// The state of a service in the depth-first search.
#[derive(Clone, Copy, PartialEq, Eq)]
enum VisitState {
    Unvisited,
    OnPath,
    Finished,
}
