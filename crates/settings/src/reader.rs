//! Reads typed fields from a settings file and collects all faults.

use std::str::FromStr;
use std::time::Duration;

use crate::document::{IniDocument, IniSection, MAX_SETTINGS_BYTES};
use crate::fault::{FaultList, SettingFault};

/// The section and name of a field in a settings file.
pub type FieldName = (&'static str, &'static str);

/// Reads typed fields from a document and collects all faults.
pub(crate) struct FieldReader {
    document: IniDocument,
    faults: Vec<SettingFault>,
    /// The fields that were requested so far; [`Self::finish`] reports all others as unknown.
    pub(crate) requested: Vec<FieldName>,
}

impl FieldReader {
    /// Creates a reader of an empty document, which only records the requested fields.
    pub(crate) fn empty() -> Self {
        let document = IniDocument {
            sections: Vec::new(),
            lines_outside_sections: Vec::new(),
        };
        Self {
            document,
            faults: Vec::new(),
            requested: Vec::new(),
        }
    }

    pub(crate) fn new(text: &str) -> Result<Self, FaultList<SettingFault>> {
        if text.len() > MAX_SETTINGS_BYTES {
            let reason = format!(
                "the file has {} bytes; the maximum is {MAX_SETTINGS_BYTES}",
                text.len()
            );
            return Err(file_fault(1, reason));
        }
        let document =
            IniDocument::parse(text).map_err(|error| file_fault(error.line, error.reason))?;
        Ok(Self {
            document,
            faults: Vec::new(),
            requested: Vec::new(),
        })
    }

    fn record_fault(&mut self, line: usize, section: &str, field: &str, reason: String) {
        self.faults.push(SettingFault {
            line,
            section: section.to_owned(),
            field: field.to_owned(),
            reason,
        });
    }

    /// Returns every field that `read` requests.
    pub(crate) fn requested_fields<S>(read: impl FnOnce(&mut Self) -> Option<S>) -> Vec<FieldName> {
        let mut reader = Self::empty();
        // The document is empty, so `read` returns nothing; only the requests matter.
        let _settings = read(&mut reader);
        reader.requested
    }

    /// Parses a settings file with `read` and returns its settings or all of its faults. Sections
    /// other than `sections` are faults.
    pub(crate) fn parse_file<S>(
        text: &str,
        sections: &[&str],
        read: impl FnOnce(&mut Self) -> Option<S>,
    ) -> Result<S, FaultList<SettingFault>> {
        let mut reader = Self::new(text)?;
        let settings = read(&mut reader);
        reader.finish(sections)?;
        settings.ok_or_else(incomplete)
    }

    /// Returns the text of a field and its line; a repeated field is a fault.
    fn field_text(
        &mut self,
        section: &'static str,
        field: &'static str,
    ) -> Option<(String, usize)> {
        self.requested.push((section, field));
        let found: Vec<(String, usize)> = self
            .document
            .sections
            .iter()
            .filter(|candidate| candidate.name == section)
            .flat_map(|candidate| &candidate.fields)
            .filter(|candidate| candidate.name == field)
            .map(|candidate| (candidate.value.clone(), candidate.line))
            .collect();
        if let Some((_, line)) = found.get(1) {
            self.record_fault(
                *line,
                section,
                field,
                "set more than once; set it once".to_owned(),
            );
        }
        found.into_iter().next()
    }

    /// Reads a field that is required unless there is a default. A missing or invalid value is a
    /// fault; `expected` describes a valid value in its message.
    pub(crate) fn value<V: FromStr>(
        &mut self,
        section: &'static str,
        field: &'static str,
        expected: &str,
        default: Option<&str>,
    ) -> Option<V> {
        let found = self.field_text(section, field);
        let (text, line) = match (found, default) {
            (Some(found), _) => found,
            (None, Some(default)) => (default.to_owned(), 0),
            (None, None) => {
                self.record_fault(0, section, field, format!("missing; set it to {expected}"));
                return None;
            }
        };
        self.parse(&text, line, section, field, expected)
    }

    fn parse<V: FromStr>(
        &mut self,
        text: &str,
        line: usize,
        section: &'static str,
        field: &'static str,
        expected: &str,
    ) -> Option<V> {
        let value = if text.is_empty() {
            None
        } else {
            text.parse().ok()
        };
        if value.is_none() {
            self.record_fault(line, section, field, format!("{text:?} is not {expected}"));
        }
        value
    }

    /// Returns the line of a field's first occurrence, or 0.
    fn field_line(&self, section: &str, field: &str) -> usize {
        let sections = self
            .document
            .sections
            .iter()
            .filter(|candidate| candidate.name == section);
        let mut fields = sections.flat_map(|candidate| &candidate.fields);
        fields
            .find(|candidate| candidate.name == field)
            .map_or(0, |found| found.line)
    }

    /// Reads a field that may be missing. An invalid value is a fault.
    pub(crate) fn optional<V: FromStr>(
        &mut self,
        section: &'static str,
        field: &'static str,
        expected: &str,
    ) -> Option<V> {
        let (text, line) = self.field_text(section, field)?;
        self.parse(&text, line, section, field, expected)
    }

    pub(crate) fn at_least_one<V: FromStr + PartialOrd + From<u8>>(
        &mut self,
        section: &'static str,
        field: &'static str,
        default: Option<&str>,
    ) -> Option<V> {
        let value: V = self.value(section, field, "a whole number of at least 1", default)?;
        if value < V::from(1) {
            let line = self.field_line(section, field);
            self.record_fault(line, section, field, "must be at least 1".to_owned());
            return None;
        }
        Some(value)
    }

    pub(crate) fn milliseconds(
        &mut self,
        section: &'static str,
        field: &'static str,
        default: &str,
    ) -> Option<Duration> {
        let milliseconds = self.at_least_one(section, field, Some(default))?;
        Some(Duration::from_millis(milliseconds))
    }

    /// Checks for unknown sections and fields, then returns all faults if there are any.
    pub(crate) fn finish(mut self, sections: &[&str]) -> Result<(), FaultList<SettingFault>> {
        for line in std::mem::take(&mut self.document.lines_outside_sections) {
            self.record_fault(
                line,
                "",
                "",
                "field outside a section; put a section heading before it".to_owned(),
            );
        }
        for section in std::mem::take(&mut self.document.sections) {
            self.check_known(&section, sections);
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(FaultList(self.faults))
    }

    fn check_known(&mut self, section: &IniSection, sections: &[&str]) {
        if !sections.contains(&section.name.as_str()) {
            let reason = format!(
                "unknown section; known sections are {}",
                sections.join(", ")
            );
            self.record_fault(section.line, &section.name, "", reason);
            return;
        }
        for field in &section.fields {
            let is_field = |&(s, f): &(&str, &str)| s == section.name && f == field.name;
            if !self.requested.iter().any(is_field) {
                self.record_fault(
                    field.line,
                    &section.name,
                    &field.name,
                    "unknown field".to_owned(),
                );
            }
        }
    }
}

/// Reports that settings are missing without a recorded fault. This is unreachable as long as
/// `FieldReader` records a fault for every required field that it does not return.
fn incomplete() -> FaultList<SettingFault> {
    file_fault(0, "settings are incomplete".to_owned())
}

/// Builds the fault list for a fault of the file as a whole.
pub(crate) fn file_fault(line: usize, reason: String) -> FaultList<SettingFault> {
    let section = "file".to_owned();
    FaultList(vec![SettingFault {
        line,
        section,
        field: "text".to_owned(),
        reason,
    }])
}
