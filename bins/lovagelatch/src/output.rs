//! Tables for people, JSON for scripts.

use std::io::IsTerminal;

use serde::Serialize;

use crate::failure::CommandError;

/// What the command found, for the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// All is well.
    Good,
    /// The answer is no.
    Bad,
}

/// How much care a line of output asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineTone {
    Plain,
    Good,
    Notice,
    Bad,
}

const RESET: &str = "\x1b[0m";

impl LineTone {
    const fn code(self) -> &'static str {
        match self {
            Self::Plain => "",
            Self::Good => "\x1b[32m",
            Self::Notice => "\x1b[33m",
            Self::Bad => "\x1b[31m",
        }
    }
}

/// Prints a line; in colour only on a terminal.
pub(crate) fn print_line(tone: LineTone, line: &str) {
    if tone != LineTone::Plain && std::io::stdout().is_terminal() {
        println!("{}{line}{RESET}", tone.code());
    } else {
        println!("{line}");
    }
}

/// Prints a value as JSON.
pub(crate) fn print_json<V: Serialize>(value: &V) -> Result<(), CommandError> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// A row of a table with its tone.
pub(crate) struct TableRow {
    pub(crate) tone: LineTone,
    pub(crate) cells: Vec<String>,
}

/// Prints rows in columns; the first row is the heading.
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
        print_line(row.tone, line.join("  ").trim_end());
    }
}
