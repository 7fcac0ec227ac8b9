//! Arrivals.

use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::PlacementPolicy;
use rand::Rng;
use smallvec::SmallVec;

use super::{SimRequest, World};
use crate::event::Event;
use crate::law::draw_gap;
use crate::scenario::MEAN_SIZE;

impl<P: PlacementPolicy> World<P> {
    pub(super) fn arrive(&mut self) {
        if self.is_over() {
            return;
        }
        let (class, rate) = self.draw_class();
        let gap = draw_gap(rate, &mut self.random);
        self.events
            .push(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        let size = self.scenario.sizes.draw(MEAN_SIZE, &mut self.random);
        let request = SimRequest {
            holder: self.draw_holder(),
            class,
            arrived: self.now,
            deadline: self.now + self.scenario.deadline,
            size: Duration::from_secs_f64(size),
            tried: SmallVec::new(),
            counted: self.tally.counts(self.now),
        };
        if request.counted {
            self.tally.classes[class].arrived += 1;
        }
        let agency = self.agency_of(class);
        self.agents[request.holder]
            .budgets
            .record_request(agency.as_ref(), self.now);
        self.place(request);
    }

    /// The class of this arrival and the rate of all arrivals now.
    pub(super) fn draw_class(&mut self) -> (usize, f64) {
        let seconds = self.now.since(Moment::ZERO).as_secs_f64();
        let late = self.now >= self.half_time;
        let ramp = if late { self.scenario.ramp } else { 1.0 };
        let factor = ramp * self.scenario.arrivals.factor(seconds);
        if self.scenario.agencies.is_empty() {
            return (0, self.scenario.rate() * factor);
        }
        let warm = self.now >= self.tally.warm_from;
        let capacity = self.scenario.deployment.capacity() / self.scenario.sizes.mean_factor();
        let rates: Vec<f64> = self
            .scenario
            .agencies
            .iter()
            .map(|agency| agency.load * if warm { agency.rush } else { 1.0 } * capacity * factor)
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

    /// Agent 1 is the hot one, so that a fault of target 0 is not mixed with it.
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
