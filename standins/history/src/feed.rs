//! The order of a feed's events: ids rise by one.

use crate::FeedFlaw;

/// Checks the ids of one feed's events as they arrive.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedOrder {
    last: Option<u64>,
}

impl FeedOrder {
    /// A feed of which no event arrived yet; its first event may bear any id.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next event's id and says what is wrong with it.
    pub fn note_event(&mut self, id: u64) -> Option<FeedFlaw> {
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
