//! Counters of events by outcome, cheap enough to update for every packet.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

/// The outcome of a counted event.
pub trait EventOutcome: Copy + 'static {
    /// All outcomes, each at its [`index`](Self::index).
    const ALL: &'static [Self];

    /// Returns its position in [`ALL`](Self::ALL).
    fn index(self) -> usize;

    /// Returns its value of the metric attribute `outcome`.
    fn as_str(self) -> &'static str;
}

/// One counter per outcome, shared between its clones.
#[derive(Clone, Debug)]
pub struct EventCounts<O> {
    counts: Arc<[AtomicU64]>,
    outcomes: std::marker::PhantomData<O>,
}

impl<O: EventOutcome> EventCounts<O> {
    /// Registers the counters with `meter` under `name`, with the outcome as an attribute.
    #[must_use]
    pub fn new(meter: &Meter, name: &'static str, unit: &'static str, help: &'static str) -> Self {
        let counts: Arc<[AtomicU64]> = O::ALL.iter().map(|_| AtomicU64::new(0)).collect();
        let read = Arc::clone(&counts);
        let _instrument = meter
            .u64_observable_counter(name)
            .with_unit(unit)
            .with_description(help)
            .with_callback(move |observer| {
                for outcome in O::ALL {
                    let count = read[outcome.index()].load(Ordering::Relaxed);
                    observer.observe(count, &[KeyValue::new("outcome", outcome.as_str())]);
                }
            })
            .build();
        Self {
            counts,
            outcomes: std::marker::PhantomData,
        }
    }

    /// Counts one event.
    pub fn add(&self, outcome: O) {
        self.add_many(outcome, 1);
    }

    /// Counts several events.
    pub fn add_many(&self, outcome: O, count: u64) {
        self.counts[outcome.index()].fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the number of events with this outcome.
    #[must_use]
    pub fn count(&self, outcome: O) -> u64 {
        self.counts[outcome.index()].load(Ordering::Relaxed)
    }
}
