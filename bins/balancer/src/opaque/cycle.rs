//! Order of the work of a packet thread: input that has arrived comes before timeouts.
//!
//! A process that was not scheduled for a while finds its timers due and the answers that they wait
//! for unread. If the timers ran first, it would take its own lateness for the silence of others:
//! offers went to further targets, which counted openings that no client confirmed, and searches
//! queried agents again that had answered.

use std::io;

use lovagelatch_domain::Moment;

/// Maximum number of batches of frames in one cycle: more than a socket's receive buffer holds by
/// default. Clients' packets wait meanwhile, about 4 ms on a whole core.
const MAX_FRAME_BATCHES: usize = 8;

/// How many cycles in a row may leave out the timers because frames are still unread. Without a
/// limit, a balancer that never catches up would never repeat an offer.
const MAX_POSTPONED: u32 = 4;

/// Which sockets are readable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadyInput {
    /// Frames of other processes.
    pub frames: bool,
    /// Clients' packets.
    pub packets: bool,
}

/// The steps of a cycle.
pub trait CycleSteps {
    /// Returns the current time.
    fn now(&self) -> Moment;

    /// Waits for input, at most until the next timer is due.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn wait(&mut self) -> io::Result<ReadyInput>;

    /// Handles a batch of frames. Returns whether more may have arrived.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn receive_frames(&mut self) -> io::Result<bool>;

    /// Handles a batch of clients' packets.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn receive_packets(&mut self) -> io::Result<()>;

    /// Runs the timers that were due at a moment before which all input has been handled.
    fn run_timers(&mut self, as_of: Moment);

    /// Sends what the cycle has produced.
    fn flush(&mut self);
}

/// Runs the cycles of a packet thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct PacketCycle {
    /// How many cycles in a row have left out the timers.
    postponed: u32,
}

impl PacketCycle {
    /// Runs one cycle.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub fn run(&mut self, steps: &mut impl CycleSteps) -> io::Result<()> {
        // Before the sockets are checked, so that a frame that arrived by then is read before any
        // timer that was due by then.
        let as_of = steps.now();
        let ready = steps.wait()?;
        // Frames first: flow updates determine where later packets go.
        let mut has_more = ready.frames;
        for _ in 0..MAX_FRAME_BATCHES {
            if !has_more {
                break;
            }
            has_more = steps.receive_frames()?;
        }
        if ready.packets {
            steps.receive_packets()?;
        }
        if has_more && self.postponed < MAX_POSTPONED {
            self.postponed += 1;
        } else {
            self.postponed = 0;
            steps.run_timers(as_of);
        }
        steps.flush();
        Ok(())
    }
}
