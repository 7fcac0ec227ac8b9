//! Builder for small histories.

use lovagelatch_history::{
    BackendHistory, BackendRecord, CallerRecord, FlowEnd, ObservedOutcome, RequestEnd, RequestKind,
    RunFacts, RunReport, check_run,
};

/// Name of the only target.
pub(crate) const TARGET: &str = "claims-1";

/// Builds the histories of one caller and one target.
pub(crate) struct SmallHistory {
    pub(crate) callers: Vec<CallerRecord>,
    pub(crate) backend: Vec<BackendRecord>,
    pub(crate) facts: RunFacts,
}

impl SmallHistory {
    pub(crate) fn new() -> Self {
        let ready = BackendRecord::Ready {
            time_ms: 0.0,
            target: TARGET.to_owned(),
            service: "claims".to_owned(),
            slots: 3,
        };
        let opening = CallerRecord::FlowOpening {
            flow: 1,
            time_ms: 1.0,
            service: "claims".to_owned(),
            address: "127.20.0.1:4433".to_owned(),
        };
        Self {
            callers: vec![opening],
            backend: vec![ready],
            facts: RunFacts {
                ended_ms: 10_000.0,
                ..RunFacts::default()
            },
        }
    }

    pub(crate) fn flow_end(mut self, end: FlowEnd) -> Self {
        self.callers.push(CallerRecord::FlowEnded {
            flow: 1,
            time_ms: 9_000.0,
            end,
        });
        self
    }

    pub(crate) fn sent(self, request: &str, filing: Option<&str>) -> Self {
        self.sent_to("claims", request, filing, None)
    }

    pub(crate) fn sent_to(
        mut self,
        service: &str,
        request: &str,
        filing: Option<&str>,
        agency: Option<&str>,
    ) -> Self {
        let kind = if filing.is_some() {
            RequestKind::Filing
        } else {
            RequestKind::Status
        };
        // Arrival times differ, so that no request counts as a retry of another.
        let arrived_ms = 10.0 + self.callers.len() as f64;
        self.callers.push(CallerRecord::RequestSent {
            request: request.to_owned(),
            time_ms: arrived_ms,
            arrived_ms,
            flow: 1,
            service: service.to_owned(),
            agency: agency.map(str::to_owned),
            kind,
            filing: filing.map(str::to_owned),
            work_ms: 10,
        });
        self
    }

    pub(crate) fn started(mut self, time_ms: f64, request: &str, filing: Option<&str>) -> Self {
        let run = self.backend.len() as u64;
        self.backend.push(BackendRecord::Start {
            time_ms,
            run,
            attempt: Some(format!("attempt-{run}")),
            request: Some(request.to_owned()),
            filing: filing.map(str::to_owned),
            feed: false,
        });
        self.backend.push(BackendRecord::End {
            time_ms: time_ms + 10.0,
            run,
            held_ms: 10.0,
        });
        self
    }

    pub(crate) fn ended(self, time_ms: f64, request: &str, outcome: ObservedOutcome) -> Self {
        self.ended_with(time_ms, request, end(outcome))
    }

    pub(crate) fn ended_with(mut self, time_ms: f64, request: &str, end: RequestEnd) -> Self {
        self.callers.push(CallerRecord::RequestEnded {
            request: request.to_owned(),
            time_ms,
            end,
        });
        self
    }

    pub(crate) fn check(&self) -> RunReport {
        let backend = BackendHistory::new(self.backend.clone());
        let backends: Vec<_> = backend.into_iter().collect();
        check_run(&self.callers, &backends, &self.facts)
    }
}

/// Returns a request end without a defect.
pub(crate) fn end(outcome: ObservedOutcome) -> RequestEnd {
    RequestEnd {
        outcome,
        status: 200,
        flaw: None,
        answered_for: None,
        agent: None,
        reason: None,
    }
}
