//! The requests that a target runs and those that wait for it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use lovagelatch_flows::FlowKey;

use crate::load::TargetProfile;

/// A request and the flow that it arrived on.
type FlowRequest = (FlowKey, u64);

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestAdmission {
    Started,
    Queued,
    /// All slots and all places in the queue are in use.
    Rejected,
}

/// Runs at most `slots` requests at once, first come first served.
#[derive(Debug)]
pub(crate) struct TargetCapacity {
    profile: TargetProfile,
    running: Vec<(Instant, FlowRequest)>,
    queue: VecDeque<FlowRequest>,
}

impl TargetCapacity {
    pub(crate) fn new(profile: TargetProfile) -> Self {
        Self {
            profile,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Accepts or rejects a request. Each takes the work time times `factor`.
    pub(crate) fn admit(
        &mut self,
        request: FlowRequest,
        factor: u32,
        now: Instant,
    ) -> RequestAdmission {
        if self.running.len() < self.profile.slots {
            self.running.push((now + self.work(factor), request));
            RequestAdmission::Started
        } else if self.queue.len() < self.profile.queue_length {
            self.queue.push_back(request);
            RequestAdmission::Queued
        } else {
            RequestAdmission::Rejected
        }
    }

    /// Returns the requests that are complete.
    pub(crate) fn take_complete(&mut self, now: Instant) -> Vec<FlowRequest> {
        let complete = self.running.extract_if(.., |(done, _)| *done <= now);
        complete.map(|(_, request)| request).collect()
    }

    /// Starts the next waiting request if a slot is free.
    pub(crate) fn start_next(&mut self, factor: u32, now: Instant) -> Option<FlowRequest> {
        if self.running.len() >= self.profile.slots {
            return None;
        }
        let request = self.queue.pop_front()?;
        self.running.push((now + self.work(factor), request));
        Some(request)
    }

    /// Returns whether a further request would be rejected.
    pub(crate) fn is_full(&self) -> bool {
        self.running.len() >= self.profile.slots && self.queue.len() >= self.profile.queue_length
    }

    fn work(&self, factor: u32) -> Duration {
        self.profile.work * factor
    }
}
