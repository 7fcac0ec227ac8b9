//! What the faults do, and how they end.

use std::time::Duration;

use lovagelatch_domain::Moment;
use rand::Rng;

use super::RequestFault;
use super::agent::{FakeAgent, key_ring};
use super::job::{JobEnd, JobPhase, ReplyTo};
use super::relay::StreamSide;
use super::world::{AGENTS, RequestEvent, RequestWorld};

/// How long a ticket lives: short, so that a pause can outlast it.
pub(crate) const TICKET_LIFETIME: Duration = Duration::from_secs(4);

/// Milliseconds that most faults last.
const LASTS: u64 = 700;

/// Milliseconds of a pause: longer than any deadline.
const PAUSE: u64 = 1_200;

/// Milliseconds of a pause that outlasts a ticket.
const LONG_PAUSE: u64 = 5_500;

/// Milliseconds until a successor runs.
const RESTART: u64 = 150;

/// Milliseconds from the first handover to the second, and to the end of the process.
const SECOND_HANDOVER: u64 = 400;
const DRAIN: u64 = 800;

/// What a fault's end brings back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Healing {
    Cuts,
    Frames,
    Handover,
    Cancels,
    Speed,
    Sheds(usize),
}

impl RequestWorld {
    pub(crate) fn strike(&mut self, fault: RequestFault, holder: usize, gate: usize) {
        let heal = |world: &mut Self, healing| {
            world.queue.push(LASTS, RequestEvent::Heal(healing));
        };
        match fault {
            RequestFault::StreamBroken => {
                if let Some(stream) = self.live_stream(holder, gate) {
                    self.break_stream(stream);
                }
            }
            RequestFault::StreamSilent => {
                let side = match self.rng.random_bool(0.5) {
                    true => StreamSide::Holder,
                    false => StreamSide::Gate,
                };
                if let Some(stream) = self.live_stream(holder, gate) {
                    self.links[stream].silent = Some(side);
                }
            }
            RequestFault::FramesLate => {
                self.late_frames = 300;
                heal(self, Healing::Frames);
            }
            RequestFault::FramesTwice => {
                self.frames_twice = true;
                heal(self, Healing::Frames);
            }
            RequestFault::CutOneWay | RequestFault::CutBothWays => {
                self.cut(holder, gate, fault == RequestFault::CutBothWays);
                heal(self, Healing::Cuts);
            }
            RequestFault::HolderPaused => self.pause(holder, PAUSE),
            RequestFault::GatePaused => self.pause(gate, PAUSE),
            RequestFault::HomePausedLong => self.pause(self.home, LONG_PAUSE),
            RequestFault::HolderKilled => self.kill(holder),
            RequestFault::GateKilled => self.kill(gate),
            RequestFault::HomeKilled => self.kill(self.home),
            RequestFault::BackendKilled => {
                self.kill_backend(gate);
                self.start_backend(gate, "claims");
            }
            RequestFault::BackendSheds => {
                let backend = self.beside[gate];
                self.backends[backend].sheds = true;
                heal(self, Healing::Sheds(backend));
            }
            RequestFault::BackendSlow => {
                self.slowness = 10;
                heal(self, Healing::Speed);
            }
            RequestFault::HandoverLate => {
                self.late_handover = 300;
                heal(self, Healing::Handover);
            }
            RequestFault::CrossedAnswer => self.crossed_next = true,
            RequestFault::LostAnswer => self.lost_next = true,
            RequestFault::UntoldAnswer => self.untold_next = true,
            RequestFault::LostCancel => {
                self.lost_cancels = true;
                self.slowness = 10;
                heal(self, Healing::Cancels);
                heal(self, Healing::Speed);
            }
            RequestFault::CallerGone => self.caller_leaves(holder),
            RequestFault::HolderLeaving => self.set_leaving(holder),
            RequestFault::GateLeaving => self.set_leaving(gate),
            RequestFault::GateMoved => {
                self.kill_backend(gate);
                self.end_agent(gate);
                self.queue
                    .push(RESTART, RequestEvent::Restart(gate, "maps"));
            }
            RequestFault::HomeStops => self.stop_home(0),
            RequestFault::HandoverLost => self.stop_home(1),
            RequestFault::HandoverTwice => self.stop_home(2),
            // The home and its tickets stay on the old key for a while longer than the holder.
            RequestFault::KeyDropped => {
                for number in 0..AGENTS {
                    if number != self.home {
                        self.agents[number].keys = key_ring(&[2, 3]);
                    }
                }
            }
        }
    }

    pub(crate) fn heal(&mut self, healing: Healing) {
        match healing {
            Healing::Cuts => self.cuts.clear(),
            Healing::Frames => {
                self.late_frames = 0;
                self.frames_twice = false;
            }
            Healing::Handover => self.late_handover = 0,
            Healing::Cancels => self.lost_cancels = false,
            Healing::Speed => self.slowness = 1,
            Healing::Sheds(backend) => self.backends[backend].sheds = false,
        }
    }

    /// The newest call at the holder is dropped: what waits is withdrawn, what runs is cancelled,
    /// a relay stream is closed. Its caller knows nothing of how it ended.
    fn caller_leaves(&mut self, holder: usize) {
        let now = self.queue.now();
        let own = &mut self.agents[holder];
        let mut newest = own
            .jobs
            .iter()
            .rev()
            .filter_map(|(id, job)| match job.reply {
                ReplyTo::Caller(call) => Some((*id, call, job.attempt, job.phase.clone())),
                _ => None,
            });
        let Some((id, call, attempt, phase)) = newest.next() else {
            return;
        };
        drop(newest);
        match phase {
            JobPhase::Running { .. } => self.give_up(holder, id),
            JobPhase::Queued => {
                own.gate.cancel_queued(attempt, now);
                own.jobs.remove(&id);
            }
            JobPhase::Offering(stream) | JobPhase::Handed(stream, _) => {
                own.jobs.remove(&id);
                self.break_stream(stream);
            }
            JobPhase::New => {}
        }
        self.told(call, &JobEnd::Unknown);
    }

    fn live_stream(&self, holder: usize, gate: usize) -> Option<usize> {
        let of_pair = |stream: &usize| {
            let link = &self.links[*stream];
            !link.broken && (link.holder == holder || link.gate == gate)
        };
        (0..self.links.len()).rev().find(of_pair)
    }

    fn cut(&mut self, holder: usize, gate: usize, both: bool) {
        let gate = match holder == gate {
            true => (gate + 1) % AGENTS,
            false => gate,
        };
        self.cuts.push((holder, gate));
        if both {
            self.cuts.push((gate, holder));
        }
    }

    /// A cut stream goes silent; its frames are lost with it.
    pub(crate) fn is_cut(&mut self, stream: usize, from: StreamSide) -> bool {
        let link = &mut self.links[stream];
        let ends = match from {
            StreamSide::Holder => (link.holder, link.gate),
            StreamSide::Gate => (link.gate, link.holder),
        };
        let cut = self.cuts.contains(&ends);
        if cut {
            link.silent = Some(from);
        }
        cut
    }

    fn pause(&mut self, agent: usize, millis: u64) {
        let until = self.queue.now().as_micros() + millis * 1_000;
        self.agents[agent].paused_until = Moment::from_micros(until);
    }

    fn kill(&mut self, agent: usize) {
        self.end_agent(agent);
        self.queue
            .push(RESTART, RequestEvent::Restart(agent, "claims"));
    }

    /// An agent ends: its streams break, all that it remembers is lost.
    pub(crate) fn end_agent(&mut self, agent: usize) {
        self.agents[agent].running = false;
        for stream in 0..self.links.len() {
            let link = &self.links[stream];
            if link.holder == agent || link.gate == agent {
                self.break_stream(stream);
            }
        }
    }

    pub(crate) fn restart(&mut self, agent: usize, service: &'static str) {
        if self.agents[agent].running {
            return;
        }
        let now = self.queue.now();
        let start = self.agents[agent].start + 1;
        let reported = self.agents[agent].reported;
        self.agents[agent] = FakeAgent::new(agent, start, service, now);
        if service != "claims" {
            // Its peers hold the old report until they hear that it is gone.
            self.agents[agent].reported = reported;
            self.start_backend(agent, service);
        }
    }

    /// A planned stop: the ledger closes, goes to the peers, goes again with the answers that
    /// came since, and the process ends. `loss` 1: every second handover is lost; 2: they come
    /// late and twice.
    fn stop_home(&mut self, loss: u8) {
        let home = self.home;
        if !self.agents[home].running {
            return;
        }
        self.set_leaving(home);
        self.hand_over(home, loss);
        let start = self.agents[home].start;
        let again = RequestEvent::HandOverAgain(home, start);
        self.queue.push(SECOND_HANDOVER, again);
        self.queue.push(DRAIN, RequestEvent::End(home, start));
        self.queue
            .push(DRAIN + RESTART, RequestEvent::Restart(home, "claims"));
    }

    pub(crate) fn hand_over(&mut self, home: usize, loss: u8) {
        let handover = match self.mechanisms.closing {
            true => self.agents[home].ledger.hand_over(),
            // A ledger that goes on running after a copy of it was handed over.
            false => self.agents[home].ledger.clone().hand_over(),
        };
        let peers = (0..AGENTS).filter(|number| *number != home);
        for (count, peer) in peers.enumerate() {
            if loss == 1 && count % 2 == 0 {
                continue;
            }
            let copies = if loss == 2 { 2 } else { 1 };
            for _ in 0..copies {
                let delay = match loss {
                    2 => self.rng.random_range(1..1_500),
                    _ => self.rng.random_range(1..5),
                };
                let event = RequestEvent::TakeOver(peer, Box::new(handover.clone()));
                self.queue.push(delay, event);
            }
        }
    }
}
