//! When a balancer's view became complete, or ceased to be.
//!
//! What goes wrong without it: lost flows are not told while a view may lack targets, their clients wait
//! for their deadlines, and nothing says since when or why.

use lovagelatch_domain::Moment;
use lovagelatch_flows::{FlowView, ViewCoverage};
use lovagelatch_telemetry::{DecisionKind, Logger, info};

/// Writes a line for each change.
#[derive(Debug)]
pub(crate) struct CoverageWatch {
    known: ViewCoverage,
    since: Moment,
}

impl CoverageWatch {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            known: ViewCoverage::default(),
            since: now,
        }
    }

    /// Notes the coverage of a view that is in force from now on. Its targets are counted for the line
    /// alone: a view comes with each change of a target, and the count goes through all services.
    pub(crate) fn note(&mut self, view: &FlowView, now: Moment, log: &Logger) {
        if view.coverage == self.known {
            return;
        }
        let (_, targets) = view.counts();
        let before = now.since(self.since);
        let before_ms = before.as_secs_f64() * 1_000.0;
        match view.coverage {
            ViewCoverage::Complete => {
                info!(log, "view complete: lost flows are told";
                    "decision" => DecisionKind::ViewCoverage,
                    "targets" => targets, "doubtful_ms" => before_ms);
            }
            ViewCoverage::Doubtful(doubt) => {
                info!(log, "view may lack targets: lost flows are not told";
                    "decision" => DecisionKind::ViewCoverage,
                    "reason" => doubt.as_str(), "targets" => targets, "held_ms" => before_ms);
            }
        }
        self.known = view.coverage;
        self.since = now;
    }
}
