//! The single event queue of a simulation, which serves as its network and its timers.

use std::collections::BTreeMap;

use lovagelatch_domain::Moment;

/// Events ordered by due time; events due at the same time keep their insertion order.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(Moment, u64), E>,
    inserted: u64,
    now: Moment,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            inserted: 0,
            now: Moment::ZERO,
        }
    }
}

impl<E> EventQueue<E> {
    /// Simulated time: the due time of the last popped event.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Schedules an event `millis` milliseconds from now.
    pub fn push(&mut self, millis: u64, event: E) {
        let due = Moment::from_micros(self.now.as_micros() + millis * 1_000);
        self.inserted += 1;
        self.events.insert((due, self.inserted), event);
    }

    /// Removes the next event and advances the simulated time to it.
    pub fn pop(&mut self) -> Option<E> {
        let ((due, _), event) = self.events.pop_first()?;
        debug_assert!(due >= self.now);
        self.now = due;
        Some(event)
    }
}
