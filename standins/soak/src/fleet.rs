//! The fleet under test: processes, targets and the proxies between them.

use std::collections::HashSet;
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
use serde_json::json;
use smallvec::smallvec;

use crate::addresses::{
    APP_PORT, FRAMES_PORT, GOSSIP_PORT, OPERATIONS_PORT, OUTBOUND_PORT, PACKETS_PORT, READY_PORT,
    RunNetwork,
};
use crate::check::SoakLog;
use crate::client::REQUEST_TIMEOUT;
use crate::event::SoakEvent;
use crate::load::{FLOW_LIFETIME, MAX_FLOWS, PRIORITIES, SLOTS, TargetProfile, request_policy};
use crate::process::SoakProcess;
use crate::proxy::{ProxyControl, spawn_datagram_proxy, spawn_stream_proxy};
use crate::target::{AllowedRoutes, Target};
use crate::timeline::RunTimeline;

/// Names of the services.
const SERVICES: [&str; 2] = ["claims", "vault"];

/// The index of each route's initial service.
const INITIAL_ROUTES: [u8; 3] = [0, 0, 1];

/// Time for which the entry of a dead target stays in the store: three heartbeats.
pub(crate) const ENTRY_TTL: Duration = Duration::from_millis(3_600);

/// Slots in the store entries of targets that accept everything.
const UNLIMITED_SLOTS: u16 = 8;

/// Time for which processes remember an idle flow.
const LONG_LIFETIME: Duration = Duration::from_secs(60);

/// Idle timeout of the configuration, for targets that accept everything.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A balancer under test.
pub(crate) struct TestBalancer {
    pub(crate) ip: Ipv4Addr,
    pub(crate) process: SoakProcess,
    /// Proxy between the balancer and the store.
    pub(crate) store_proxy: ProxyControl,
}

/// A machine under test, with a target and the agent beside it.
pub(crate) struct TestMachine {
    number: u8,
    ip: Ipv4Addr,
    pub(crate) service: u8,
    pub(crate) process: SoakProcess,
    pub(crate) target: Option<Target>,
    /// Proxy through which balancers and other agents reach the agent.
    pub(crate) agent_proxy: ProxyControl,
    /// Number in the name of the target's store entry: that of the first start under this name.
    name: u32,
    /// Names of the entries that the machine's targets have had.
    names: HashSet<TargetName>,
    /// Whether the next target starts under the name of the last one.
    pub(crate) reuse_name: bool,
    /// Entries of dead targets, with the time at which each expires.
    expiring: Vec<(TargetName, Instant)>,
}

/// Everything that a run starts, except clients and routers.
pub(crate) struct Fleet {
    pub(crate) network: RunNetwork,
    pub(crate) store: StoreStandin,
    pub(crate) balancers: Vec<TestBalancer>,
    pub(crate) machines: Vec<TestMachine>,
    pub(crate) log: Arc<SoakLog>,
    pub(crate) timeline: RunTimeline,
    allowed: AllowedRoutes,
    directory: PathBuf,
    /// Whether processes are started with SIGHUP ignored.
    ignore_hangup: bool,
    /// Whether routes have policies and targets a limited capacity.
    pub(crate) hard_load: bool,
    /// Priority of each route.
    pub(crate) priorities: [u8; 3],
    /// Number of target starts so far.
    starts: u32,
    /// Version of the last published configuration.
    version: u64,
    /// Index of the service of each route.
    pub(crate) routes: [u8; 3],
    /// Whether the configuration names only the services of its routes.
    names_routed_only: bool,
}

impl Fleet {
    pub(crate) fn start(
        programs: &Path,
        directory: &Path,
        balancers: u8,
        machines: u8,
        ignore_hangup: bool,
        hard_load: bool,
        log: Arc<SoakLog>,
    ) -> io::Result<Self> {
        let (network, store) = RunNetwork::claim(StoreStandin::start)?;
        let mut fleet = Self {
            network,
            store,
            balancers: Vec::new(),
            machines: Vec::new(),
            log,
            timeline: RunTimeline::create(directory)?,
            allowed: Arc::new(Mutex::default()),
            directory: directory.to_owned(),
            ignore_hangup,
            hard_load,
            priorities: PRIORITIES,
            starts: 0,
            version: 0,
            routes: INITIAL_ROUTES,
            names_routed_only: false,
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
        let store_proxy = spawn_stream_proxy(proxy, self.network.store())?;
        let seeds = [0, 1].map(|seed| format!("{}:1", self.network.balancer(seed)));
        let section = format!(
            "[balancer]\ngossip = {ip}:{GOSSIP_PORT}\nseeds = {}\nstore = {proxy}\n",
            seeds.join(",")
        );
        let name = format!("balancer-{number}");
        let mut process =
            self.new_process(programs, &name, "lovagelatch-balancer", ip, &section)?;
        process.start()?;
        self.balancers.push(TestBalancer {
            ip,
            process,
            store_proxy,
        });
        Ok(())
    }

    fn add_machine(&mut self, programs: &Path, number: u8) -> io::Result<()> {
        // Two thirds of the targets run the first service.
        let service = u8::from(number % 3 == 2);
        let ip = self.network.machine(number);
        let proxy = SocketAddrV4::new(self.network.machine_proxy(number), FRAMES_PORT);
        let agent_proxy = spawn_datagram_proxy(proxy, SocketAddrV4::new(ip, FRAMES_PORT))?;
        let process = self.agent_process(programs, number, service, true)?;
        self.machines.push(TestMachine {
            number,
            ip,
            service,
            process,
            target: None,
            agent_proxy,
            name: 0,
            reuse_name: false,
            expiring: Vec::new(),
            names: HashSet::new(),
        });
        let at = self.machines.len() - 1;
        self.start_target(at)?;
        self.start_agent(at)
    }

    /// Starts the process of an agent.
    pub(crate) fn start_agent(&mut self, at: usize) -> io::Result<()> {
        let machine = &mut self.machines[at];
        if let Some(target) = &machine.target {
            self.log.record(SoakEvent::AgentStarted(target.start));
        }
        machine.process.start()
    }

    /// Starts the process of a balancer.
    pub(crate) fn start_balancer(&mut self, number: usize) -> io::Result<()> {
        let balancer = &mut self.balancers[number];
        self.log.record(SoakEvent::BalancerStarted(balancer.ip));
        balancer.process.start()
    }

    /// Exchanges the priorities of the routes that initially share a service, and publishes them.
    pub(crate) fn exchange_priorities(&mut self) {
        self.priorities.swap(0, 1);
        self.publish_routes();
    }

    /// Sets the factor by which the work of a machine's target takes longer.
    pub(crate) fn slow_target(&self, at: usize, factor: u32) {
        if let Some(target) = &self.machines[at].target {
            target.control.slow_factor.store(factor, Ordering::Relaxed);
        }
    }

    fn agent_process(
        &self,
        programs: &Path,
        number: u8,
        service: u8,
        first_start: bool,
    ) -> io::Result<SoakProcess> {
        let ip = self.network.machine(number);
        // The store lists the target under the address of the proxy, so the agent advertises it.
        let proxy = self.network.machine_proxy(number);
        let section = format!(
            "[agent]\nservice = {}\nbackend = {ip}:{APP_PORT}\noutbound = {ip}:{OUTBOUND_PORT}\n\
             advertised = {proxy}:{FRAMES_PORT}\n\
             first_start = {first_start}\n",
            SERVICES[usize::from(service)]
        );
        let name = format!("agent-{number}");
        self.new_process(programs, &name, "lovagelatch-agent", ip, &section)
    }

    fn new_process(
        &self,
        programs: &Path,
        name: &str,
        program: &str,
        ip: Ipv4Addr,
        section: &str,
    ) -> io::Result<SoakProcess> {
        let lifetime = if self.hard_load {
            FLOW_LIFETIME
        } else {
            LONG_LIFETIME
        };
        let text = format!(
            "[process]\nname = {name}\nzone = hall-a\ntraffic = opaque\n\
             [network]\nframes = {ip}:{FRAMES_PORT}\npackets = {ip}:{PACKETS_PORT}\n\
             ready = {ip}:{READY_PORT}\noperations = {ip}:{OPERATIONS_PORT}\n\
             [limits]\nflow_lifetime_s = {}\nstop_s = 6\n{section}",
            lifetime.as_secs()
        );
        let settings = self.directory.join(format!("{name}.ini"));
        fs::write(&settings, text)?;
        let log = self.directory.join(format!("{name}.log"));
        let process = SoakProcess::new(programs.join(program), settings, log);
        Ok(process.with_hangup_ignored(self.ignore_hangup))
    }

    /// Clears `first_start` in the agents' settings, because later starts are not the fleet's
    /// first.
    pub(crate) fn clear_first_start(&self) -> io::Result<()> {
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

    /// Moves a machine to the other service, from the next starts of its target and agent on.
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

    /// Starts a target on a machine and writes its store entry.
    pub(crate) fn start_target(&mut self, at: usize) -> io::Result<()> {
        self.starts += 1;
        let start = self.starts;
        let machine = &mut self.machines[at];
        if std::mem::take(&mut machine.reuse_name) {
            let name = target_name(machine.name);
            machine.expiring.retain(|(expiring, _)| *expiring != name);
        } else {
            machine.name = start;
        }
        machine.names.insert(target_name(machine.name));
        let (ip, service) = (machine.ip, machine.service);
        let allowed = Arc::clone(&self.allowed);
        let profile = if self.hard_load {
            TargetProfile::limited(machine.number)
        } else {
            TargetProfile::unlimited()
        };
        let log = Arc::clone(&self.log);
        let target = Target::spawn(ip, start, service, profile, allowed, log)?;
        machine.target = Some(target);
        let service_name = SERVICES[usize::from(service)];
        let fields = json!({ "machine": at, "target": start, "service": service_name });
        self.timeline.record("target started", &fields);
        self.log.record(SoakEvent::TargetStarted {
            target: start,
            service,
        });
        self.write_entry(at, false);
        Ok(())
    }

    /// Writes a target's store entry.
    pub(crate) fn write_entry(&self, at: usize, leaving: bool) {
        let machine = &self.machines[at];
        let Some(target) = &machine.target else {
            return;
        };
        let name_reused = machine.name != target.start;
        self.store.put_target(&PublishedTarget {
            name: target_name(machine.name),
            service: service_name(machine.service),
            address: SocketAddrV4::new(self.network.machine_proxy(machine.number), APP_PORT),
            zone: "hall-a".parse().expect("valid zone name"),
            slots: if self.hard_load {
                SLOTS
            } else {
                UNLIMITED_SLOTS
            },
            leaving,
            warming_ms: 0,
            start: TargetStart(if name_reused { target.start.into() } else { 0 }),
        });
    }

    /// Writes a target's store entry again, as a target does with each heartbeat. The entry of a
    /// leaving target still says that it is leaving.
    pub(crate) fn rewrite_entry(&self, at: usize) {
        let target = self.machines[at].target.as_ref();
        let leaving = target.is_some_and(|target| target.control.leaving.load(Ordering::Relaxed));
        self.write_entry(at, leaving);
    }

    /// Returns the name of a machine's target in the store.
    pub(crate) fn entry_name(&self, at: usize) -> TargetName {
        target_name(self.machines[at].name)
    }

    /// Writes two entries that belong to no target: a malformed one, and one of a service that is
    /// not in any configuration, with an address on which nothing listens.
    pub(crate) fn write_foreign_entries(&self) {
        self.store.put_malformed(&foreign_name(1));
        self.store.put_target(&PublishedTarget {
            name: foreign_name(2),
            service: "elsewhere".parse().expect("valid service name"),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
            zone: "hall-a".parse().expect("valid zone name"),
            slots: UNLIMITED_SLOTS,
            leaving: false,
            warming_ms: 0,
            start: TargetStart::default(),
        });
    }

    /// Removes the malformed foreign entry; the other one stays.
    pub(crate) fn remove_foreign_entry(&self) {
        self.store.remove_target(&foreign_name(1));
    }

    /// Ends a target at once. Its entry expires after [`ENTRY_TTL`].
    pub(crate) fn crash_target(&mut self, at: usize) {
        if let Some(mut target) = self.machines[at].target.take() {
            target.shut_down();
            let fields = json!({ "machine": at, "target": target.start });
            self.timeline.record("target crashed", &fields);
            let name = self.entry_name(at);
            let expires_at = Instant::now() + ENTRY_TTL;
            self.machines[at].expiring.push((name, expires_at));
        }
    }

    /// Ends a target after its drain, and removes its entry.
    pub(crate) fn retire_target(&mut self, at: usize) {
        if let Some(mut target) = self.machines[at].target.take() {
            target.shut_down();
            let fields = json!({ "machine": at, "target": target.start });
            self.timeline.record("target retired", &fields);
            self.store.remove_target(&self.entry_name(at));
        }
    }

    /// Removes the entries of dead targets that have expired.
    pub(crate) fn remove_expired_entries(&mut self) {
        let now = Instant::now();
        for machine in &mut self.machines {
            for (name, _) in machine.expiring.extract_if(.., |(_, at)| *at <= now) {
                self.store.remove_target(&name);
                let fields = json!({ "machine": machine.number, "name": name.0 });
                self.timeline.record("entry expired", &fields);
            }
        }
    }

    /// Makes the store come back from a copy that was made `age` ago. Entries of ended targets that
    /// come back with it expire after [`ENTRY_TTL`].
    pub(crate) fn restore_store(&mut self, age: Duration) {
        self.store.restore_copy(age);
        self.store.set_mode(StoreMode::Serving);
        let expires_at = Instant::now() + ENTRY_TTL;
        for name in self.store.target_names() {
            let mut machines = self.machines.iter_mut();
            let machine = machines.find(|machine| machine.names.contains(&name));
            let Some(machine) = machine else { continue };
            let current = machine.target.is_some() && target_name(machine.name) == name;
            let expiring = machine.expiring.iter().any(|(known, _)| *known == name);
            if !current && !expiring {
                machine.expiring.push((name, expires_at));
            }
        }
        self.timeline.record("store restored", &json!({}));
    }

    /// Writes the entries of all running targets and the configuration again.
    pub(crate) fn write_all_again(&mut self) {
        for at in 0..self.machines.len() {
            self.rewrite_entry(at);
        }
        self.write_routes();
    }

    /// Publishes a configuration that neither leads a route to the first service nor names it.
    pub(crate) fn drop_first_service(&mut self) {
        self.routes = [1; 3];
        self.names_routed_only = true;
        self.publish_routes();
    }

    /// Publishes the initial routes and names all services again.
    pub(crate) fn restore_first_service(&mut self) {
        self.routes = INITIAL_ROUTES;
        self.names_routed_only = false;
        self.publish_routes();
    }

    /// Publishes a new version of the configuration with the current services of the routes.
    pub(crate) fn publish_routes(&mut self) {
        self.version += 1;
        self.write_routes();
    }

    fn write_routes(&mut self) {
        let mut allowed = self.allowed.lock().expect("routes");
        let (hard_load, priorities) = (self.hard_load, self.priorities);
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
                policy: hard_load.then(|| {
                    let route = usize::from(number);
                    request_policy(route, priorities[route], REQUEST_TIMEOUT)
                }),
                homes: Box::default(),
                shares: smallvec![RouteShare {
                    service: service_name(service),
                    weight: 1,
                    warmup: None,
                    max_flows: hard_load.then_some(MAX_FLOWS),
                }],
            }
        });
        let config = PublishedConfig {
            version: ConfigRevision(self.version),
            idle_timeout: if hard_load {
                FLOW_LIFETIME
            } else {
                IDLE_TIMEOUT
            },
            routes: routes.collect(),
            unrouted: if self.names_routed_only {
                Vec::new()
            } else {
                (0..2).map(service_name).collect()
            },
            unusable: Vec::new(),
        };
        drop(allowed);
        self.store.put_config(&config);
        for (number, service) in (0..).zip(self.routes) {
            let address = RunNetwork::route(number);
            self.log
                .record(SoakEvent::RoutePublished { address, service });
        }
        let fields = json!({ "version": self.version, "services": self.routes });
        self.timeline.record("configuration published", &fields);
    }

    /// Makes the store's entry of a machine's target unreadable, if it has a target.
    pub(crate) fn spoil_entry(&self, at: usize) {
        if let Some(target) = &self.machines[at].target {
            self.store.put_malformed(&self.entry_name(at));
            self.log.record(SoakEvent::EntryUnreadable(target.start));
        }
    }

    /// Writes the entry of a machine's target again after [`Self::spoil_entry`].
    pub(crate) fn restore_entry(&self, at: usize) {
        self.rewrite_entry(at);
        let target = self.machines[at].target.as_ref();
        let target = target.filter(|target| !target.control.leaving.load(Ordering::Relaxed));
        if let Some(target) = target {
            self.log.record(SoakEvent::EntryRestored(target.start));
        }
    }

    /// Records that a machine is disturbed, if it has a target.
    pub(crate) fn record_disturbed(&self, at: usize) {
        if let Some(target) = &self.machines[at].target {
            self.log.record(SoakEvent::TargetDisturbed(target.start));
        }
    }

    pub(crate) fn shut_down(&mut self) {
        self.store.set_mode(StoreMode::Serving);
        for balancer in &mut self.balancers {
            balancer.process.kill();
        }
        for machine in &mut self.machines {
            machine.process.kill();
            if let Some(mut target) = machine.target.take() {
                target.shut_down();
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
    SERVICES[usize::from(service)]
        .parse()
        .expect("valid service name")
}
