//! Injects the faults and ends them again.

use std::time::Duration;

use lovagelatch_domain::Moment;
use rand::Rng;

use super::RequestFault;
use super::agent::{FakeAgent, key_ring};
use super::job::{JobOutcome, JobPhase, ReplyTo};
use super::relay::StreamSide;
use super::world::{AGENTS, RequestEvent, RequestWorld};

/// The lifetime of a ticket. It is short so that a pause can outlast it.
pub(crate) const TICKET_LIFETIME: Duration = Duration::from_secs(4);

/// The duration of the faults that are reversed by a [`Healing`].
const FAULT_DURATION_MS: u64 = 700;

/// Longer than any deadline.
const PAUSE_DURATION_MS: u64 = 1_200;

/// Longer than [`TICKET_LIFETIME`].
const LONG_PAUSE_DURATION_MS: u64 = 5_500;

/// The time from the end of an agent to its next start.
const RESTART_DELAY_MS: u64 = 150;

/// How a handover of a ledger arrives at the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HandoverDelivery {
    /// In time, at each peer.
    Prompt,
    /// In time, but not at every second peer.
    HalfLost,
    /// Late and twice, at each peer.
    LateAndTwice,
}

/// The time from the first handover of a ledger to the second.
const SECOND_HANDOVER_DELAY_MS: u64 = 400;

/// The time from the first handover of a ledger to the end of the process.
const DRAIN_DURATION_MS: u64 = 800;

/// What is restored when a fault ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Healing {
    Partitions,
    Frames,
    BackendDelay,
    Cancels,
    Slowdown,
    Shedding(usize),
}

impl RequestWorld {
    pub(crate) fn inject(&mut self, fault: RequestFault, holder: usize, gate: usize) {
        let heal = |world: &mut Self, healing| {
            world
                .queue
                .push(FAULT_DURATION_MS, RequestEvent::Heal(healing));
        };
        match fault {
            RequestFault::StreamBroken => {
                if let Some(stream) = self.newest_open_stream(holder, gate) {
                    self.break_stream(stream);
                }
            }
            RequestFault::StreamSilent => {
                let side = match self.rng.random_bool(0.5) {
                    true => StreamSide::Holder,
                    false => StreamSide::Gate,
                };
                if let Some(stream) = self.newest_open_stream(holder, gate) {
                    self.links[stream].silent = Some(side);
                }
            }
            RequestFault::FramesDelayed => {
                self.frame_delay_ms = 300;
                heal(self, Healing::Frames);
            }
            RequestFault::FramesDuplicated => {
                self.duplicate_frames = true;
                heal(self, Healing::Frames);
            }
            RequestFault::PartitionOneWay | RequestFault::PartitionBothWays => {
                self.partition(holder, gate, fault == RequestFault::PartitionBothWays);
                heal(self, Healing::Partitions);
            }
            RequestFault::HolderPaused => self.pause(holder, PAUSE_DURATION_MS),
            RequestFault::GatePaused => self.pause(gate, PAUSE_DURATION_MS),
            RequestFault::HomePausedLong => self.pause(self.home, LONG_PAUSE_DURATION_MS),
            RequestFault::HolderKilled => self.kill(holder),
            RequestFault::GateKilled => self.kill(gate),
            RequestFault::HomeKilled => self.kill(self.home),
            RequestFault::BackendKilled => {
                self.kill_backend(gate);
                self.start_backend(gate, "claims");
            }
            RequestFault::BackendSheds => {
                let backend = self.local_backends[gate];
                self.backends[backend].shedding = true;
                heal(self, Healing::Shedding(backend));
            }
            RequestFault::BackendSlow => {
                self.slowdown = 10;
                heal(self, Healing::Slowdown);
            }
            RequestFault::BackendRequestsDelayed => {
                self.backend_delay_ms = 300;
                heal(self, Healing::BackendDelay);
            }
            RequestFault::CrossedResponse => self.cross_next_response = true,
            RequestFault::LostBackendResponse => self.drop_next_response = true,
            RequestFault::LostCallerResponse => self.drop_next_reply = true,
            RequestFault::LostCancel => {
                self.drop_cancels = true;
                self.slowdown = 10;
                heal(self, Healing::Cancels);
                heal(self, Healing::Slowdown);
            }
            RequestFault::CallerGone => self.disconnect_caller(holder),
            RequestFault::HolderLeaving => self.set_leaving(holder),
            RequestFault::GateLeaving => self.set_leaving(gate),
            RequestFault::GateAddressReused => {
                self.kill_backend(gate);
                self.stop_agent(gate);
                self.queue
                    .push(RESTART_DELAY_MS, RequestEvent::Restart(gate, "maps"));
            }
            RequestFault::HomeShutdown => {
                self.stop_home(HandoverDelivery::Prompt, HandoverDelivery::Prompt);
            }
            RequestFault::LedgerHandoverLost => {
                self.stop_home(HandoverDelivery::HalfLost, HandoverDelivery::HalfLost);
            }
            RequestFault::LedgerHandoverDuplicated => {
                let late = HandoverDelivery::LateAndTwice;
                self.stop_home(late, late);
            }
            RequestFault::LedgerRepeatLost => {
                self.stop_home(HandoverDelivery::Prompt, HandoverDelivery::HalfLost);
            }
            RequestFault::LedgerLateAndRepeatLost => {
                self.stop_home(HandoverDelivery::LateAndTwice, HandoverDelivery::HalfLost);
            }
            // The home and its tickets keep the old key generation; all other agents have dropped
            // it.
            RequestFault::KeyGenerationDropped => {
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
            Healing::Partitions => self.partitions.clear(),
            Healing::Frames => {
                self.frame_delay_ms = 0;
                self.duplicate_frames = false;
            }
            Healing::BackendDelay => self.backend_delay_ms = 0,
            Healing::Cancels => self.drop_cancels = false,
            Healing::Slowdown => self.slowdown = 1,
            Healing::Shedding(backend) => self.backends[backend].shedding = false,
        }
    }

    /// Ends the newest call at the holder because its caller disconnected: removes it from the
    /// gate's queue, cancels its run or closes its relay stream. The caller never learns the
    /// outcome.
    fn disconnect_caller(&mut self, holder: usize) {
        let now = self.queue.now();
        let local = &mut self.agents[holder];
        let mut newest = local
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
            JobPhase::Running { .. } => self.cancel_run(holder, id),
            JobPhase::Queued => {
                local.gate.cancel_queued(attempt, now);
                local.jobs.remove(&id);
            }
            JobPhase::Offered(stream) | JobPhase::Relayed(stream, _) => {
                local.jobs.remove(&id);
                self.break_stream(stream);
            }
            JobPhase::New => {}
        }
        self.complete_call(call, &JobOutcome::Unknown);
    }

    fn newest_open_stream(&self, holder: usize, gate: usize) -> Option<usize> {
        let is_open = |stream: &usize| {
            let link = &self.links[*stream];
            !link.broken && (link.holder == holder || link.gate == gate)
        };
        (0..self.links.len()).rev().find(is_open)
    }

    fn partition(&mut self, holder: usize, gate: usize, both: bool) {
        let gate = match holder == gate {
            true => (gate + 1) % AGENTS,
            false => gate,
        };
        self.partitions.push((holder, gate));
        if both {
            self.partitions.push((gate, holder));
        }
    }

    /// Returns whether a partition drops a frame; if so, all later frames from that side of the
    /// stream are lost, too.
    pub(crate) fn silence_if_partitioned(&mut self, stream: usize, from: StreamSide) -> bool {
        let link = &mut self.links[stream];
        let ends = match from {
            StreamSide::Holder => (link.holder, link.gate),
            StreamSide::Gate => (link.gate, link.holder),
        };
        let partitioned = self.partitions.contains(&ends);
        if partitioned {
            link.silent = Some(from);
        }
        partitioned
    }

    fn pause(&mut self, agent: usize, millis: u64) {
        let until = self.queue.now().as_micros() + millis * 1_000;
        self.agents[agent].paused_until = Moment::from_micros(until);
    }

    fn kill(&mut self, agent: usize) {
        self.stop_agent(agent);
        self.queue
            .push(RESTART_DELAY_MS, RequestEvent::Restart(agent, "claims"));
    }

    /// Stops an agent: its streams break and its state is lost.
    pub(crate) fn stop_agent(&mut self, agent: usize) {
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
        let last_report = self.agents[agent].last_report;
        self.agents[agent] = FakeAgent::new(agent, start, service, now);
        if service != "claims" {
            // Peers keep the report of the former instance until they learn that it is gone.
            self.agents[agent].last_report = last_report;
            self.start_backend(agent, service);
        }
    }

    /// Shuts the home down gracefully: closes its ledger and hands it over to the peers, hands it
    /// over again with the responses received since, and stops the process.
    fn stop_home(&mut self, first: HandoverDelivery, second: HandoverDelivery) {
        let home = self.home;
        if !self.agents[home].running {
            return;
        }
        self.set_leaving(home);
        self.hand_over(home, first);
        let start = self.agents[home].start;
        let repeat = RequestEvent::RepeatHandover(home, start, second);
        self.queue.push(SECOND_HANDOVER_DELAY_MS, repeat);
        self.queue
            .push(DRAIN_DURATION_MS, RequestEvent::StopAgent(home, start));
        self.queue.push(
            DRAIN_DURATION_MS + RESTART_DELAY_MS,
            RequestEvent::Restart(home, "claims"),
        );
    }

    /// Sends the ledger to all peers.
    pub(crate) fn hand_over(&mut self, home: usize, delivery: HandoverDelivery) {
        let handover = match self.mechanisms.close_before_handover {
            true => self.agents[home].ledger.hand_over(),
            // The ledger stays open after a copy of it was handed over.
            false => self.agents[home].ledger.clone().hand_over(),
        };
        let peers = (0..AGENTS).filter(|number| *number != home);
        for (count, peer) in peers.enumerate() {
            if delivery == HandoverDelivery::HalfLost && count % 2 == 0 {
                continue;
            }
            let late = delivery == HandoverDelivery::LateAndTwice;
            let copies = if late { 2 } else { 1 };
            for _ in 0..copies {
                let delay = if late {
                    self.rng.random_range(1..1_500)
                } else {
                    self.rng.random_range(1..5)
                };
                let event = RequestEvent::DeliverHandover(peer, Box::new(handover.clone()));
                self.queue.push(delay, event);
            }
        }
    }
}
