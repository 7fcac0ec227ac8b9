//! Property tests of three ledgers under random sequences of events.

use std::collections::HashMap;

use lovagelatch_domain::AttemptId;
use lovagelatch_keys::RequestTicket;
use lovagelatch_ledger::{LedgerHandover, LedgerOutcome, LedgerVerdict, RequestLedger};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::support::{LIFETIME, SERVICE, START, answer, attempt, done, settings};

const LEDGERS: usize = 3;
const ENTRY_LIMIT: usize = 6;

#[derive(Clone, Debug)]
enum Event {
    Issue(usize),
    Offer(usize, u8),
    /// The outcome of a granted attempt, possibly repeated or late, reaches the ledger.
    Finish(u8, u8),
    HandOver(usize),
    /// Any earlier handover reaches any ledger.
    TakeOver(usize, u8),
    Restart(usize),
    Clock(i16),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let ledger = usize::arbitrary(g) % LEDGERS;
        match u8::arbitrary(g) % 16 {
            0..=2 => Self::Issue(ledger),
            3..=8 => Self::Offer(ledger, u8::arbitrary(g)),
            9..=11 => Self::Finish(u8::arbitrary(g), u8::arbitrary(g) % 4),
            12 => Self::HandOver(ledger),
            13 => Self::TakeOver(ledger, u8::arbitrary(g)),
            14 if u8::arbitrary(g) % 4 == 0 => Self::Restart(ledger),
            _ => Self::Clock(i16::arbitrary(g) % 900),
        }
    }
}

/// The observed state of a ticket.
#[derive(Default)]
struct TicketTruth {
    /// The number of granted attempts that did not end as provably not run.
    may_have_run: u32,
    reported_never_run: bool,
    ended_unknown: bool,
}

/// An attempt that was granted the right to run.
#[derive(Clone, Copy)]
struct Grant {
    attempt: AttemptId,
    ledger: usize,
    ticket: usize,
    /// Whether its first outcome was *not run*, or `None` before the first outcome.
    ended_not_run: Option<bool>,
}

struct TestWorld {
    ledgers: Vec<RequestLedger>,
    incarnations: [u64; LEDGERS],
    tickets: Vec<RequestTicket>,
    truths: Vec<TicketTruth>,
    grants: Vec<Grant>,
    handovers: Vec<LedgerHandover>,
    offers: u128,
    now: u64,
}

impl TestWorld {
    fn new() -> Self {
        let mut world = Self {
            ledgers: Vec::new(),
            incarnations: [1; LEDGERS],
            tickets: Vec::new(),
            truths: Vec::new(),
            grants: Vec::new(),
            handovers: Vec::new(),
            offers: 0,
            now: START,
        };
        for number in 0..LEDGERS {
            let ledger = world.new_ledger(number);
            world.ledgers.push(ledger);
        }
        world
    }

    fn new_ledger(&self, number: usize) -> RequestLedger {
        let address = u8::try_from(number + 1).expect("few ledgers");
        let settings = settings(address, self.incarnations[number]);
        RequestLedger::new(settings.with_entry_limit(ENTRY_LIMIT))
    }

    fn offer(&mut self, ledger: usize, ticket: usize) {
        self.offers += 1;
        let number = attempt(self.offers);
        let sealed = self.tickets[ticket];
        let truth = &mut self.truths[ticket];
        match self.ledgers[ledger].offer(&sealed, number, self.now) {
            LedgerVerdict::Run => {
                assert!(!truth.ended_unknown, "ran after unknown");
                assert!(!truth.reported_never_run, "ran after never-run");
                truth.may_have_run += 1;
                assert!(truth.may_have_run <= 1, "two rights to run");
                self.grants.push(Grant {
                    attempt: number,
                    ledger,
                    ticket,
                    ended_not_run: None,
                });
            }
            LedgerVerdict::NeverRun => {
                assert_eq!(truth.may_have_run, 0, "never-run, but it may have run");
                truth.reported_never_run = true;
            }
            LedgerVerdict::Replay(stored) => {
                assert_eq!(*stored, answer(&ticket.to_string()), "crossed answer");
                assert_eq!(truth.may_have_run, 1, "an answer without a run");
            }
            _ => {}
        }
    }

    fn finish(&mut self, grant: usize, kind: u8) {
        let Grant {
            attempt,
            ledger,
            ticket,
            ended_not_run,
        } = self.grants[grant];
        // A server does not change its outcome: *not run* is either the first and only one, or never
        // reported.
        let outcome = match (kind, ended_not_run) {
            (0, None) | (_, Some(true)) => LedgerOutcome::NotRun,
            (1, _) => LedgerOutcome::Unknown,
            _ => done(&ticket.to_string()),
        };
        let truth = &mut self.truths[ticket];
        if ended_not_run.is_none() {
            truth.may_have_run -= u32::from(outcome == LedgerOutcome::NotRun);
            self.grants[grant].ended_not_run = Some(outcome == LedgerOutcome::NotRun);
        }
        truth.ended_unknown |= outcome == LedgerOutcome::Unknown;
        self.ledgers[ledger].finish(attempt, outcome, self.now);
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Issue(ledger) => {
                let ticket = self.ledgers[ledger].issue(SERVICE, self.now);
                self.tickets.push(ticket);
                self.truths.push(TicketTruth::default());
            }
            Event::Offer(ledger, ticket) if !self.tickets.is_empty() => {
                self.offer(ledger, usize::from(ticket) % self.tickets.len());
            }
            Event::Finish(grant, kind) if !self.grants.is_empty() => {
                self.finish(usize::from(grant) % self.grants.len(), kind);
            }
            Event::HandOver(ledger) => self.handovers.push(self.ledgers[ledger].hand_over()),
            Event::TakeOver(ledger, handover) if !self.handovers.is_empty() => {
                let index = usize::from(handover) % self.handovers.len();
                self.ledgers[ledger].take_over(self.handovers[index].clone(), self.now);
            }
            Event::Restart(ledger) => {
                self.incarnations[ledger] += 1;
                self.ledgers[ledger] = self.new_ledger(ledger);
            }
            Event::Clock(seconds) => {
                let changed = self.now.saturating_add_signed(seconds.into());
                self.now = changed.max(START - LIFETIME);
            }
            _ => {}
        }
    }
}

fn invariants_hold(events: Vec<Event>) -> bool {
    let mut world = TestWorld::new();
    events.iter().for_each(|event| world.apply(event));
    let tickets: HashMap<_, _> = world.tickets.iter().map(|one| (one, ())).collect();
    tickets.len() == world.tickets.len()
}

#[test]
fn at_most_one_run_under_any_interleaving() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(20_000)
        .quickcheck(invariants_hold as fn(Vec<Event>) -> bool);
}
