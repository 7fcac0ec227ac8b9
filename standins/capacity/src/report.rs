//! Tables of measurements, printed as Markdown row by row.

use std::io;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

/// Why the report could not be written.
#[derive(Debug, Error)]
pub(crate) enum ReportError {
    /// The file could not be written.
    #[error("report: {0}")]
    File(#[from] io::Error),
    /// The report could not be encoded.
    #[error("report: {0}")]
    Json(#[from] serde_json::Error),
}

/// A table of formatted cells.
#[derive(Debug, Serialize)]
pub(crate) struct ReportTable {
    title: String,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

/// All tables of a run.
#[derive(Debug, Default, Serialize)]
pub(crate) struct CapacityReport {
    tables: Vec<ReportTable>,
}

impl CapacityReport {
    /// Starts a table and prints its title and column headings.
    pub(crate) fn start_table(&mut self, title: &str, columns: &[&str]) {
        println!("\n### {title}\n");
        println!("| {} |", columns.join(" | "));
        println!("|{}", "---:|".repeat(columns.len()));
        self.tables.push(ReportTable {
            title: title.to_owned(),
            columns: columns.iter().map(ToString::to_string).collect(),
            rows: Vec::new(),
        });
    }

    /// Adds a row to the current table and prints it.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        println!("| {} |", cells.join(" | "));
        if let Some(table) = self.tables.last_mut() {
            table.rows.push(cells);
        }
    }

    pub(crate) fn write_json(&self, path: &Path) -> Result<(), ReportError> {
        std::fs::write(path, serde_json::to_vec_pretty(self)?)?;
        Ok(())
    }
}

/// Returns the CPU time of this thread, which excludes other processes on the machine.
pub(crate) fn thread_time() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer refers to a timespec on this stack frame.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &raw mut time) };
    if status != 0 {
        return Duration::ZERO;
    }
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

/// Runs `work` and returns its result and the CPU time it took.
pub(crate) fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let start = thread_time();
    let result = work();
    (result, thread_time().saturating_sub(start))
}

/// Returns the least CPU time of five runs: interference on a busy machine only adds time.
pub(crate) fn fastest(mut work: impl FnMut()) -> Duration {
    let runs = (0..5).map(|_| timed(&mut work).1);
    runs.min().unwrap_or_default()
}

/// Returns the mean CPU time of `count` runs.
pub(crate) fn mean_time(count: u32, mut work: impl FnMut()) -> Duration {
    let ((), time) = timed(|| {
        for _ in 0..count {
            work();
        }
    });
    time / count
}

pub(crate) fn format_millis(time: Duration) -> String {
    format!("{:.2} ms", time.as_secs_f64() * 1e3)
}

pub(crate) fn format_micros(time: Duration) -> String {
    format!("{:.2} us", time.as_secs_f64() * 1e6)
}

pub(crate) fn format_megabytes(bytes: usize) -> String {
    format!("{:.2} MB", bytes as f64 / 1e6)
}
