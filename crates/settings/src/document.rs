//! INI text with the line of every field, which the INI library alone does not keep.

use ini::{Ini, ParseOption};

/// The largest settings file, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 256 * 1024;

/// One field as written.
#[derive(Clone, Debug)]
pub(crate) struct DocumentField {
    pub(crate) name: String,
    pub(crate) value: String,
    /// From 1.
    pub(crate) line: usize,
}

/// One section as written.
#[derive(Clone, Debug)]
pub(crate) struct DocumentSection {
    pub(crate) name: String,
    /// From 1.
    pub(crate) line: usize,
    pub(crate) fields: Vec<DocumentField>,
}

/// The sections of a text in order.
#[derive(Clone, Debug)]
pub(crate) struct IniDocument {
    pub(crate) sections: Vec<DocumentSection>,
    /// Lines that stand before the first section or are no field.
    pub(crate) stray_lines: Vec<usize>,
}

/// Why a text is not INI.
#[derive(Clone, Debug)]
pub(crate) struct NotIni {
    pub(crate) line: usize,
    pub(crate) reason: String,
}

impl IniDocument {
    /// Parses the text: the INI library judges the syntax of each line, and the lines are
    /// counted here.
    pub(crate) fn parse(text: &str) -> Result<Self, NotIni> {
        let mut document = Self {
            sections: Vec::new(),
            stray_lines: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            document.take_line(line, index + 1)?;
        }
        Ok(document)
    }

    fn take_line(&mut self, line: &str, number: usize) -> Result<(), NotIni> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = Ini::load_from_str_opt(line, options).map_err(|error| NotIni {
            line: number,
            reason: error.msg.to_string(),
        })?;
        for (section, fields) in &parsed {
            match section {
                Some(name) => self.sections.push(DocumentSection {
                    name: name.trim().to_owned(),
                    line: number,
                    fields: Vec::new(),
                }),
                None => self.take_fields(fields, number),
            }
        }
        Ok(())
    }

    fn take_fields(&mut self, fields: &ini::Properties, number: usize) {
        for (name, value) in fields {
            let field = DocumentField {
                name: name.trim().to_owned(),
                value: value.trim().to_owned(),
                line: number,
            };
            match self.sections.last_mut() {
                Some(section) => section.fields.push(field),
                None => self.stray_lines.push(number),
            }
        }
    }
}
