//! Event streams: where one may be ended without cutting an event.

/// Follows a `text/event-stream` body to know whether the last event in it is whole.
///
/// Ended inside an event, a feed would show its reader half of it, or lose it: the reader asks
/// for what follows the last event number that it saw.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventBoundary {
    between: bool,
    line_empty: bool,
}

impl EventBoundary {
    /// Before the first event.
    pub(crate) fn new() -> Self {
        Self {
            between: true,
            line_empty: true,
        }
    }

    /// Notes the next piece of the body.
    pub(crate) fn note(&mut self, piece: &[u8]) {
        for &byte in piece {
            match byte {
                b'\n' => {
                    self.between = self.line_empty;
                    self.line_empty = true;
                }
                b'\r' => {}
                _ => {
                    self.between = false;
                    self.line_empty = false;
                }
            }
        }
    }

    /// Whether the body may end here.
    pub(crate) fn is_between(self) -> bool {
        self.between
    }
}
