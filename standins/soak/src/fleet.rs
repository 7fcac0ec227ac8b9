//! The fleet under test: processes, targets, and what stands between them.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lovagelatch_adapter_standin::{StoreMode, StoreStandin};
use lovagelatch_catalog::{
    PublishedConfig, PublishedRoute, PublishedTarget, RouteShare, TargetName, TargetStart,
};
use lovagelatch_domain::{ConfigRevision, ServiceName};
use smallvec::smallvec;

use crate::addresses::{APP, FRAMES, GOSSIP, OPERATIONS, OUTBOUND, PACKETS, READY, RunNetwork};
use crate::check::{SoakEvent, SoakLog};
use crate::process::SoakProcess;
use crate::proxy::{ProxyControl, begin_datagram_proxy, begin_stream_proxy};
use crate::target::{AllowedRoutes, Target};

/// Services: the first has two routes, the second one.
const SERVICES: [&str; 2] = ["claims", "vault"];

/// How long the entry of a dead target stays: three heartbeats.
pub(crate) const EXPIRY: Duration = Duration::from_millis(3_600);

/// A balancer under test.
pub(crate) struct BalancerUnit {
    pub(crate) ip: Ipv4Addr,
    pub(crate) process: SoakProcess,
    /// Its way to the store.
    pub(crate) store: ProxyControl,
}

/// A machine under test: a target and the agent beside it.
pub(crate) struct MachineUnit {
    number: u8,
    ip: Ipv4Addr,
    pub(crate) service: u8,
    pub(crate) process: SoakProcess,
    pub(crate) target: Option<Target>,
    /// The way of balancers and other agents to this agent.
    pub(crate) way: ProxyControl,
    /// The number in its entry's name: that of its target's first start under it.
    name: u32,
    /// Whether its next target starts under the name that the last one had.
    pub(crate) reborn: bool,
    /// The entries of its dead targets, and when each expires.
    expiring: Vec<(TargetName, Instant)>,
}

/// Everything that a run starts.
pub(crate) struct Fleet {
    pub(crate) network: RunNetwork,
    pub(crate) store: StoreStandin,
    pub(crate) balancers: Vec<BalancerUnit>,
    pub(crate) machines: Vec<MachineUnit>,
    pub(crate) log: Arc<SoakLog>,
    allowed: AllowedRoutes,
    directory: PathBuf,
    /// Whether processes are started with SIGHUP ignored.
    ignores_hangup: bool,
    starts: u32,
    version: u64,
    /// The service of each route.
    pub(crate) routes: [u8; 3],
}

impl Fleet {
    pub(crate) fn begin(
        programs: &Path,
        directory: &Path,
        balancers: u8,
        machines: u8,
        ignores_hangup: bool,
        log: Arc<SoakLog>,
    ) -> io::Result<Self> {
        let (network, store) = RunNetwork::claim(StoreStandin::start)?;
        let mut fleet = Self {
            network,
            store,
            balancers: Vec::new(),
            machines: Vec::new(),
            log,
            allowed: Arc::new(Mutex::default()),
            directory: directory.to_owned(),
            ignores_hangup,
            starts: 0,
            version: 0,
            routes: [0, 0, 1],
        };
        fleet.publish_routes();
        for number in 0..machines {
            fleet.add_machine(programs, number)?;
        }
        for number in 0..balancers {
            fleet.add_balancer(programs, number)?;
        }
        Ok(fleet)
    }

    fn add_balancer(&mut self, programs: &Path, number: u8) -> io::Result<()> {
        let ip = self.network.balancer(number);
        let proxy = self.network.store_proxy(number);
        let store = begin_stream_proxy(proxy, self.network.store())?;
        let seeds = [0, 1].map(|seed| format!("{}:1", self.network.balancer(seed)));
        let own = format!(
            "[balancer]\ngossip = {ip}:{GOSSIP}\nseeds = {}\nstore = {proxy}\n",
            seeds.join(",")
        );
        let name = format!("balancer-{number}");
        let mut process = self.new_process(programs, &name, "lovagelatch-balancer", ip, &own)?;
        process.start()?;
        self.balancers.push(BalancerUnit { ip, process, store });
        Ok(())
    }

    fn add_machine(&mut self, programs: &Path, number: u8) -> io::Result<()> {
        // Two thirds of the targets are the first service's.
        let service = u8::from(number % 3 == 2);
        let ip = self.network.machine(number);
        let proxy = SocketAddrV4::new(self.network.machine_proxy(number), FRAMES);
        let way = begin_datagram_proxy(proxy, SocketAddrV4::new(ip, FRAMES))?;
        let process = self.agent_process(programs, number, service, true)?;
        self.machines.push(MachineUnit {
            number,
            ip,
            service,
            process,
            target: None,
            way,
            name: 0,
            reborn: false,
            expiring: Vec::new(),
        });
        let at = self.machines.len() - 1;
        self.start_target(at)?;
        self.machines[at].process.start()
    }

    fn agent_process(
        &self,
        programs: &Path,
        number: u8,
        service: u8,
        first: bool,
    ) -> io::Result<SoakProcess> {
        let ip = self.network.machine(number);
        // Others know it by the proxy before it, as the store lists its target.
        let proxy = self.network.machine_proxy(number);
        let own = format!(
            "[agent]\nservice = {}\nbackend = {ip}:{APP}\noutbound = {ip}:{OUTBOUND}\n\
             advertised = {proxy}:{FRAMES}\n\
             first_start = {first}\n",
            SERVICES[usize::from(service)]
        );
        let name = format!("agent-{number}");
        self.new_process(programs, &name, "lovagelatch-agent", ip, &own)
    }

    fn new_process(
        &self,
        programs: &Path,
        name: &str,
        program: &str,
        ip: Ipv4Addr,
        own: &str,
    ) -> io::Result<SoakProcess> {
        let text = format!(
            "[process]\nname = {name}\nzone = hall-a\ntraffic = opaque\n\
             [network]\nframes = {ip}:{FRAMES}\npackets = {ip}:{PACKETS}\nready = {ip}:{READY}\n\
             operations = {ip}:{OPERATIONS}\n[limits]\nflow_lifetime_s = 60\nstop_s = 6\n{own}"
        );
        let settings = self.directory.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = self.directory.join(format!("{name}.log"));
        let process = SoakProcess::new(programs.join(program), settings, log);
        Ok(process.with_hangup_ignored(self.ignores_hangup))
    }

    /// An agent that starts again is not at the fleet's first start any more.
    pub(crate) fn mark_restarted(&self) -> io::Result<()> {
        for machine in &self.machines {
            let path = self.directory.join(format!("agent-{}.ini", machine.number));
            let text = fs::read_to_string(&path)?;
            fs::write(
                &path,
                text.replace("first_start = true", "first_start = false"),
            )?;
        }
        Ok(())
    }

    /// From the next starts on, the machine's target and agent are of the other service.
    pub(crate) fn change_service(&mut self, at: usize) -> io::Result<()> {
        let machine = &mut self.machines[at];
        let old = SERVICES[usize::from(machine.service)];
        machine.service = 1 - machine.service;
        let new = SERVICES[usize::from(machine.service)];
        let path = self.directory.join(format!("agent-{}.ini", machine.number));
        let text = fs::read_to_string(&path)?;
        let text = text.replace(&format!("service = {old}"), &format!("service = {new}"));
        fs::write(&path, text)
    }

    /// Starts a target on a machine and registers it.
    pub(crate) fn start_target(&mut self, at: usize) -> io::Result<()> {
        self.starts += 1;
        let start = self.starts;
        let machine = &mut self.machines[at];
        if std::mem::take(&mut machine.reborn) {
            let name = target_name(machine.name);
            machine.expiring.retain(|(expiring, _)| *expiring != name);
        } else {
            machine.name = start;
        }
        let (ip, service) = (machine.ip, machine.service);
        let allowed = Arc::clone(&self.allowed);
        let target = Target::begin(ip, start, service, allowed, Arc::clone(&self.log))?;
        machine.target = Some(target);
        self.register(at, false);
        Ok(())
    }

    /// Writes a target's entry.
    pub(crate) fn register(&self, at: usize, leaving: bool) {
        let machine = &self.machines[at];
        let Some(target) = &machine.target else {
            return;
        };
        let reborn = machine.name != target.start;
        self.store.put_target(&PublishedTarget {
            name: target_name(machine.name),
            service: service_name(machine.service),
            address: SocketAddrV4::new(self.network.machine_proxy(machine.number), APP),
            zone: "hall-a".parse().expect("a zone"),
            slots: 8,
            leaving,
            warming_ms: 0,
            start: TargetStart(if reborn { target.start.into() } else { 0 }),
        });
    }

    /// Writes a target's entry anew, as the target itself does with each heartbeat: one that has
    /// announced that it leaves goes on saying so.
    pub(crate) fn register_again(&self, at: usize) {
        let target = self.machines[at].target.as_ref();
        let leaving = target.is_some_and(|one| one.control.leaving.load(Ordering::Relaxed));
        self.register(at, leaving);
    }

    /// The name of a machine's target in the store.
    pub(crate) fn entry_name(&self, at: usize) -> TargetName {
        target_name(self.machines[at].name)
    }

    /// Writes entries that are no target's: bytes that cannot be read, and one of a service that no
    /// configuration names, at an address where nobody listens.
    pub(crate) fn write_foreign_entries(&self) {
        self.store.put_malformed(&foreign_name(1));
        self.store.put_target(&PublishedTarget {
            name: foreign_name(2),
            service: "elsewhere".parse().expect("a service"),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
            zone: "hall-a".parse().expect("a zone"),
            slots: 8,
            leaving: false,
            warming_ms: 0,
            start: TargetStart::default(),
        });
    }

    /// Removes the first of them; the other one stays.
    pub(crate) fn remove_foreign_entry(&self) {
        self.store.remove_target(&foreign_name(1));
    }

    /// Ends a target at once; its entry expires later.
    pub(crate) fn crash_target(&mut self, at: usize) {
        if let Some(mut target) = self.machines[at].target.take() {
            target.end();
            let name = self.entry_name(at);
            let expiry = Instant::now() + EXPIRY;
            self.machines[at].expiring.push((name, expiry));
        }
    }

    /// Ends a target that left; its entry goes with it.
    pub(crate) fn retire_target(&mut self, at: usize) {
        if let Some(mut target) = self.machines[at].target.take() {
            target.end();
            self.store.remove_target(&self.entry_name(at));
        }
    }

    /// Removes the entries that have expired.
    pub(crate) fn expire(&mut self) {
        let now = Instant::now();
        for machine in &mut self.machines {
            for (name, _) in machine.expiring.extract_if(.., |(_, at)| *at <= now) {
                self.store.remove_target(&name);
            }
        }
    }

    /// Writes the configuration with the routes' present services.
    pub(crate) fn publish_routes(&mut self) {
        self.version += 1;
        let mut allowed = self.allowed.lock().expect("routes");
        let routes = (0..).zip(self.routes).map(|(number, service)| {
            let address = RunNetwork::route(number);
            let services = allowed.entry(address).or_default();
            if !services.contains(&service) {
                services.push(service);
            }
            PublishedRoute {
                address,
                name: format!("r-{number}"),
                idempotent: number != 1,
                homes: Box::default(),
                shares: smallvec![RouteShare {
                    service: service_name(service),
                    weight: 1,
                    warmup: None,
                }],
            }
        });
        let config = PublishedConfig {
            version: ConfigRevision(self.version),
            idle_timeout: Duration::from_secs(15),
            routes: routes.collect(),
            unrouted: (0..2).map(service_name).collect(),
        };
        drop(allowed);
        self.store.put_config(&config);
    }

    /// Notes that a machine is disturbed.
    pub(crate) fn note_disturbed(&self, at: usize) {
        if let Some(target) = &self.machines[at].target {
            self.log.note(SoakEvent::Disturbed(target.start));
        }
    }

    pub(crate) fn end(&mut self) {
        self.store.set_mode(StoreMode::Serving);
        for balancer in &mut self.balancers {
            balancer.process.kill();
        }
        for machine in &mut self.machines {
            machine.process.kill();
            if let Some(mut target) = machine.target.take() {
                target.end();
            }
        }
    }
}

fn foreign_name(number: u8) -> TargetName {
    TargetName(format!("foreign-{number}").into())
}

fn target_name(start: u32) -> TargetName {
    TargetName(format!("i-{start}").into())
}

fn service_name(service: u8) -> ServiceName {
    SERVICES[usize::from(service)].parse().expect("a service")
}
