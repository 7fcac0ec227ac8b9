//! What is due when: the one queue that stands for the network and the timers.

use std::collections::BTreeMap;

use lovagelatch_domain::Moment;

/// Events in order of time; those of one moment in order of their entry.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(Moment, u64), E>,
    entered: u64,
    now: Moment,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            entered: 0,
            now: Moment::ZERO,
        }
    }
}

impl<E> EventQueue<E> {
    /// The time of the event that was taken last.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Adds an event that is due `millis` milliseconds from now.
    pub fn push(&mut self, millis: u64, event: E) {
        let due = Moment::from_micros(self.now.as_micros() + millis * 1_000);
        self.entered += 1;
        self.events.insert((due, self.entered), event);
    }

    /// Takes the next event; time moves on to it.
    pub fn pop(&mut self) -> Option<E> {
        let ((due, _), event) = self.events.pop_first()?;
        debug_assert!(due >= self.now);
        self.now = due;
        Some(event)
    }
}
