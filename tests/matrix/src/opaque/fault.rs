//! Injection and end of each fault.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_catalog::{PublishedTarget, RouteShare, TargetName, TargetRow, TargetStart};
use lovagelatch_domain::Moment;
use rand::Rng;
use smallvec::smallvec;

use super::OpaqueFault;
use super::history::OpaqueEvent;
use super::network::{Datagram, Network};
use super::process::Balancer;
use super::target::Target;
use super::world::{OpaqueWorld, WorldEvent, vault};

/// Duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2_500;

/// Duration of an evacuation: longer than any process needs to learn of it.
const EVACUATION_DURATION_MS: std::ops::Range<u64> = 2_000..5_000;

/// Time until a killed process restarts.
const RESTART_DELAY_MS: u64 = 400;

/// Time until machines restart after a power loss.
const POWER_LOSS_MS: u64 = 1_200;

/// Time until the entry of a dead target expires: three heartbeats.
const ENTRY_TTL_MS: u64 = 3_600;

/// How long views remain incomplete after a store failure.
const DOUBT_WINDOW: Duration = Duration::from_secs(6);

/// Time from a target's announcement to its end; it may be many seconds longer than necessary.
const DRAIN_TIME_MS: u64 = 8_000;

impl OpaqueWorld {
    /// Returns the machine of the first client's flow, or a random one of its service.
    fn choose_holder(&mut self) -> usize {
        self.holder_machine
            .unwrap_or_else(|| self.rng.random_range(0..4))
    }

    pub(crate) fn inject(&mut self, fault: OpaqueFault) {
        let holder = self.choose_holder();
        let balancer = self.rng.random_range(0..self.balancers.len());
        let duration = match fault {
            OpaqueFault::ZoneEvacuated => self.rng.random_range(EVACUATION_DURATION_MS),
            _ => self.rng.random_range(FAULT_DURATION_MS),
        };
        self.queue
            .push(duration, WorldEvent::Heal(fault, holder, balancer));
        // The fault counts as a disturbance until its end.
        let end = self.now() + Duration::from_millis(duration);
        self.last_disturbance = self.last_disturbance.max(end);
        match fault {
            OpaqueFault::Drop => self.network.drop = 0.33,
            OpaqueFault::Duplicate => self.network.duplicate = 0.8,
            OpaqueFault::Reorder => self.network.jitter_ms = 60,
            OpaqueFault::Delay => self.network.jitter_ms = 900,
            OpaqueFault::BalancerKilled => self.kill_balancer(balancer),
            OpaqueFault::AllBalancersKilled => self.kill_balancers(),
            OpaqueFault::BalancerStopped => {
                self.balancers[balancer].ready = false;
            }
            OpaqueFault::RouterRehashed => {
                self.router_salt += 1_000;
                let mut own_address = self.balancers[balancer].own_address;
                own_address.0.set_port(
                    own_address.0.port() + 1 + u16::try_from(self.balancers.len()).unwrap_or(0),
                );
                let mut balancer = Balancer::new(own_address, self.balancers[balancer].zone);
                self.report_store_failure(&mut balancer);
                self.balancers.push(balancer);
                self.publish();
            }
            OpaqueFault::BalancerPaused => self.balancers[balancer].paused = true,
            OpaqueFault::StaleView => self.balancers[balancer].stale = true,
            OpaqueFault::AgentKilled => self.kill_agent(holder, RESTART_DELAY_MS, false),
            OpaqueFault::AgentStopped => self.machines[holder].logic.set_leaving(),
            OpaqueFault::AgentPaused => self.machines[holder].paused = true,
            OpaqueFault::AllProcessesKilled => {
                self.kill_balancers();
                for machine in 0..self.machines.len() {
                    self.kill_agent(machine, RESTART_DELAY_MS, false);
                }
            }
            OpaqueFault::MachinePowerLost => self.lose_power(holder),
            OpaqueFault::PowerLost => {
                self.kill_balancers();
                for machine in 0..self.machines.len() {
                    self.lose_power(machine);
                }
            }
            OpaqueFault::HalfPowerLost => {
                self.kill_balancers();
                for machine in 0..self.machines.len() {
                    if machine % 2 == 0 {
                        self.lose_power(machine);
                    } else {
                        self.kill_agent(machine, RESTART_DELAY_MS, false);
                    }
                }
            }
            OpaqueFault::MachineRemoved => self.remove_machine(holder),
            OpaqueFault::TargetLeaving => self.announce_leaving(holder),
            OpaqueFault::AddressReused => self.remove_machine(holder),
            OpaqueFault::TargetAdded => {
                let number = u16::try_from(self.machines.len() + 1).unwrap_or(u16::MAX);
                let service = super::world::claims();
                self.add_machine(number, &service);
                self.publish();
            }
            OpaqueFault::TargetFull => self.machines[holder].target.full = true,
            OpaqueFault::EntriesExpired => self.expire_entries(),
            OpaqueFault::LinkCut => {
                let agent = self.machines[holder].agent;
                self.balancers[balancer].unreachable_agent = Some(agent);
            }
            OpaqueFault::RouteMoved => {
                self.routes[0].shares = smallvec![share_of_vault()];
                self.version += 1;
                self.publish();
            }
            OpaqueFault::ServiceDropped => {
                for route in &mut self.routes {
                    route.shares = smallvec![share_of_vault()];
                }
                self.unrouted.clear();
                self.version += 1;
                self.publish();
            }
            OpaqueFault::RouteRemoved => {
                self.routes.remove(0);
                self.version += 1;
                self.publish();
            }
            OpaqueFault::TargetCrashed => self.crash_target(holder),
            OpaqueFault::MachineCrashed => {
                self.machines[holder].keeps_name = true;
                self.lose_power(holder);
            }
            OpaqueFault::EntryUnreadable => {
                self.machines[holder].readable = false;
                self.publish();
            }
            OpaqueFault::ForeignEntries => self.write_foreign_entries(),
            OpaqueFault::ZoneEvacuated => {
                let zone = self.machines[holder].zone;
                self.set_evacuated(zone, true);
            }
            OpaqueFault::ZonePairPartitioned => {
                let zones = (self.balancers[balancer].zone, self.machines[holder].zone);
                self.partitioned_zones = (zones.0 != zones.1).then_some(zones);
            }
        }
    }

    fn set_evacuated(&mut self, zone: &'static str, evacuated: bool) {
        let now = self.now();
        self.evacuated.retain(|(known, _)| *known != zone);
        if evacuated {
            self.evacuated.push((zone, now));
        }
        self.zones_revision.revision += 1;
        self.publish();
    }

    /// Crashes a target, which restarts under the same name, usually before its entry expires.
    fn crash_target(&mut self, machine: usize) {
        if !self.machines[machine].target.running {
            return;
        }
        self.machines[machine].keeps_name = true;
        self.stop_target(machine);
        let start = self.machines[machine].target.start;
        self.queue
            .push(ENTRY_TTL_MS, WorldEvent::ExpireEntry(machine, start));
        let delay = self.rng.random_range(FAULT_DURATION_MS);
        self.queue.push(delay, WorldEvent::StartMachine(machine));
    }

    fn write_foreign_entries(&mut self) {
        let unconfigured = PublishedTarget {
            name: TargetName("foreign-2".into()),
            service: "elsewhere".parse().expect("a service"),
            address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, 250), 8_000),
            zone: "hall-a".parse().expect("a zone"),
            slots: 3,
            leaving: false,
            warming_ms: 0,
            start: TargetStart::default(),
        };
        self.foreign = vec![
            TargetRow::Unreadable(TargetName("foreign-1".into())),
            TargetRow::Published(unconfigured),
        ];
        self.publish();
    }

    pub(crate) fn heal(&mut self, fault: OpaqueFault, machine: usize, balancer: usize) {
        match fault {
            OpaqueFault::Drop
            | OpaqueFault::Duplicate
            | OpaqueFault::Reorder
            | OpaqueFault::Delay => {
                self.network = Network::default();
            }
            OpaqueFault::BalancerStopped => self.kill_balancer(balancer),
            OpaqueFault::BalancerPaused => self.resume_balancer(balancer),
            OpaqueFault::StaleView => {
                self.balancers[balancer].stale = false;
                self.publish();
            }
            OpaqueFault::AgentStopped => self.kill_agent(machine, RESTART_DELAY_MS, false),
            OpaqueFault::AgentPaused => self.resume_agent(machine),
            OpaqueFault::AddressReused => self.reuse_address(machine),
            OpaqueFault::TargetFull => self.machines[machine].target.full = false,
            OpaqueFault::EntriesExpired => {
                for machine in &mut self.machines {
                    machine.listed = machine.target.running;
                }
                self.publish();
            }
            OpaqueFault::LinkCut => self.balancers[balancer].unreachable_agent = None,
            OpaqueFault::ZoneEvacuated => {
                let zone = self.machines[machine].zone;
                self.set_evacuated(zone, false);
            }
            OpaqueFault::ZonePairPartitioned => self.partitioned_zones = None,
            OpaqueFault::EntryUnreadable => {
                self.machines[machine].readable = true;
                self.publish();
            }
            OpaqueFault::RouteRemoved => {
                let mut route = self.routes[0].clone();
                route.address.set_port(8_001);
                route.idempotent = true;
                if self.routes.iter().all(|kept| kept.address != route.address) {
                    self.routes.insert(0, route);
                }
                self.version += 1;
                self.publish();
            }
            _ => {}
        }
    }

    fn kill_balancers(&mut self) {
        for number in 0..self.balancers.len() {
            self.kill_balancer(number);
        }
    }

    fn kill_balancer(&mut self, number: usize) {
        let balancer = &mut self.balancers[number];
        balancer.running = false;
        balancer.ready = false;
        balancer.queued.clear();
        let delay = RESTART_DELAY_MS + self.rng.random_range(0..200);
        self.queue.push(delay, WorldEvent::StartBalancer(number));
    }

    pub(crate) fn start_balancer(&mut self, number: usize) {
        let own_address = self.balancers[number].own_address;
        let mut balancer = Balancer::new(own_address, self.balancers[number].zone);
        self.report_store_failure(&mut balancer);
        self.balancers[number] = balancer;
        let delay = self.rng.random_range(10..100);
        self.queue.push(delay, WorldEvent::RefreshView(number));
    }

    /// Reports an earlier store failure to a new balancer, as the heads of the other balancers do.
    fn report_store_failure(&self, balancer: &mut Balancer) {
        if self.mechanisms.store_doubt && self.store_failed_at > Moment::ZERO {
            balancer.builder.record_store_failure(self.store_failed_at);
        }
    }

    fn resume_balancer(&mut self, number: usize) {
        let balancer = &mut self.balancers[number];
        if !std::mem::take(&mut balancer.paused) {
            return;
        }
        let mut queued = std::mem::take(&mut balancer.queued);
        // The process reads frames before the packets of clients.
        queued.sort_by_key(|datagram| matches!(datagram, Datagram::ToBalancer(..)));
        for datagram in queued {
            self.arrive(datagram);
        }
        self.queue.push(20, WorldEvent::RefreshView(number));
    }

    fn kill_agent(&mut self, machine: usize, restart_delay: u64, started_with_target: bool) {
        let host = &mut self.machines[machine];
        host.running = false;
        host.paused = false;
        host.queued.clear();
        if host.target.running {
            self.queue.push(
                restart_delay,
                WorldEvent::StartAgent(machine, started_with_target),
            );
        }
    }

    pub(crate) fn start_agent(&mut self, machine: usize, started_with_target: bool) {
        let now = self.now();
        let started_with_target = started_with_target || !self.mechanisms.trial_delivery;
        let host = &mut self.machines[machine];
        if host.target.running && !host.running {
            host.restart_agent(started_with_target, now);
        }
    }

    fn resume_agent(&mut self, machine: usize) {
        let host = &mut self.machines[machine];
        if !std::mem::take(&mut host.paused) {
            return;
        }
        for datagram in std::mem::take(&mut host.queued) {
            self.arrive(datagram);
        }
    }

    /// Stops a target and its agent, which restart without state.
    fn lose_power(&mut self, machine: usize) {
        if !self.machines[machine].target.running {
            return;
        }
        self.kill_agent(machine, POWER_LOSS_MS, false);
        self.stop_target(machine);
        self.queue
            .push(POWER_LOSS_MS, WorldEvent::StartMachine(machine));
    }

    fn stop_target(&mut self, machine: usize) {
        let target = &mut self.machines[machine].target;
        target.running = false;
        let target = target.start;
        self.record(OpaqueEvent::Ended { target });
    }

    pub(crate) fn start_machine(&mut self, machine: usize) {
        self.starts += 1;
        let start = self.starts;
        let host = &mut self.machines[machine];
        if host.target.running {
            return;
        }
        let is_renamed = !std::mem::take(&mut host.keeps_name);
        let is_listed = std::mem::replace(&mut host.listed, true);
        if is_renamed && is_listed {
            self.keep_former_entry(machine);
        }
        let host = &mut self.machines[machine];
        host.target.restart(start);
        if is_renamed {
            host.name_number = start;
        }
        self.start_agent(machine, false);
        self.publish();
    }

    /// Keeps the entry of a target that ended without announcing it until the entry expires.
    fn keep_former_entry(&mut self, machine: usize) {
        let entry = self.entry(&self.machines[machine]);
        let expires = WorldEvent::ExpireFormer(entry.name.clone());
        self.former.push(TargetRow::Published(entry));
        self.queue.push(ENTRY_TTL_MS - POWER_LOSS_MS, expires);
    }

    /// Removes a machine permanently; its entry expires later.
    fn remove_machine(&mut self, machine: usize) {
        if !self.machines[machine].target.running {
            return;
        }
        self.kill_agent(machine, RESTART_DELAY_MS, false);
        self.stop_target(machine);
        let start = self.machines[machine].target.start;
        self.queue
            .push(ENTRY_TTL_MS, WorldEvent::ExpireEntry(machine, start));
    }

    pub(crate) fn expire_entry(&mut self, machine: usize, start: u32) {
        let host = &mut self.machines[machine];
        if host.target.start == start {
            host.listed = false;
            self.publish();
        }
    }

    fn announce_leaving(&mut self, machine: usize) {
        let host = &mut self.machines[machine];
        if !host.target.running || host.target.leaving {
            return;
        }
        host.target.leaving = true;
        let target = host.target.start;
        self.record(OpaqueEvent::Leaving { target });
        self.queue
            .push(DRAIN_TIME_MS, WorldEvent::StopDrained(machine, target));
        self.publish();
    }

    /// Stops a target after its announcement, then its agent.
    pub(crate) fn stop_drained(&mut self, machine: usize, start: u32) {
        if self.machines[machine].target.start != start {
            return;
        }
        self.stop_target(machine);
        self.machines[machine].logic.set_leaving();
        self.machines[machine].listed = false;
        self.kill_agent(machine, RESTART_DELAY_MS, false);
        self.publish();
    }

    /// Starts a target of the other service at the address.
    fn reuse_address(&mut self, machine: usize) {
        if self.machines[machine].target.running {
            return;
        }
        self.starts += 1;
        let host = &mut self.machines[machine];
        host.target = Target::new(self.starts, vault().id());
        host.name_number = self.starts;
        host.listed = true;
        self.start_agent(machine, false);
        self.publish();
    }

    /// Simulates a store failure during which the entries of about half of the targets expire.
    fn expire_entries(&mut self) {
        let now = self.now();
        self.store_failed_at = now;
        // Lost flows are not reset in this window: their targets may run without an entry.
        self.last_disturbance = now + DOUBT_WINDOW;
        for number in 0..self.balancers.len() {
            if self.mechanisms.store_doubt {
                self.balancers[number].builder.record_store_failure(now);
            }
        }
        for machine in 0..self.machines.len() {
            if self.rng.random_bool(0.5) {
                self.machines[machine].listed = false;
            }
        }
        self.publish();
    }
}

fn share_of_vault() -> RouteShare {
    RouteShare {
        service: vault(),
        weight: 1,
        warmup: None,
        max_flows: None,
    }
}
