//! Output as lines and tables for people, or as JSON for scripts.

use std::io::IsTerminal;

use serde::Serialize;

use crate::failure::CommandError;

/// The result of an executed command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    /// Exit code 0.
    Passed,
    /// The result is negative; exit code 1.
    Failed,
}

/// The severity of an output line, shown by its colour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineStyle {
    Plain,
    Success,
    Warning,
    Error,
}

const RESET: &str = "\x1b[0m";

impl LineStyle {
    const fn escape_code(self) -> &'static str {
        match self {
            Self::Plain => "",
            Self::Success => "\x1b[32m",
            Self::Warning => "\x1b[33m",
            Self::Error => "\x1b[31m",
        }
    }
}

/// Prints a line, in colour only on a terminal.
pub(crate) fn print_line(style: LineStyle, line: &str) {
    if style != LineStyle::Plain && std::io::stdout().is_terminal() {
        println!("{}{line}{RESET}", style.escape_code());
    } else {
        println!("{line}");
    }
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<V: Serialize>(value: &V) -> Result<(), CommandError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// A table row and its style.
pub(crate) struct TableRow {
    pub(crate) style: LineStyle,
    pub(crate) cells: Vec<String>,
}

/// Prints rows in aligned columns. The first row is the heading.
pub(crate) fn print_table(rows: &[TableRow]) {
    let columns = rows.iter().map(|row| row.cells.len()).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.cells.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.cells.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, &width)| format!("{cell:<width$}"))
            .collect();
        print_line(row.style, line.join("  ").trim_end());
    }
}
