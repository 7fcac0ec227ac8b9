//! One run: starts the fleet, injects and heals faults, and reports the violations.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lovagelatch_adapter_standin::StoreMode;
use serde_json::json;
use thiserror::Error;

use crate::addresses::RunNetwork;
use crate::check::SoakLog;
use crate::client::{ClientPlan, spawn_client};
use crate::event::{LoadFigures, SoakEvent, SoakFinding, StartNumber};
use crate::fault::{ScheduledFault, SoakFault, SoakPlan};
use crate::fleet::{Fleet, TestBalancer, TestMachine};
use crate::load::{RUSH_CLIENTS, RushControl, SLOW_FACTOR};
use crate::proxy::ProxyMode;
use crate::router::Router;

/// Time within which all balancers must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which processes and due actions are checked.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Time from the start of the clients to the first fault, in which long flows open.
const WARMUP_TIME: Duration = Duration::from_secs(2);

/// Time after the last fault within which the fleet must recover. The slowest part is the expiry of
/// a dead target's entry.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Time at the end of a run in which no request may fail.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Time from a target's announcement to leave until it ends.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// Delay from a balancer's exit until it is started again.
const BALANCER_RESTART_DELAY: Duration = Duration::from_millis(300);

/// Age of the copy that the store comes back from, in addition to the time that it was away.
const COPY_AGE: Duration = Duration::from_secs(4);

/// Delay from the return of the store until what it lost is written again: less than a heartbeat of
/// a target.
const REWRITE_DELAY: Duration = Duration::from_millis(800);

/// Delay from the end of a drained target until its replacement starts.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);

/// Minimum number of served requests; with fewer, the run has not tested anything.
const MIN_SERVED: u64 = 100;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed from which the faults are drawn. Its parity selects the routers' hashing.
    pub seed: u64,
    /// Time in which faults are injected.
    pub fault_duration: Duration,
    /// Number of processes, balancers and agents together. At least two balancers and six agents
    /// are started.
    pub processes: u8,
    /// Whether the plan includes [`SoakPlan::add_extra`].
    pub extra_faults: bool,
    /// Whether processes are started with SIGHUP ignored, as by a supervisor that may send SIGHUP
    /// at any time.
    pub ignore_hangup: bool,
    /// Whether routes have policies, targets a limited capacity, and the plan includes
    /// [`SoakPlan::add_load`].
    pub hard_load: bool,
    /// Kinds of faults to inject; if empty, those of [`SOAK_FAULTS`](crate::SOAK_FAULTS).
    pub only: Vec<SoakFault>,
    /// Delay from an agent's exit until it is started again.
    pub agent_restart: Duration,
    /// Pause of a client between two requests.
    pub request_pause: Duration,
    /// Directory of the programs.
    pub programs: PathBuf,
    /// Directory for settings and logs of the processes. It is created if missing.
    pub directory: PathBuf,
}

/// Error that prevents a run.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A call to the operating system failed.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
    /// Not all balancers became ready in time.
    #[error("timed out waiting for balancers: {ready} of {wanted} are ready")]
    NotReady {
        /// Number of ready balancers.
        ready: usize,
        /// Number of balancers in the fleet.
        wanted: usize,
    },
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Violated guarantees.
    pub findings: Vec<SoakFinding>,
    /// Number of requests served.
    pub served: u64,
    /// Number of requests given up.
    pub failed: u64,
    /// Number of faults injected.
    pub injected_faults: usize,
    /// Number of process exits that the soak did not cause.
    pub unexpected_exits: u32,
    /// Number of clients that panicked, whose observations are incomplete.
    pub panicked_clients: usize,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Figures of the load.
    pub load: LoadFigures,
}

impl SoakReport {
    /// Returns whether no guarantee was violated and the run is conclusive: no process exited
    /// unexpectedly, no client panicked and enough requests were served.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let complete = self.unexpected_exits == 0 && self.panicked_clients == 0;
        self.findings.is_empty() && complete && self.served >= MIN_SERVED
    }

    /// Returns the findings of each guarantee.
    #[must_use]
    pub fn findings_by_guarantee(&self) -> BTreeMap<&'static str, Vec<&SoakFinding>> {
        let mut findings: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for finding in &self.findings {
            findings.entry(finding.guarantee).or_default().push(finding);
        }
        findings
    }
}

/// Runs one seed.
///
/// # Errors
///
/// Returns a [`SoakError`] if the fleet cannot be started or controlled.
pub fn run_soak(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(&settings.directory)?;
    let mut run = SoakRun::start(settings)?;
    run.wait_ready()?;
    run.fleet.clear_first_start()?;
    run.start_clients()?;
    run.run_for(WARMUP_TIME)?;
    let mut plan = if settings.only.is_empty() {
        SoakPlan::draw(settings.seed, settings.fault_duration)
    } else {
        SoakPlan::draw_from(&settings.only, settings.seed, settings.fault_duration)
    };
    if settings.extra_faults {
        plan.add_extra(settings.seed, settings.fault_duration);
    }
    if settings.hard_load && settings.only.is_empty() {
        plan.add_load(settings.seed, settings.fault_duration);
    }
    run.inject_all(&plan)?;
    run.run_for(RECOVERY_TIME)?;
    run.log.record(SoakEvent::CalmStarted);
    run.run_for(CALM_TIME)?;
    Ok(run.finish())
}

/// An action that is due later. A `usize` is the index of a machine.
enum PendingAction {
    Heal(ScheduledFault),
    StartTarget(usize),
    /// Ends the target with this start number, if it still runs.
    RetireTarget(usize, StartNumber),
    /// Writes again what the store may have lost.
    Rewrite,
}

struct SoakRun {
    fleet: Fleet,
    router: Router,
    log: Arc<SoakLog>,
    shutdown: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    pending: Vec<(Instant, PendingAction)>,
    /// Time at which each exited process starts again: balancers first, then agents.
    restarts: Vec<Option<Instant>>,
    /// Delay from an agent's exit until it is started again.
    agent_restart: Duration,
    /// Pause of a client between two requests.
    request_pause: Duration,
    rush: RushControl,
    injected: usize,
}

impl SoakRun {
    fn start(settings: &SoakSettings) -> Result<Self, SoakError> {
        let balancers = (settings.processes / 3).max(2);
        let machines = (settings.processes - balancers.min(settings.processes)).max(6);
        let log = Arc::new(SoakLog::new());
        let (programs, directory) = (settings.programs.as_path(), settings.directory.as_path());
        let fleet = Fleet::start(
            programs,
            directory,
            balancers,
            machines,
            settings.ignore_hangup,
            settings.hard_load,
            Arc::clone(&log),
        )?;
        let shutdown = Arc::new(AtomicBool::new(false));
        let addresses = fleet.balancers.iter().map(|balancer| balancer.ip).collect();
        let modulo = settings.seed.is_multiple_of(2);
        let router = Router::spawn(addresses, modulo, Arc::clone(&shutdown));
        Ok(Self {
            restarts: vec![None; fleet.balancers.len() + fleet.machines.len()],
            fleet,
            router,
            log,
            shutdown,
            clients: Vec::new(),
            pending: Vec::new(),
            agent_restart: settings.agent_restart,
            request_pause: settings.request_pause,
            rush: RushControl::default(),
            injected: 0,
        })
    }

    fn wait_ready(&self) -> Result<(), SoakError> {
        let start = Instant::now();
        let wanted = self.fleet.balancers.len();
        while self.router.ready_count() < wanted {
            if start.elapsed() > READY_TIMEOUT {
                let ready = self.router.ready_count();
                return Err(SoakError::NotReady { ready, wanted });
            }
            std::thread::sleep(STEP_INTERVAL);
        }
        Ok(())
    }

    fn start_clients(&mut self) -> io::Result<()> {
        let clients = u8::try_from(self.fleet.machines.len() * 3).unwrap_or(u8::MAX);
        for number in 0..clients {
            let ip = self.fleet.network.client(number);
            self.start_client(ip, number.into(), false)?;
        }
        let clients = u16::from(clients);
        let rush_clients = clients
            * if self.fleet.hard_load {
                RUSH_CLIENTS
            } else {
                0
            };
        for number in clients..clients + rush_clients {
            let ip = self.fleet.network.rush_client(number);
            self.start_client(ip, number, true)?;
        }
        Ok(())
    }

    fn start_client(&mut self, ip: Ipv4Addr, number: u16, only_in_rush: bool) -> io::Result<()> {
        let route = number % 3;
        let plan = ClientPlan {
            ip,
            number,
            route: u8::try_from(route).unwrap_or(0),
            service_address: RunNetwork::route(route),
            idempotent: route != 1,
            long_flows: route == 0 || number.is_multiple_of(2),
            hard_load: self.fleet.hard_load,
            request_pause: self.request_pause,
            rush: only_in_rush.then(|| self.rush.clone()),
        };
        let (router, log) = (self.router.clone(), Arc::clone(&self.log));
        let client = spawn_client(plan, router, log, Arc::clone(&self.shutdown))?;
        self.clients.push(client);
        Ok(())
    }

    fn inject_all(&mut self, plan: &SoakPlan) -> io::Result<()> {
        let start = Instant::now();
        for fault in &plan.faults {
            while start.elapsed() < fault.at {
                self.step()?;
            }
            if !fault.fault.is_rush() {
                self.log.record(SoakEvent::FaultInjected);
            }
            self.injected += 1;
            self.inject(*fault)?;
            let heal = Instant::now() + fault.duration;
            self.pending.push((heal, PendingAction::Heal(*fault)));
        }
        Ok(())
    }

    /// Steps for `duration`, and longer while actions are pending.
    fn run_for(&mut self, duration: Duration) -> io::Result<()> {
        let until = Instant::now() + duration;
        while Instant::now() < until || !self.pending.is_empty() {
            self.step()?;
        }
        Ok(())
    }

    /// Performs due actions and checks processes.
    fn step(&mut self) -> io::Result<()> {
        std::thread::sleep(STEP_INTERVAL);
        self.fleet.remove_expired_entries();
        let now = Instant::now();
        let due: Vec<_> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, action) in due {
            match action {
                PendingAction::Heal(fault) => self.heal(fault)?,
                PendingAction::StartTarget(at) if self.fleet.machines[at].target.is_none() => {
                    self.fleet.start_target(at)?;
                }
                PendingAction::StartTarget(_) => {}
                PendingAction::RetireTarget(at, start) => self.retire_target(at, start),
                PendingAction::Rewrite => self.fleet.write_all_again(),
            }
        }
        self.record_ongoing_faults();
        self.check_processes()
    }

    fn check_processes(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let balancers = self.fleet.balancers.len();
        for number in 0..self.restarts.len() {
            let process = match number.checked_sub(balancers) {
                None => &mut self.fleet.balancers[number].process,
                Some(at) => &mut self.fleet.machines[at].process,
            };
            process.check_exit();
            let restart = &mut self.restarts[number];
            if process.is_running() {
                *restart = None;
                continue;
            }
            let delay = if number < balancers {
                BALANCER_RESTART_DELAY
            } else {
                self.agent_restart
            };
            let due = *restart.get_or_insert(now + delay);
            // A planned stop must not disturb anything, so it is not recorded.
            let planned = process.is_stopping() && due > now;
            if due <= now {
                match number.checked_sub(balancers) {
                    None => self.fleet.start_balancer(number)?,
                    Some(at) => self.fleet.start_agent(at)?,
                }
            }
            if let Some(at) = number.checked_sub(balancers).filter(|_| !planned) {
                self.fleet.record_disturbed(at);
            }
        }
        Ok(())
    }

    fn inject(&mut self, scheduled: ScheduledFault) -> io::Result<()> {
        self.record_fault("fault injected", scheduled);
        let balancer = scheduled.selector as usize % self.fleet.balancers.len();
        let machine = scheduled.selector as usize % self.fleet.machines.len();
        let fleet = &mut self.fleet;
        match scheduled.fault {
            SoakFault::KillBalancer => {
                self.disturb_balancer(balancer, |balancer| balancer.process.kill());
            }
            SoakFault::KillBalancers => {
                for number in 0..self.fleet.balancers.len() {
                    self.disturb_balancer(number, |balancer| balancer.process.kill());
                }
            }
            SoakFault::StopBalancer => fleet.balancers[balancer].process.stop(),
            SoakFault::RollBalancers => {
                let half = fleet.balancers.len() / 2;
                fleet.balancers[..half]
                    .iter_mut()
                    .for_each(|balancer| balancer.process.stop());
            }
            SoakFault::PauseBalancer => {
                // On its resumption, it acts on stale state towards all agents that it knows, which
                // the users tolerate.
                self.log.record(SoakEvent::AllTargetsDisturbed);
                fleet.balancers[balancer].process.pause();
            }
            SoakFault::KillAgent => self.disturb(machine, |machine| machine.process.kill()),
            SoakFault::KillAgents => {
                for at in 0..self.fleet.machines.len() {
                    self.disturb(at, |machine| machine.process.kill());
                }
            }
            SoakFault::StopAgent => fleet.machines[machine].process.stop(),
            SoakFault::RollAgents => {
                let rolled = fleet.machines.iter_mut().skip(machine % 2).step_by(2);
                rolled.for_each(|machine| machine.process.stop());
            }
            SoakFault::PauseAgent => self.disturb(machine, |machine| machine.process.pause()),
            SoakFault::LosePower => self.lose_power(),
            SoakFault::CrashTarget | SoakFault::ReuseAddress => {
                self.disturb(machine, |machine| machine.process.kill());
                self.fleet.crash_target(machine);
            }
            SoakFault::RestartTarget => self.fleet.crash_target(machine),
            SoakFault::ReplaceTarget => self.announce_leaving(machine),
            SoakFault::CutMachine => self.disturb(machine, |machine| {
                machine.agent_proxy.set(ProxyMode::Blackhole);
            }),
            SoakFault::PoorWay => self.disturb(machine, |machine| {
                machine.agent_proxy.set(ProxyMode::Degraded);
            }),
            SoakFault::SilentStore => {
                self.disturb_balancer(balancer, |balancer| {
                    balancer.store_proxy.set(ProxyMode::Blackhole);
                });
            }
            SoakFault::ResetStore => {
                self.disturb_balancer(balancer, |balancer| {
                    balancer.store_proxy.set(ProxyMode::Reset);
                });
            }
            SoakFault::OneWayStore => {
                self.disturb_balancer(balancer, |balancer| {
                    balancer.store_proxy.set(ProxyMode::OneWay);
                });
            }
            SoakFault::PoorStore => {
                self.disturb_balancer(balancer, |balancer| {
                    balancer.store_proxy.set(ProxyMode::Degraded);
                });
            }
            SoakFault::StoreRefuses => fleet.store.set_mode(StoreMode::Refusing),
            SoakFault::StoreLapse => self.expire_entries(machine),
            SoakFault::RestoreStore => fleet.store.set_mode(StoreMode::Silent),
            SoakFault::StoreForgets => fleet.store.compact_history(),
            SoakFault::BadEntry => fleet.spoil_entry(machine),
            SoakFault::RebornTarget => self.crash_keeping_name(machine),
            SoakFault::RebornWithAgent => {
                self.disturb(machine, |machine| machine.process.kill());
                self.crash_keeping_name(machine);
            }
            SoakFault::ForeignEntries => fleet.write_foreign_entries(),
            SoakFault::ChangeConfig => fleet.publish_routes(),
            SoakFault::MoveRoute => {
                fleet.routes[0] = 1;
                fleet.publish_routes();
            }
            SoakFault::HangUp => {
                let balancers = fleet.balancers.iter().map(|balancer| &balancer.process);
                let agents = fleet.machines.iter().map(|machine| &machine.process);
                balancers
                    .chain(agents)
                    .for_each(|process| process.send_hangup());
            }
            SoakFault::DropService => fleet.drop_first_service(),
            SoakFault::Rush => self.rush.start(scheduled.route()),
            SoakFault::RushAndMove => {
                self.rush.start(0);
                fleet.routes[0] = 1;
                fleet.publish_routes();
            }
            SoakFault::ExchangePriorities => fleet.exchange_priorities(),
            SoakFault::SlowTarget => fleet.slow_target(machine, SLOW_FACTOR),
        }
        Ok(())
    }

    fn heal(&mut self, scheduled: ScheduledFault) -> io::Result<()> {
        self.record_fault("fault healed", scheduled);
        let balancer = scheduled.selector as usize % self.fleet.balancers.len();
        let machine = scheduled.selector as usize % self.fleet.machines.len();
        let fleet = &mut self.fleet;
        match scheduled.fault {
            SoakFault::PauseBalancer => {
                fleet.balancers[balancer].process.resume();
                self.log.record(SoakEvent::AllTargetsDisturbed);
            }
            SoakFault::PauseAgent => self.disturb(machine, |machine| machine.process.resume()),
            SoakFault::CutMachine | SoakFault::PoorWay => {
                self.disturb(machine, |machine| {
                    machine.agent_proxy.set(ProxyMode::Forward);
                });
            }
            SoakFault::SilentStore
            | SoakFault::ResetStore
            | SoakFault::OneWayStore
            | SoakFault::PoorStore => {
                self.disturb_balancer(balancer, |balancer| {
                    balancer.store_proxy.set(ProxyMode::Forward);
                });
            }
            SoakFault::StoreRefuses | SoakFault::StoreLapse => {
                fleet.store.set_mode(StoreMode::Serving);
                for at in 0..fleet.machines.len() {
                    fleet.rewrite_entry(at);
                }
            }
            SoakFault::RestoreStore => {
                fleet.restore_store(COPY_AGE + scheduled.duration);
                let rewrite = Instant::now() + REWRITE_DELAY;
                self.pending.push((rewrite, PendingAction::Rewrite));
            }
            SoakFault::BadEntry => fleet.restore_entry(machine),
            SoakFault::MoveRoute => {
                fleet.routes[0] = 0;
                fleet.publish_routes();
            }
            SoakFault::DropService => fleet.restore_first_service(),
            SoakFault::ForeignEntries => fleet.remove_foreign_entry(),
            SoakFault::CrashTarget
            | SoakFault::RestartTarget
            | SoakFault::RebornTarget
            | SoakFault::RebornWithAgent
            | SoakFault::LosePower => {
                for at in 0..self.fleet.machines.len() {
                    if self.fleet.machines[at].target.is_none() {
                        self.fleet.start_target(at)?;
                    }
                }
            }
            SoakFault::ReuseAddress => self.reuse_address(machine)?,
            SoakFault::Rush => self.rush.end(scheduled.route()),
            SoakFault::RushAndMove => {
                self.rush.end(0);
                fleet.routes[0] = 0;
                fleet.publish_routes();
            }
            SoakFault::ExchangePriorities => fleet.exchange_priorities(),
            SoakFault::SlowTarget => fleet.slow_target(machine, 1),
            _ => {}
        }
        Ok(())
    }

    fn record_fault(&mut self, event: &str, scheduled: ScheduledFault) {
        let fields = json!({
            "fault": format!("{:?}", scheduled.fault),
            "balancer": scheduled.selector as usize % self.fleet.balancers.len(),
            "machine": scheduled.selector as usize % self.fleet.machines.len(),
        });
        self.fleet.timeline.record(event, &fields);
    }

    /// Records a disturbance of a machine, then causes it by `change`.
    fn disturb(&mut self, at: usize, change: impl FnOnce(&mut TestMachine)) {
        self.fleet.record_disturbed(at);
        change(&mut self.fleet.machines[at]);
    }

    /// Records a disturbance of a balancer, then causes it by `change`.
    fn disturb_balancer(&mut self, number: usize, change: impl FnOnce(&mut TestBalancer)) {
        let balancer = &mut self.fleet.balancers[number];
        self.log.record(SoakEvent::BalancerDisturbed(balancer.ip));
        change(balancer);
    }

    /// Records the disturbances of store faults that are not healed yet, which continue until then.
    fn record_ongoing_faults(&self) {
        if self.rush.any_active() {
            self.log.record(SoakEvent::RushActive);
        }
        for (_, action) in &self.pending {
            let scheduled = match action {
                PendingAction::Heal(scheduled) => scheduled,
                PendingAction::Rewrite => {
                    self.log.record(SoakEvent::StoreDisturbed);
                    continue;
                }
                PendingAction::StartTarget(_) | PendingAction::RetireTarget(..) => continue,
            };
            match scheduled.fault {
                SoakFault::StoreRefuses | SoakFault::StoreLapse | SoakFault::RestoreStore => {
                    self.log.record(SoakEvent::StoreDisturbed);
                }
                SoakFault::SilentStore
                | SoakFault::ResetStore
                | SoakFault::OneWayStore
                | SoakFault::PoorStore => {
                    let number = scheduled.selector as usize % self.fleet.balancers.len();
                    let ip = self.fleet.balancers[number].ip;
                    self.log.record(SoakEvent::BalancerDisturbed(ip));
                }
                _ => {}
            }
        }
    }

    fn lose_power(&mut self) {
        self.log.record(SoakEvent::AllTargetsDisturbed);
        for balancer in &mut self.fleet.balancers {
            balancer.process.kill();
        }
        for at in 0..self.fleet.machines.len() {
            self.fleet.machines[at].process.kill();
            self.fleet.crash_target(at);
        }
    }

    /// Kills a target that will start again under its name.
    fn crash_keeping_name(&mut self, at: usize) {
        let machine = &mut self.fleet.machines[at];
        machine.reuse_name = machine.target.is_some();
        self.fleet.crash_target(at);
    }

    /// Makes a target announce that it is leaving, and schedules its end.
    fn announce_leaving(&mut self, at: usize) {
        let Some(target) = &self.fleet.machines[at].target else {
            return;
        };
        if target.control.leaving.swap(true, Ordering::Relaxed) {
            return;
        }
        let start = target.start;
        self.fleet.write_entry(at, true);
        self.log.record(SoakEvent::TargetLeaving(start));
        let fields = json!({ "machine": at, "target": start });
        self.fleet.timeline.record("target leaving", &fields);
        let end = Instant::now() + DRAIN_TIME;
        self.pending
            .push((end, PendingAction::RetireTarget(at, start)));
    }

    fn retire_target(&mut self, at: usize, start: StartNumber) {
        let target = self.fleet.machines[at].target.as_ref();
        if target.is_some_and(|target| target.start == start) {
            self.fleet.retire_target(at);
            self.disturb(at, |machine| machine.process.stop());
            let next = Instant::now() + REPLACEMENT_DELAY;
            self.pending.push((next, PendingAction::StartTarget(at)));
        }
    }

    /// Makes the store hang, and removes the entries of every second running target meanwhile, as
    /// if they had expired.
    fn expire_entries(&mut self, from: usize) {
        self.fleet.store.set_mode(StoreMode::Silent);
        let count = self.fleet.machines.len();
        for at in (from..count).step_by(2) {
            let target = self.fleet.machines[at].target.as_ref();
            if target.is_some() {
                self.fleet.store.remove_target(&self.fleet.entry_name(at));
            }
        }
    }

    /// Starts a target of the other service at the address of a dead one. Its agent restarts with
    /// it.
    fn reuse_address(&mut self, at: usize) -> io::Result<()> {
        if self.fleet.machines[at].target.is_some() {
            return Ok(());
        }
        self.fleet.change_service(at)?;
        self.fleet.machines[at].process.kill();
        self.fleet.start_target(at)
    }

    fn finish(mut self) -> SoakReport {
        self.shutdown.store(true, Ordering::Relaxed);
        let results = self.clients.drain(..).map(JoinHandle::join);
        let panicked_clients = results.filter(Result::is_err).count();
        let findings = self.log.findings();
        let (served, failed) = self.log.outcomes();
        let balancers = self
            .fleet
            .balancers
            .iter()
            .map(|balancer| &balancer.process);
        let agents = self.fleet.machines.iter().map(|machine| &machine.process);
        let processes = balancers.chain(agents);
        let report = SoakReport {
            findings,
            served,
            failed,
            injected_faults: self.injected,
            unexpected_exits: processes.map(|process| process.unexpected_exits).sum(),
            panicked_clients,
            store_calls: self.fleet.store.calls(),
            load: self.log.load_figures(),
        };
        self.fleet.shut_down();
        report
    }
}
