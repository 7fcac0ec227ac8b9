//! Event boundaries in `text/event-stream` bodies.

/// Scans a `text/event-stream` body to detect whether its last event is complete.
///
/// A feed that ends inside an event would show its reader a partial event or lose it: on reconnect
/// the reader asks for what follows the last event ID it saw.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventBoundary {
    at_boundary: bool,
    line_empty: bool,
}

impl EventBoundary {
    /// Starts before the first event.
    pub(crate) fn new() -> Self {
        Self {
            at_boundary: true,
            line_empty: true,
        }
    }

    /// Scans the next chunk of the body.
    pub(crate) fn scan(&mut self, chunk: &[u8]) {
        for &byte in chunk {
            match byte {
                b'\n' => {
                    self.at_boundary = self.line_empty;
                    self.line_empty = true;
                }
                b'\r' => {}
                _ => {
                    self.at_boundary = false;
                    self.line_empty = false;
                }
            }
        }
    }

    /// Whether the body may end here without cutting an event.
    pub(crate) fn is_at_boundary(self) -> bool {
        self.at_boundary
    }
}
