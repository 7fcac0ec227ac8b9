//! Exhaustive fault injection: each fault at each step of a filing, alone and in pairs.
//!
//! A caller files once and then retries at the home and at a peer. After each sequence, the filing
//! ran at most once, every "not run" was correct, and every answer was the right one.

use lovagelatch_domain::AttemptId;
use lovagelatch_keys::RequestTicket;
use lovagelatch_ledger::{LedgerHandover, LedgerOutcome, LedgerVerdict, RequestLedger};

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
    /// The backend server runs the granted attempts.
    Execute,
    /// The outcome of the run reaches the ledger.
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
    /// The attempt ends as provably not run.
    ServerRefuses,
}

struct Scenario {
    ticket: RequestTicket,
    home: RequestLedger,
    peer: RequestLedger,
    now: u64,
    incarnation: u64,
    next_attempt: u128,
    /// Granted attempts that the server has not executed yet.
    granted: Vec<AttemptId>,
    /// Attempts executed or refused by the server whose outcome is not yet reported to the ledger.
    executed: Vec<(AttemptId, LedgerOutcome)>,
    refuses: bool,
    runs: u32,
    reported_not_run: bool,
    delayed_handovers: Vec<LedgerHandover>,
}

impl Scenario {
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
            reported_not_run: false,
            delayed_handovers: Vec::new(),
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
            LedgerVerdict::NeverRun | LedgerVerdict::HandedOver => self.reported_not_run = true,
            LedgerVerdict::Replay(stored) => assert_eq!(*stored, answer("the answer")),
            _ => {}
        }
    }

    fn offer_new_attempt(&mut self, at_peer: bool) -> AttemptId {
        self.next_attempt += 1;
        let number = attempt(self.next_attempt);
        self.offer(at_peer, number);
        number
    }

    fn execute(&mut self) {
        for number in std::mem::take(&mut self.granted) {
            let outcome = if self.refuses {
                LedgerOutcome::NotRun
            } else {
                self.runs += 1;
                done("the answer")
            };
            self.executed.push((number, outcome));
        }
    }

    fn finish(&mut self, times: u32) {
        for (number, outcome) in std::mem::take(&mut self.executed) {
            for _ in 0..times {
                self.home.finish(number, outcome.clone(), self.now);
            }
        }
    }

    fn step(&mut self, step: Step, times: u32) {
        match step {
            Step::Offer | Step::Retry => {
                let number = self.offer_new_attempt(false);
                for _ in 1..times {
                    self.offer(false, number);
                }
            }
            Step::RetryAtPeer => {
                let number = self.offer_new_attempt(true);
                for _ in 1..times {
                    self.offer(true, number);
                }
            }
            Step::Execute => self.execute(),
            Step::Finish => self.finish(times),
        }
    }

    fn inject(&mut self, fault: Fault) {
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
                self.delayed_handovers.push(handover);
            }
            Fault::ServerRefuses => self.refuses = true,
            Fault::LostMessage | Fault::DuplicateMessage | Fault::SwappedWithNext => {}
        }
    }

    /// Delivers delayed handovers, finishes what is in flight, and lets the caller retry.
    fn settle(&mut self) {
        for handover in std::mem::take(&mut self.delayed_handovers) {
            self.peer.take_over(handover, self.now);
        }
        for _ in 0..3 {
            self.offer_new_attempt(false);
            self.offer_new_attempt(true);
            self.execute();
            self.finish(1);
        }
    }
}

/// Runs a filing with faults injected immediately before the given steps.
fn run(faults: &[(usize, Fault)]) -> Scenario {
    let mut scenario = Scenario::new();
    let mut steps = STEPS.to_vec();
    let has_fault = |index: usize, wanted: Fault| {
        faults
            .iter()
            .any(|(at, fault)| *at == index && *fault == wanted)
    };
    for index in 0..steps.len() {
        if has_fault(index, Fault::SwappedWithNext) && index + 1 < steps.len() {
            steps.swap(index, index + 1);
        }
    }
    for (index, step) in steps.into_iter().enumerate() {
        let here = faults.iter().filter(|(at, _)| *at == index);
        here.for_each(|(_, fault)| scenario.inject(*fault));
        if !has_fault(index, Fault::LostMessage) {
            let twice = has_fault(index, Fault::DuplicateMessage);
            scenario.step(step, if twice { 2 } else { 1 });
        }
    }
    scenario.settle();
    scenario
}

fn check(faults: &[(usize, Fault)]) {
    let scenario = run(faults);
    assert!(
        scenario.runs <= 1,
        "ran {} times under {faults:?}",
        scenario.runs
    );
    let wrong = scenario.reported_not_run && scenario.runs > 0;
    assert!(
        !wrong,
        "reported as not run although it ran, under {faults:?}"
    );
}

// Guards against a filing that runs twice after any fault at any step of the protocol followed by
// retries.
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
fn every_pair_of_faults_including_equal_ones() {
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
    assert_eq!(run(&[]).runs, 1);
}
