//! INI documents with the line number of every section and field, which the INI library does not
//! record.

use ini::{Ini, ParseOption};

/// The maximum length of a settings file.
pub const MAX_SETTINGS_BYTES: usize = 256 * 1024;

/// A field as written.
#[derive(Clone, Debug)]
pub(crate) struct IniField {
    pub(crate) name: String,
    pub(crate) value: String,
    /// Line number, from 1.
    pub(crate) line: usize,
}

/// A section as written.
#[derive(Clone, Debug)]
pub(crate) struct IniSection {
    pub(crate) name: String,
    /// Line number, from 1.
    pub(crate) line: usize,
    pub(crate) fields: Vec<IniField>,
}

/// The sections of a text, in the order of the text.
#[derive(Clone, Debug)]
pub(crate) struct IniDocument {
    pub(crate) sections: Vec<IniSection>,
    /// Line numbers of the fields before the first section.
    pub(crate) lines_outside_sections: Vec<usize>,
}

/// Why a line is not valid INI.
#[derive(Clone, Debug)]
pub(crate) struct SyntaxError {
    pub(crate) line: usize,
    pub(crate) reason: String,
}

impl IniDocument {
    /// Parses the text line by line: the INI library checks the syntax of each line, and this
    /// function counts the lines.
    pub(crate) fn parse(text: &str) -> Result<Self, SyntaxError> {
        let mut document = Self {
            sections: Vec::new(),
            lines_outside_sections: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            document.parse_line(line, index + 1)?;
        }
        Ok(document)
    }

    fn parse_line(&mut self, line: &str, number: usize) -> Result<(), SyntaxError> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let parsed = Ini::load_from_str_opt(line, options).map_err(|error| SyntaxError {
            line: number,
            reason: error.msg.to_string(),
        })?;
        for (section, fields) in &parsed {
            match section {
                Some(name) => self.sections.push(IniSection {
                    name: name.trim().to_owned(),
                    line: number,
                    fields: Vec::new(),
                }),
                None => self.add_fields(fields, number),
            }
        }
        Ok(())
    }

    fn add_fields(&mut self, fields: &ini::Properties, number: usize) {
        for (name, value) in fields {
            let field = IniField {
                name: name.trim().to_owned(),
                value: value.trim().to_owned(),
                line: number,
            };
            match self.sections.last_mut() {
                Some(section) => section.fields.push(field),
                None => self.lines_outside_sections.push(number),
            }
        }
    }
}
