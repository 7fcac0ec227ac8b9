//! Logs when a balancer's view becomes complete or incomplete.
//!
//! While a view may lack targets, lost flows are not reset and their clients wait for their
//! deadlines. Without these lines, operators could not see since when or why.

use lovagelatch_domain::Moment;
use lovagelatch_flows::{FlowView, ViewCoverage};
use lovagelatch_telemetry::{DecisionKind, Logger, info};

/// Logs each change of the view's coverage.
#[derive(Debug)]
pub(crate) struct CoverageLog {
    current: ViewCoverage,
    since: Moment,
}

impl CoverageLog {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            current: ViewCoverage::default(),
            since: now,
        }
    }

    /// Records the coverage of a view that is now in force. Targets are counted only when a line is
    /// written: every change of a target publishes a view, and counting walks all services.
    pub(crate) fn record(&mut self, view: &FlowView, now: Moment, log: &Logger) {
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
}
