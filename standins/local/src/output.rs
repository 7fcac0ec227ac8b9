//! Output of a run: progress messages, and the table at the end.

use lovagelatch_callers::CallerCounts;
use lovagelatch_history::RunReport;
use tokio::time::Instant;

/// Prints progress to standard error, with the time since the printer was created.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProgressPrinter {
    start: Instant,
    quiet: bool,
}

impl ProgressPrinter {
    /// Creates a printer whose time starts now. A quiet one prints nothing.
    pub(crate) fn new(quiet: bool) -> Self {
        Self {
            start: Instant::now(),
            quiet,
        }
    }

    pub(crate) fn print(&self, text: &str) {
        if !self.quiet {
            eprintln!("[{:5.1} s] {text}", self.start.elapsed().as_secs_f64());
        }
    }

    pub(crate) fn print_counts(&self, counts: &CallerCounts) {
        let CallerCounts {
            requests,
            done,
            not_run,
            unknown,
            flows_broken,
            flows,
            feeds,
            skipped,
        } = counts;
        self.print(&format!(
            "requests {requests} done {done} not run {not_run} unknown {unknown} | \
             flows {flows} broken {flows_broken} | feeds {feeds} | skipped {skipped}"
        ));
    }
}

/// Which counts of a report may be above zero.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunTolerance {
    /// The run has an unplanned fault, so flows may break and outcomes may be unknown.
    pub(crate) unplanned: bool,
}

/// Returns every count in a report that violates what the faults of the run allow.
pub(crate) fn violations(report: &RunReport, tolerance: RunTolerance) -> Vec<String> {
    let always_zero = [
        ("ran_twice", report.ran_twice),
        ("not_run_but_ran", report.not_run_but_ran),
        ("wrong_service", report.wrong_service),
        ("crossed", report.crossed),
        ("cut", report.cut),
        ("new_work_after_leaving", report.new_work_after_leaving),
    ];
    let zero_unless_unplanned = [
        ("flows_broken", report.flows_broken),
        ("unknown", report.unknown),
    ];
    let checked = zero_unless_unplanned
        .into_iter()
        .filter(|_| !tolerance.unplanned)
        .chain(always_zero);
    let mut violations: Vec<String> = checked
        .filter(|(_, count)| *count > 0)
        .map(|(name, count)| format!("{name} is {count}, must be 0"))
        .collect();
    if report.done == 0 {
        violations.push("no request was done".to_owned());
    }
    violations
}

/// Prints the table of results.
pub(crate) fn print_report(report: &RunReport) {
    let counts = [
        ("flows opened", report.flows_opened),
        ("flows broken", report.flows_broken),
        ("requests", report.requests),
        ("done", report.done),
        ("not run", report.not_run),
        ("unknown", report.unknown),
        ("ran twice", report.ran_twice),
        ("not run but ran", report.not_run_but_ran),
        ("wrong service", report.wrong_service),
        ("crossed", report.crossed),
        ("cut", report.cut),
        ("new work after leaving", report.new_work_after_leaving),
    ];
    for (name, count) in counts {
        println!("{name:<28}{count:>10}");
    }
    match report.config_in_force_ms {
        Some(millis) => println!("{:<28}{millis:>10.0} ms", "configuration in force"),
        None => println!("{:<28}{:>10}", "configuration in force", "-"),
    }
    for (service, imbalance) in &report.imbalance {
        let name = format!("imbalance, {service}");
        println!("{name:<28}{imbalance:>10.2}");
    }
    let worst = report.agency_worst_share;
    println!("{:<28}{worst:>10.2}", "agency's worst share");
    let latency = report.latency_ms;
    for (name, millis) in [
        ("latency p50", latency.p50),
        ("latency p99", latency.p99),
        ("latency p99.9", latency.p999),
    ] {
        println!("{name:<28}{millis:>10.1} ms");
    }
}
