//! The backend server's own limit, learned from what it refuses.
//!
//! What goes wrong without it: a server that takes fewer requests than its listed slots (it
//! sheds, or its process hangs up on every connection) ends them so fast that its gate always
//! looks free and draws ever more work. Here each refusal shrinks the slots in use to what the
//! server did take, and time gives them back one by one.

use std::time::Duration;

use lovagelatch_domain::Moment;

/// How long a shrunk limit holds before one slot is given back.
const FIRST_HOLD: Duration = Duration::from_millis(500);

/// The longest such time, after many refusals in a row.
const LAST_HOLD: Duration = Duration::from_secs(8);

/// Answers lost in a row, none served between, that count as a refusal.
const LOST_IN_A_ROW: u32 = 3;

/// How many requests the gate runs at once, at most its slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotLimit {
    slots: u16,
    /// Invariant: at most `slots`.
    current: u16,
    hold: Duration,
    next_raise: Moment,
    lost_in_a_row: u32,
}

impl SlotLimit {
    pub(crate) fn new(slots: u16) -> Self {
        Self {
            slots,
            current: slots,
            hold: FIRST_HOLD,
            next_raise: Moment::ZERO,
            lost_in_a_row: 0,
        }
    }

    pub(crate) fn current(&self) -> u16 {
        self.current
    }

    /// An answer shows that the server works: what was taken away returns faster.
    pub(crate) fn served(&mut self, now: Moment) {
        self.lost_in_a_row = 0;
        self.hold = (self.hold / 2).max(FIRST_HOLD);
        self.next_raise = self.next_raise.min(now + self.hold);
    }

    /// The server refused a request while `running` others ran.
    pub(crate) fn shed(&mut self, running: u16, now: Moment) {
        let shrunk = running.min(self.current);
        if shrunk == 0 {
            self.hold = (self.hold * 2).min(LAST_HOLD);
        }
        self.current = shrunk;
        self.next_raise = now + self.hold;
    }

    /// A request was lost while `running` others ran.
    pub(crate) fn lost(&mut self, running: u16, now: Moment) {
        self.lost_in_a_row += 1;
        if self.lost_in_a_row >= LOST_IN_A_ROW {
            self.shed(running.min(self.current.saturating_sub(1)), now);
        }
    }

    /// Gives back what is due.
    pub(crate) fn raise(&mut self, now: Moment) {
        if self.current < self.slots && now >= self.next_raise {
            self.current += 1;
            self.next_raise = now + self.hold;
        }
    }

    /// When the next slot is given back.
    pub(crate) fn next_raise(&self) -> Option<Moment> {
        (self.current < self.slots).then_some(self.next_raise)
    }
}
