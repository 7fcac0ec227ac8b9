//! Logs when a balancer's view becomes complete or incomplete.
//!
//! While a view may lack targets, lost flows are not reset and their clients wait for their
//! deadlines. Without these lines, operators could not see since when or why.
//!
//! Also logs how many targets belong to services that the configuration does not name.

use std::time::Instant;

use lovagelatch_domain::Moment;
use lovagelatch_flows::{FlowView, ViewCoverage};
use lovagelatch_telemetry::{DecisionKind, LineLimiter, Logger, info};

/// Limit on lines about services that the configuration does not name: anyone who writes to the
/// store can change them.
const UNCONFIGURED_LINES_PER_SECOND: u32 = 2;

/// Logs each change of the view's coverage.
pub(crate) struct CoverageLog {
    current: ViewCoverage,
    since: Moment,
    /// The last logged number of services that the configuration does not name, and of their
    /// targets.
    unconfigured: (usize, usize),
    unconfigured_lines: LineLimiter,
}

impl CoverageLog {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            current: ViewCoverage::default(),
            since: now,
            unconfigured: (0, 0),
            unconfigured_lines: LineLimiter::new(UNCONFIGURED_LINES_PER_SECOND),
        }
    }

    /// Records the coverage of a view that is now in force. Targets are counted only when a line is
    /// written: every change of a target publishes a view, and counting walks all services.
    pub(crate) fn record(&mut self, view: &FlowView, now: Moment, log: &Logger) {
        self.record_unconfigured(view, log);
        if view.coverage == self.current {
            return;
        }
        let (_, targets) = view.counts();
        let elapsed = now.since(self.since);
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        match view.coverage {
            ViewCoverage::Complete => {
                info!(log, "view complete: lost flows are told";
                    "decision" => DecisionKind::ViewCoverage,
                    "targets" => targets, "doubtful_ms" => elapsed_ms);
            }
            ViewCoverage::Doubtful(reason) => {
                info!(log, "view may lack targets: lost flows are not told";
                    "decision" => DecisionKind::ViewCoverage,
                    "reason" => reason.as_str(), "targets" => targets, "held_ms" => elapsed_ms);
            }
        }
        self.current = view.coverage;
        self.since = now;
    }

    fn record_unconfigured(&mut self, view: &FlowView, log: &Logger) {
        let counts = view.unconfigured_counts();
        if counts == self.unconfigured {
            return;
        }
        let Some(left_out) = self.unconfigured_lines.admit(Instant::now()) else {
            return;
        };
        let (services, targets) = counts;
        info!(log, "targets of services that the configuration does not name";
            "decision" => DecisionKind::ViewCoverage,
            "services" => services, "targets" => targets,
            "version" => view.version.0, "left_out" => left_out);
        self.unconfigured = counts;
    }
}
