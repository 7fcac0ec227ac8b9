//! One run: start, strike, heal, judge.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use lovagelatch_adapter_standin::StoreMode;
use thiserror::Error;

use crate::addresses::RunNetwork;
use crate::check::{SoakEvent, SoakFinding, SoakLog};
use crate::client::{ClientPlan, begin_client};
use crate::fault::{SoakFault, SoakPlan, SoakStrike};
use crate::fleet::{BalancerUnit, Fleet, MachineUnit};
use crate::proxy::ProxyMode;
use crate::router::Router;

/// How long the fleet may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time between two looks at processes and strikes.
const STEP: Duration = Duration::from_millis(20);

/// Calm before the faults begin, so that flows are open.
const WARM_UP: Duration = Duration::from_secs(2);

/// How long after the last fault everything must be served: the longest is a target's expiry.
const HEAL_SPAN: Duration = Duration::from_secs(8);

/// How long the calm at the end lasts.
const CALM_SPAN: Duration = Duration::from_secs(4);

/// How long a leaving target stays.
const DRAIN: Duration = Duration::from_secs(5);

/// How long after its end a balancer starts again.
const BALANCER_RESTART: Duration = Duration::from_millis(300);

/// Time from a retired target's end to the start of the next one at its place.
const REPLACEMENT: Duration = Duration::from_millis(300);

/// Requests that a run must serve at the least, or it did not test anything.
const MIN_SERVED: u64 = 100;

/// What a run is told.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Draws the faults.
    pub seed: u64,
    /// How long faults strike.
    pub span: Duration,
    /// Processes in all, balancers and agents.
    pub processes: u8,
    /// Whether the faults that came later strike as well.
    pub further: bool,
    /// Whether processes are started with SIGHUP ignored, as by a supervisor that may signal them at any time.
    pub ignores_hangup: bool,
    /// The faults that strike; all where none is named.
    pub only: Vec<SoakFault>,
    /// How long after its end an agent starts again.
    pub agent_restart: Duration,
    /// Where the programs are.
    pub programs: PathBuf,
    /// Where settings and logs of the processes go.
    pub directory: PathBuf,
}

/// Why a run could not be made.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The operating system refused something.
    #[error("operating system: {0}")]
    System(#[from] io::Error),
    /// The fleet did not become ready.
    #[error("{ready} of {wanted} balancers were ready in time")]
    NotReady {
        /// How many were.
        ready: usize,
        /// How many there are.
        wanted: usize,
    },
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Broken promises.
    pub findings: Vec<SoakFinding>,
    /// Requests served.
    pub served: u64,
    /// Requests given up.
    pub failed: u64,
    /// Faults that struck.
    pub strikes: usize,
    /// Processes that ended by themselves.
    pub own_ends: u32,
    /// Clients that panicked: what they would have seen is not known.
    pub lost_clients: usize,
    /// Calls to the store.
    pub store_calls: u64,
}

impl SoakReport {
    /// Whether every promise was kept.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        let whole = self.own_ends == 0 && self.lost_clients == 0;
        self.findings.is_empty() && whole && self.served >= MIN_SERVED
    }
}

/// Runs one seed.
///
/// # Errors
///
/// A [`SoakError`] when the fleet could not be started.
pub fn run_soak(settings: &SoakSettings) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(&settings.directory)?;
    let mut run = SoakRun::begin(settings)?;
    run.wait_ready()?;
    run.fleet.mark_restarted()?;
    run.start_clients()?;
    run.pass(WARM_UP)?;
    let mut plan = if settings.only.is_empty() {
        SoakPlan::draw(settings.seed, settings.span)
    } else {
        SoakPlan::draw_of(&settings.only, settings.seed, settings.span)
    };
    if settings.further {
        plan.add_further(settings.seed, settings.span);
    }
    run.strike_all(&plan)?;
    run.pass(HEAL_SPAN)?;
    run.log.note(SoakEvent::Calm);
    run.pass(CALM_SPAN)?;
    Ok(run.finish())
}

/// Something to be done later.
enum Pending {
    Heal(SoakStrike),
    StartTarget(usize),
    Retire(usize, u32),
}

struct SoakRun {
    fleet: Fleet,
    router: Router,
    log: Arc<SoakLog>,
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    pending: Vec<(Instant, Pending)>,
    /// When each process that is down starts again: balancers, then machines.
    restarts: Vec<Option<Instant>>,
    /// How long after its end an agent starts again.
    agent_restart: Duration,
    struck: usize,
}

impl SoakRun {
    fn begin(settings: &SoakSettings) -> Result<Self, SoakError> {
        let balancers = (settings.processes / 3).max(2);
        let machines = (settings.processes - balancers.min(settings.processes)).max(6);
        let log = Arc::new(SoakLog::new());
        let (programs, directory) = (settings.programs.as_path(), settings.directory.as_path());
        let fleet = Fleet::begin(
            programs,
            directory,
            balancers,
            machines,
            settings.ignores_hangup,
            Arc::clone(&log),
        )?;
        let ended = Arc::new(AtomicBool::new(false));
        let addresses = fleet.balancers.iter().map(|unit| unit.ip).collect();
        let modulo = settings.seed.is_multiple_of(2);
        let router = Router::begin(addresses, modulo, Arc::clone(&ended));
        Ok(Self {
            restarts: vec![None; fleet.balancers.len() + fleet.machines.len()],
            fleet,
            router,
            log,
            ended,
            clients: Vec::new(),
            pending: Vec::new(),
            agent_restart: settings.agent_restart,
            struck: 0,
        })
    }

    fn wait_ready(&self) -> Result<(), SoakError> {
        let start = Instant::now();
        let wanted = self.fleet.balancers.len();
        while self.router.ready_count() < wanted {
            if start.elapsed() > READY_LIMIT {
                let ready = self.router.ready_count();
                return Err(SoakError::NotReady { ready, wanted });
            }
            std::thread::sleep(STEP);
        }
        Ok(())
    }

    fn start_clients(&mut self) -> io::Result<()> {
        let clients = u8::try_from(self.fleet.machines.len() * 3).unwrap_or(u8::MAX);
        for number in 0..clients {
            let route = u16::from(number % 3);
            let plan = ClientPlan {
                ip: self.fleet.network.client(number),
                number,
                service_address: RunNetwork::route(route),
                idempotent: route != 1,
                long_flows: route == 0 || number % 2 == 0,
            };
            let (router, log) = (self.router.clone(), Arc::clone(&self.log));
            let client = begin_client(plan, router, log, Arc::clone(&self.ended))?;
            self.clients.push(client);
        }
        Ok(())
    }

    fn strike_all(&mut self, plan: &SoakPlan) -> io::Result<()> {
        let start = Instant::now();
        for strike in &plan.strikes {
            while start.elapsed() < strike.at {
                self.step()?;
            }
            self.log.note(SoakEvent::Fault);
            self.struck += 1;
            self.strike(*strike)?;
            let heal = Instant::now() + strike.lasts;
            self.pending.push((heal, Pending::Heal(*strike)));
        }
        Ok(())
    }

    fn pass(&mut self, span: Duration) -> io::Result<()> {
        let until = Instant::now() + span;
        while Instant::now() < until || !self.pending.is_empty() {
            self.step()?;
        }
        Ok(())
    }

    /// Looks at processes, and does what is due.
    fn step(&mut self) -> io::Result<()> {
        std::thread::sleep(STEP);
        self.fleet.expire();
        let now = Instant::now();
        let due: Vec<_> = self.pending.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, pending) in due {
            match pending {
                Pending::Heal(strike) => self.heal(strike)?,
                Pending::StartTarget(at) if self.fleet.machines[at].target.is_none() => {
                    self.fleet.start_target(at)?;
                }
                Pending::StartTarget(_) => {}
                Pending::Retire(at, start) => self.retire(at, start),
            }
        }
        self.note_lasting();
        self.look_at_processes()
    }

    fn look_at_processes(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let balancers = self.fleet.balancers.len();
        for number in 0..self.restarts.len() {
            let process = match number.checked_sub(balancers) {
                None => &mut self.fleet.balancers[number].process,
                Some(at) => &mut self.fleet.machines[at].process,
            };
            process.look();
            let restart = &mut self.restarts[number];
            if process.is_running() {
                *restart = None;
                continue;
            }
            let pause = if number < balancers {
                BALANCER_RESTART
            } else {
                self.agent_restart
            };
            let due = *restart.get_or_insert(now + pause);
            if due <= now {
                process.start()?;
            }
            // What was planned excuses nothing.
            let planned = process.is_stopping();
            if let Some(at) = number.checked_sub(balancers).filter(|_| !planned) {
                self.fleet.note_disturbed(at);
            }
        }
        Ok(())
    }

    fn strike(&mut self, strike: SoakStrike) -> io::Result<()> {
        let balancer = strike.draw as usize % self.fleet.balancers.len();
        let machine = strike.draw as usize % self.fleet.machines.len();
        let fleet = &mut self.fleet;
        match strike.fault {
            SoakFault::KillBalancer => {
                self.disturb_balancer(balancer, |unit| unit.process.kill());
            }
            SoakFault::KillBalancers => {
                for number in 0..self.fleet.balancers.len() {
                    self.disturb_balancer(number, |unit| unit.process.kill());
                }
            }
            SoakFault::StopBalancer => fleet.balancers[balancer].process.stop(),
            SoakFault::RollBalancers => {
                let half = fleet.balancers.len() / 2;
                fleet.balancers[..half]
                    .iter_mut()
                    .for_each(|one| one.process.stop());
            }
            SoakFault::PauseBalancer => {
                // One that wakes acts on what it knew: the users excuse it as the agents it knows.
                self.log.note(SoakEvent::AllDisturbed);
                fleet.balancers[balancer].process.pause();
            }
            SoakFault::KillAgent => self.disturb(machine, |unit| unit.process.kill()),
            SoakFault::KillAgents => {
                for at in 0..self.fleet.machines.len() {
                    self.disturb(at, |unit| unit.process.kill());
                }
            }
            SoakFault::StopAgent => fleet.machines[machine].process.stop(),
            SoakFault::RollAgents => {
                let rolled = fleet.machines.iter_mut().skip(machine % 2).step_by(2);
                rolled.for_each(|one| one.process.stop());
            }
            SoakFault::PauseAgent => self.disturb(machine, |unit| unit.process.pause()),
            SoakFault::LosePower => self.lose_power(),
            SoakFault::CrashTarget | SoakFault::ReuseAddress => {
                self.disturb(machine, |unit| unit.process.kill());
                self.fleet.crash_target(machine);
            }
            SoakFault::RestartTarget => self.fleet.crash_target(machine),
            SoakFault::ReplaceTarget => self.announce(machine),
            SoakFault::CutMachine => self.disturb(machine, |unit| unit.way.set(ProxyMode::Silent)),
            SoakFault::PoorWay => self.disturb(machine, |unit| unit.way.set(ProxyMode::Poor)),
            SoakFault::SilentStore => {
                self.disturb_balancer(balancer, |unit| unit.store.set(ProxyMode::Silent));
            }
            SoakFault::ResetStore => {
                self.disturb_balancer(balancer, |unit| unit.store.set(ProxyMode::Reset));
            }
            SoakFault::OneWayStore => {
                self.disturb_balancer(balancer, |unit| unit.store.set(ProxyMode::OneWay));
            }
            SoakFault::PoorStore => {
                self.disturb_balancer(balancer, |unit| unit.store.set(ProxyMode::Poor));
            }
            SoakFault::StoreRefuses => fleet.store.set_mode(StoreMode::Refusing),
            SoakFault::StoreLapse => self.lapse(machine),
            SoakFault::StoreForgets => fleet.store.compact_history(),
            SoakFault::BadEntry => {
                if fleet.machines[machine].target.is_some() {
                    fleet.store.put_malformed(&fleet.entry_name(machine));
                }
            }
            SoakFault::RebornTarget => self.crash_reborn(machine),
            SoakFault::RebornWithAgent => {
                self.disturb(machine, |unit| unit.process.kill());
                self.crash_reborn(machine);
            }
            SoakFault::ForeignEntries => fleet.write_foreign_entries(),
            SoakFault::ChangeConfig => fleet.publish_routes(),
            SoakFault::MoveRoute => {
                fleet.routes[0] = 1;
                fleet.publish_routes();
            }
            SoakFault::HangUp => {
                let balancers = fleet.balancers.iter().map(|one| &one.process);
                let agents = fleet.machines.iter().map(|one| &one.process);
                balancers
                    .chain(agents)
                    .for_each(|process| process.hang_up());
            }
        }
        Ok(())
    }

    fn heal(&mut self, strike: SoakStrike) -> io::Result<()> {
        let balancer = strike.draw as usize % self.fleet.balancers.len();
        let machine = strike.draw as usize % self.fleet.machines.len();
        let fleet = &mut self.fleet;
        match strike.fault {
            SoakFault::PauseBalancer => {
                fleet.balancers[balancer].process.resume();
                self.log.note(SoakEvent::AllDisturbed);
            }
            SoakFault::PauseAgent => self.disturb(machine, |unit| unit.process.resume()),
            SoakFault::CutMachine | SoakFault::PoorWay => {
                self.disturb(machine, |unit| unit.way.set(ProxyMode::Open));
            }
            SoakFault::SilentStore
            | SoakFault::ResetStore
            | SoakFault::OneWayStore
            | SoakFault::PoorStore => {
                self.disturb_balancer(balancer, |unit| unit.store.set(ProxyMode::Open));
            }
            SoakFault::StoreRefuses | SoakFault::StoreLapse => {
                fleet.store.set_mode(StoreMode::Serving);
                for at in 0..fleet.machines.len() {
                    fleet.register_again(at);
                }
            }
            SoakFault::BadEntry => fleet.register_again(machine),
            SoakFault::MoveRoute => {
                fleet.routes[0] = 0;
                fleet.publish_routes();
            }
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
            SoakFault::ReuseAddress => self.reuse(machine)?,
            _ => {}
        }
        Ok(())
    }

    fn disturb(&mut self, at: usize, change: impl FnOnce(&mut MachineUnit)) {
        self.fleet.note_disturbed(at);
        change(&mut self.fleet.machines[at]);
    }

    fn disturb_balancer(&mut self, number: usize, change: impl FnOnce(&mut BalancerUnit)) {
        let balancer = &mut self.fleet.balancers[number];
        self.log.note(SoakEvent::BalancerDisturbed(balancer.ip));
        change(balancer);
    }

    /// A disturbance that lasts is one all the while.
    fn note_lasting(&self) {
        for (_, pending) in &self.pending {
            let Pending::Heal(strike) = pending else {
                continue;
            };
            match strike.fault {
                SoakFault::StoreRefuses | SoakFault::StoreLapse => {
                    self.log.note(SoakEvent::StoreDisturbed);
                }
                SoakFault::SilentStore
                | SoakFault::ResetStore
                | SoakFault::OneWayStore
                | SoakFault::PoorStore => {
                    let number = strike.draw as usize % self.fleet.balancers.len();
                    let ip = self.fleet.balancers[number].ip;
                    self.log.note(SoakEvent::BalancerDisturbed(ip));
                }
                _ => {}
            }
        }
    }

    fn lose_power(&mut self) {
        self.log.note(SoakEvent::AllDisturbed);
        for balancer in &mut self.fleet.balancers {
            balancer.process.kill();
        }
        for at in 0..self.fleet.machines.len() {
            self.fleet.machines[at].process.kill();
            self.fleet.crash_target(at);
        }
    }

    /// A target ends without a word, and starts again under its name.
    fn crash_reborn(&mut self, at: usize) {
        let machine = &mut self.fleet.machines[at];
        machine.reborn = machine.target.is_some();
        self.fleet.crash_target(at);
    }

    fn announce(&mut self, at: usize) {
        let Some(target) = &self.fleet.machines[at].target else {
            return;
        };
        if target.control.leaving.swap(true, Ordering::Relaxed) {
            return;
        }
        let start = target.start;
        self.fleet.register(at, true);
        self.log.note(SoakEvent::Leaving(start));
        let end = Instant::now() + DRAIN;
        self.pending.push((end, Pending::Retire(at, start)));
    }

    fn retire(&mut self, at: usize, start: u32) {
        let target = self.fleet.machines[at].target.as_ref();
        if target.is_some_and(|target| target.start == start) {
            self.fleet.retire_target(at);
            self.disturb(at, |unit| unit.process.stop());
            let next = Instant::now() + REPLACEMENT;
            self.pending.push((next, Pending::StartTarget(at)));
        }
    }

    /// Entries of living targets vanish while the store is silent.
    fn lapse(&mut self, from: usize) {
        self.fleet.store.set_mode(StoreMode::Silent);
        let count = self.fleet.machines.len();
        for at in (from..count).step_by(2) {
            let target = self.fleet.machines[at].target.as_ref();
            if target.is_some() {
                self.fleet.store.remove_target(&self.fleet.entry_name(at));
            }
        }
    }

    /// A target of the other service starts at a dead one's address, with an agent of its own.
    fn reuse(&mut self, at: usize) -> io::Result<()> {
        if self.fleet.machines[at].target.is_some() {
            return Ok(());
        }
        self.fleet.change_service(at)?;
        self.fleet.machines[at].process.kill();
        self.fleet.start_target(at)
    }

    fn finish(mut self) -> SoakReport {
        self.ended.store(true, Ordering::Relaxed);
        let ends = self.clients.drain(..).map(JoinHandle::join);
        let lost_clients = ends.filter(Result::is_err).count();
        let findings = self.log.findings();
        let (served, failed) = self.log.outcomes();
        let balancers = self.fleet.balancers.iter().map(|one| one.process.own_ends);
        let agents = self.fleet.machines.iter().map(|one| one.process.own_ends);
        let report = SoakReport {
            findings,
            served,
            failed,
            strikes: self.struck,
            own_ends: balancers.chain(agents).sum(),
            lost_clients,
            store_calls: self.fleet.store.calls(),
        };
        self.fleet.end();
        report
    }
}
