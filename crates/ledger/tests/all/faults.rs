//! The fault table: each fault at each step of a filing, alone and in pairs.
//!
//! A caller files once and then tries again everywhere until it hears an end. After every
//! history: the filing ran at most once; whoever heard "not run" heard the truth; whoever heard
//! an answer heard the right one.

use lovagelatch_domain::AttemptId;
use lovagelatch_keys::RequestTicket;
use lovagelatch_ledger::{LedgerEnd, LedgerHandover, LedgerVerdict, RequestLedger};

use crate::support::{LIFETIME, SERVICE, START, answer, attempt, done, new_ledger};

/// The steps of a filing, in order.
const STEPS: [Step; 5] = [
    Step::Offer,
    Step::Execute,
    Step::Finish,
    Step::Retry,
    Step::RetryAtPeer,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The first attempt reaches the home.
    Offer,
    /// The backend server runs what got the right to run.
    Execute,
    /// The end of the run reaches the ledger.
    Finish,
    /// A second attempt reaches the home.
    Retry,
    /// A third attempt reaches the peer.
    RetryAtPeer,
}

const FAULTS: [Fault; 9] = [
    Fault::LostMessage,
    Fault::DuplicateMessage,
    Fault::SwappedWithNext,
    Fault::PauseBeyondLifetime,
    Fault::ClockSetBack,
    Fault::HomeCrashes,
    Fault::HandedOver,
    Fault::HandoverLostThenSent,
    Fault::ServerRefuses,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    LostMessage,
    DuplicateMessage,
    SwappedWithNext,
    PauseBeyondLifetime,
    ClockSetBack,
    HomeCrashes,
    HandedOver,
    /// The handover reaches the peer only at the end.
    HandoverLostThenSent,
    /// The run ends as proved not run.
    ServerRefuses,
}

struct Scene {
    ticket: RequestTicket,
    home: RequestLedger,
    peer: RequestLedger,
    now: u64,
    incarnation: u64,
    next_attempt: u128,
    /// Granted and not yet executed.
    granted: Vec<AttemptId>,
    /// Executed or refused by the server, and not yet told to the ledger.
    executed: Vec<(AttemptId, LedgerEnd)>,
    refuses: bool,
    runs: u32,
    told_not_run: bool,
    held_back: Vec<LedgerHandover>,
}

impl Scene {
    fn new() -> Self {
        let mut home = new_ledger(1, 1);
        Self {
            ticket: home.issue(SERVICE, START),
            home,
            peer: new_ledger(2, 1),
            now: START,
            incarnation: 1,
            next_attempt: 0,
            granted: Vec::new(),
            executed: Vec::new(),
            refuses: false,
            runs: 0,
            told_not_run: false,
            held_back: Vec::new(),
        }
    }

    fn offer(&mut self, at_peer: bool, number: AttemptId) {
        let ledger = if at_peer {
            &mut self.peer
        } else {
            &mut self.home
        };
        match ledger.offer(&self.ticket, number, self.now) {
            LedgerVerdict::Run => self.granted.push(number),
            LedgerVerdict::NeverRun | LedgerVerdict::Moved => self.told_not_run = true,
            LedgerVerdict::Replay(stored) => assert_eq!(*stored, answer("the answer")),
            _ => {}
        }
    }

    fn offer_fresh(&mut self, at_peer: bool) -> AttemptId {
        self.next_attempt += 1;
        let number = attempt(self.next_attempt);
        self.offer(at_peer, number);
        number
    }

    fn execute(&mut self) {
        for number in std::mem::take(&mut self.granted) {
            let end = if self.refuses {
                LedgerEnd::NotRun
            } else {
                self.runs += 1;
                done("the answer")
            };
            self.executed.push((number, end));
        }
    }

    fn finish(&mut self, times: u32) {
        for (number, end) in std::mem::take(&mut self.executed) {
            for _ in 0..times {
                self.home.finish(number, end.clone(), self.now);
            }
        }
    }

    fn step(&mut self, step: Step, times: u32) {
        match step {
            Step::Offer | Step::Retry => {
                let number = self.offer_fresh(false);
                for _ in 1..times {
                    self.offer(false, number);
                }
            }
            Step::RetryAtPeer => {
                let number = self.offer_fresh(true);
                for _ in 1..times {
                    self.offer(true, number);
                }
            }
            Step::Execute => self.execute(),
            Step::Finish => self.finish(times),
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::PauseBeyondLifetime => self.now += 2 * LIFETIME,
            Fault::ClockSetBack => self.now -= 2 * LIFETIME,
            Fault::HomeCrashes => {
                self.incarnation += 1;
                self.home = new_ledger(1, self.incarnation);
            }
            Fault::HandedOver => {
                let handover = self.home.hand_over();
                self.peer.take_over(handover, self.now);
            }
            Fault::HandoverLostThenSent => {
                let handover = self.home.hand_over();
                self.held_back.push(handover);
            }
            Fault::ServerRefuses => self.refuses = true,
            Fault::LostMessage | Fault::DuplicateMessage | Fault::SwappedWithNext => {}
        }
    }

    /// Everything that was under way ends, and the caller tries on.
    fn settle(&mut self) {
        for handover in std::mem::take(&mut self.held_back) {
            self.peer.take_over(handover, self.now);
        }
        for _ in 0..3 {
            self.offer_fresh(false);
            self.offer_fresh(true);
            self.execute();
            self.finish(1);
        }
    }
}

/// Plays a filing with faults just before the steps named.
fn play(faults: &[(usize, Fault)]) -> Scene {
    let mut scene = Scene::new();
    let mut steps = STEPS.to_vec();
    let struck = |index: usize, wanted: Fault| {
        faults
            .iter()
            .any(|(at, fault)| *at == index && *fault == wanted)
    };
    for index in 0..steps.len() {
        if struck(index, Fault::SwappedWithNext) && index + 1 < steps.len() {
            steps.swap(index, index + 1);
        }
    }
    for (index, step) in steps.into_iter().enumerate() {
        let here = faults.iter().filter(|(at, _)| *at == index);
        here.for_each(|(_, fault)| scene.strike(*fault));
        if !struck(index, Fault::LostMessage) {
            let twice = struck(index, Fault::DuplicateMessage);
            scene.step(step, if twice { 2 } else { 1 });
        }
    }
    scene.settle();
    scene
}

fn check(faults: &[(usize, Fault)]) {
    let scene = play(faults);
    assert!(scene.runs <= 1, "ran {} times under {faults:?}", scene.runs);
    let lied = scene.told_not_run && scene.runs > 0;
    assert!(!lied, "told not run although it ran, under {faults:?}");
}

// Symptom: a filing runs twice.
// Sequence: any fault at any step of the protocol, then retries. Cause: see each mechanism.
#[test]
fn every_fault_at_every_step() {
    check(&[]);
    for step in 0..STEPS.len() {
        for fault in FAULTS {
            check(&[(step, fault)]);
        }
    }
}

#[test]
fn every_pair_of_faults_the_same_twice_included() {
    for first in 0..STEPS.len() {
        for second in first..STEPS.len() {
            for one in FAULTS {
                for other in FAULTS {
                    check(&[(first, one), (second, other)]);
                }
            }
        }
    }
}

#[test]
fn without_faults_it_runs_exactly_once() {
    assert_eq!(play(&[]).runs, 1);
}
