//! Order of the work of the packet thread for opaque packets.

use std::io;
use std::time::Duration;

use lovagelatch_balancer::{CycleSteps, PacketCycle, ReadyInput};
use lovagelatch_domain::Moment;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CycleEvent {
    Frames,
    Packets,
    Timers(Moment),
    Flush,
}

/// A packet thread whose frames arrive in full batches; each step takes a millisecond.
struct FakeThread {
    now: Moment,
    ready: ReadyInput,
    /// Full batches of frames that have arrived.
    full_batches: usize,
    events: Vec<CycleEvent>,
}

impl FakeThread {
    fn new(ready: ReadyInput, full_batches: usize) -> Self {
        Self {
            now: Moment::from_millis(1_000),
            ready,
            full_batches,
            events: Vec::new(),
        }
    }

    fn record(&mut self, event: CycleEvent) {
        self.now = self.now + Duration::from_millis(1);
        self.events.push(event);
    }

    fn count(&self, event: CycleEvent) -> usize {
        let events = self.events.iter();
        events.filter(|other| **other == event).count()
    }

    fn ran_timers(&self) -> bool {
        let mut events = self.events.iter();
        events.any(|event| matches!(event, CycleEvent::Timers(_)))
    }
}

impl CycleSteps for FakeThread {
    fn now(&self) -> Moment {
        self.now
    }

    fn wait(&mut self) -> io::Result<ReadyInput> {
        self.now = self.now + Duration::from_millis(100);
        Ok(self.ready)
    }

    fn receive_frames(&mut self) -> io::Result<bool> {
        self.record(CycleEvent::Frames);
        let more = self.full_batches > 0;
        self.full_batches = self.full_batches.saturating_sub(1);
        Ok(more)
    }

    fn receive_packets(&mut self) -> io::Result<()> {
        self.record(CycleEvent::Packets);
        Ok(())
    }

    fn run_timers(&mut self, as_of: Moment) {
        self.record(CycleEvent::Timers(as_of));
    }

    fn flush(&mut self) {
        self.record(CycleEvent::Flush);
    }
}

struct OrderCase {
    name: &'static str,
    ready: ReadyInput,
    full_batches: usize,
    expected: Vec<CycleEvent>,
}

// Guards against a third of all offers that are repeated although their agents have answered. A
// process that gets little of the processor finds its timers due and the answers unread; it must
// handle every frame that has arrived before a timer that waits for one, and must not run timers for
// the time that it spent on input.
#[test]
fn timers_run_after_the_input_that_arrived_before_them() {
    let start = Moment::from_millis(1_000);
    let both = ReadyInput {
        frames: true,
        packets: true,
    };
    let cases = [
        OrderCase {
            name: "no input",
            ready: ReadyInput::default(),
            full_batches: 0,
            expected: vec![CycleEvent::Timers(start), CycleEvent::Flush],
        },
        OrderCase {
            name: "one batch of each",
            ready: both,
            full_batches: 0,
            expected: vec![
                CycleEvent::Frames,
                CycleEvent::Packets,
                CycleEvent::Timers(start),
                CycleEvent::Flush,
            ],
        },
        OrderCase {
            name: "several batches of frames",
            ready: both,
            full_batches: 2,
            expected: vec![
                CycleEvent::Frames,
                CycleEvent::Frames,
                CycleEvent::Frames,
                CycleEvent::Packets,
                CycleEvent::Timers(start),
                CycleEvent::Flush,
            ],
        },
    ];
    for case in cases {
        let mut thread = FakeThread::new(case.ready, case.full_batches);
        let mut cycle = PacketCycle::default();
        cycle.run(&mut thread).expect("no error");
        assert_eq!(thread.events, case.expected, "{}", case.name);
    }
}

// Guards against clients' packets and repeated offers that wait for as long as frames arrive faster
// than they are handled: frames are bounded in each cycle, and timers run now and then.
#[test]
fn unread_frames_hold_up_neither_packets_nor_timers_for_long() {
    let ready = ReadyInput {
        frames: true,
        packets: true,
    };
    let mut thread = FakeThread::new(ready, usize::MAX);
    let mut cycle = PacketCycle::default();
    cycle.run(&mut thread).expect("no error");
    assert_eq!(thread.count(CycleEvent::Frames), 8);
    assert_eq!(thread.count(CycleEvent::Packets), 1);
    assert!(!thread.ran_timers(), "frames are still unread");
    for _ in 0..4 {
        cycle.run(&mut thread).expect("no error");
    }
    assert!(thread.ran_timers(), "the timers are postponed for ever");
}
