//! Arrivals of requests, and the agents that hold their flows.

use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::PlacementPolicy;
use rand::Rng;
use smallvec::SmallVec;

use super::{PolicySimulation, SimRequest};
use crate::distribution::draw_interarrival;
use crate::event::SimEvent;
use crate::scenario::MEAN_SIZE;

impl<P: PlacementPolicy> PolicySimulation<P> {
    pub(super) fn handle_arrival(&mut self) {
        if self.is_over() {
            return;
        }
        let (class, rate) = self.draw_class();
        let gap = draw_interarrival(rate, &mut self.random);
        self.events
            .push(self.now + Duration::from_secs_f64(gap), SimEvent::Arrival);
        let size = self.scenario.sizes.draw(MEAN_SIZE, &mut self.random);
        let request = SimRequest {
            holder: self.draw_holder(),
            class,
            arrived: self.now,
            deadline: self.now + self.scenario.deadline,
            size: Duration::from_secs_f64(size),
            tried: SmallVec::new(),
            counted: self.metrics.is_measured(self.now),
        };
        if request.counted {
            self.metrics.classes[class].arrived += 1;
        }
        let agency = self.agency_for(class);
        self.agents[request.holder]
            .budgets
            .record_request(agency.as_ref(), self.now);
        self.place(request);
    }

    /// Draws the class of this arrival; also returns the current rate of all arrivals.
    pub(super) fn draw_class(&mut self) -> (usize, f64) {
        let seconds = self.now.since(Moment::ZERO).as_secs_f64();
        let is_second_half = self.now >= self.halfway;
        let ramp = if is_second_half {
            self.scenario.ramp
        } else {
            1.0
        };
        let factor = ramp * self.scenario.arrivals.factor(seconds);
        if self.scenario.agencies.is_empty() {
            return (0, self.scenario.rate() * factor);
        }
        let is_measured = self.now >= self.metrics.measured_from;
        let capacity = self.scenario.deployment.capacity() / self.scenario.sizes.mean_factor();
        let rates: Vec<f64> = self
            .scenario
            .agencies
            .iter()
            .map(|agency| {
                agency.load * if is_measured { agency.rush } else { 1.0 } * capacity * factor
            })
            .collect();
        let total: f64 = rates.iter().sum();
        let mut drawn = self.random.random::<f64>() * total;
        for (class, rate) in rates.iter().enumerate() {
            drawn -= rate;
            if drawn < 0.0 {
                return (class, total);
            }
        }
        (0, total)
    }

    /// Draws the agent that holds the flow of a request. Agent 1 gets the extra flows, so that its
    /// load is not confused with the fault of target 0.
    pub(super) fn draw_holder(&mut self) -> usize {
        let targets = self.agents.len();
        #[allow(clippy::cast_precision_loss)]
        let extra = self.scenario.hot_holder - 1.0;
        let drawn = self.random.random::<f64>() * (targets as f64 + extra);
        if drawn >= targets as f64 {
            return 1 % targets;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let holder = drawn as usize;
        holder
    }
}
