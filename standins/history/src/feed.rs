//! The order of a feed's events, whose ids increase by one.

use crate::FeedFlaw;

/// Checks the ids of one feed's events as they arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedOrder {
    last: Option<u64>,
}

impl FeedOrder {
    /// Creates a checker for a feed without events so far. The first event may have any id.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Checks the id of the next event and returns its defect, if any.
    pub fn check_event(&mut self, id: u64) -> Option<FeedFlaw> {
        let last = self.last.replace(id)?;
        if id == last + 1 {
            return None;
        }
        if id > last {
            return Some(FeedFlaw::Lost);
        }
        self.last = Some(last);
        Some(if id == last {
            FeedFlaw::Doubled
        } else {
            FeedFlaw::OutOfOrder
        })
    }
}
