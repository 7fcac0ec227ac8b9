//! A running deployment: starts its processes and holds their state.

use std::net::{Ipv4Addr, SocketAddrV4};

use lovagelatch_domain::InstanceState;
use lovagelatch_history::TargetLeaving;
use serde_json::Value;

use crate::binaries::ProgramDirectory;
use crate::config_files::CallerAddress;
use crate::credentials::RunCredentials;
use crate::deployment::Deployment;
use crate::directory::RunDirectory;
use crate::error::LocalError;
use crate::ports::PortPool;
use crate::process::LocalProcess;
use crate::spawn::wait_ready;
use crate::target::{BalancerPlan, LocalBalancer, LocalTarget};

/// The processes and state of a running deployment.
#[derive(Debug)]
pub(crate) struct LocalRig {
    pub(crate) deployment: Deployment,
    pub(crate) directory: RunDirectory,
    pub(crate) programs: ProgramDirectory,
    pub(crate) credentials: RunCredentials,
    pub(crate) addresses: Vec<CallerAddress>,
    pub(crate) targets: Vec<LocalTarget>,
    pub(crate) balancers: Vec<LocalBalancer>,
    pub(crate) platform: LocalProcess,
    pub(crate) platform_address: SocketAddrV4,
    pub(crate) fabric: LocalProcess,
    pub(crate) fabric_admin: SocketAddrV4,
    pub(crate) gateway: SocketAddrV4,
    pub(crate) ports: PortPool,
    pub(crate) next_target: u32,
    pub(crate) next_balancer: usize,
    /// Number of service texts published.
    pub(crate) published_texts: u64,
    /// When each target announced that it leaves.
    pub(crate) leaving: Vec<TargetLeaving>,
    /// Propagation time of each configuration in milliseconds; `None` after a timeout.
    pub(crate) config_durations: Vec<Option<f64>>,
    /// Failures that the histories do not show.
    pub(crate) findings: Vec<String>,
}

/// Returns an address from the ready line of a stand-in.
pub(crate) fn ready_address(ready: &Value, field: &str) -> Option<SocketAddrV4> {
    ready.get(field)?.as_str()?.parse().ok()
}

impl LocalRig {
    /// Starts the stand-ins on which all other processes depend: platform and fabric.
    pub(crate) async fn start(
        deployment: Deployment,
        directory: RunDirectory,
        programs: ProgramDirectory,
        seed: u64,
    ) -> Result<Self, LocalError> {
        let credentials = RunCredentials::create(&directory, &deployment)?;
        let any = "127.0.0.1:0".to_owned();
        let logs = directory.logs.clone();
        let program = programs.program("lovagelatch-platform");
        let arguments = ["--listen".to_owned(), any.clone()];
        let (platform, ready) =
            LocalProcess::spawn_ready("platform", &program, &arguments, &logs).await?;
        let platform_address =
            ready_address(&ready, "address").ok_or_else(|| platform.not_ready())?;
        let program = programs.program("lovagelatch-fabric");
        let arguments = [
            "--listen-gateway".to_owned(),
            any.clone(),
            "--admin".to_owned(),
            any,
            "--seed".to_owned(),
            seed.to_string(),
        ];
        let (fabric, ready) =
            LocalProcess::spawn_ready("fabric", &program, &arguments, &logs).await?;
        let gateway = ready_address(&ready, "gateway").ok_or_else(|| fabric.not_ready())?;
        let fabric_admin = ready_address(&ready, "admin").ok_or_else(|| fabric.not_ready())?;
        Ok(Self {
            deployment,
            directory,
            programs,
            credentials,
            addresses: Vec::new(),
            targets: Vec::new(),
            balancers: Vec::new(),
            platform,
            platform_address,
            fabric,
            fabric_admin,
            gateway,
            ports: PortPool::new(),
            next_target: 0,
            next_balancer: 0,
            published_texts: 0,
            leaving: Vec::new(),
            config_durations: Vec::new(),
            findings: Vec::new(),
        })
    }

    /// Starts all instances of the deployment and waits until they are ready.
    pub(crate) async fn start_all(&mut self) -> Result<(), LocalError> {
        for (index, service) in self.deployment.services.into_iter().enumerate() {
            for (number, agency) in (1_u8..).zip(service.agencies) {
                let octet = u8::try_from(index).unwrap_or(u8::MAX);
                self.add_address(service.name, *agency, Ipv4Addr::new(127, 20, octet, number))?;
            }
        }
        let balancers: Vec<BalancerPlan> = (0..self.deployment.balancers)
            .map(|_| self.plan_balancer())
            .collect::<Result<_, _>>()?;
        let mut targets = Vec::new();
        for service in self.deployment.services {
            for _ in 0..service.targets {
                targets.push(self.plan_target(&service)?);
            }
        }
        self.publish_text().await?;
        let records = targets.iter().map(|plan| plan.record(InstanceState::Live));
        let entries = balancers
            .iter()
            .map(|plan| plan.record(InstanceState::Live));
        self.publish_records(records.collect(), entries.collect())
            .await?;
        for plan in targets {
            let mut target = self.spawn_target(plan, 0).await?;
            target.listed = true;
            self.targets.push(target);
        }
        for plan in balancers {
            let mut balancer = self.spawn_balancer(plan)?;
            balancer.listed = true;
            self.balancers.push(balancer);
        }
        self.publish_fleet().await?;
        for target in &mut self.targets {
            wait_ready(&mut target.agent, target.plan.addresses.operations).await?;
        }
        for balancer in &mut self.balancers {
            wait_ready(&mut balancer.process, balancer.plan.addresses.operations).await?;
        }
        Ok(())
    }

    /// Adds an address of a service. It is published with the next service text.
    pub(crate) fn add_address(
        &mut self,
        service: &'static str,
        agency: Option<&'static str>,
        ip: Ipv4Addr,
    ) -> Result<(), LocalError> {
        let address = self.ports.reserve(ip)?;
        self.ports.release(address);
        self.addresses.push(CallerAddress {
            service,
            agency,
            address,
        });
        Ok(())
    }

    /// Starts a new target of a service, waits until it is ready, and lists it.
    pub(crate) async fn add_target(
        &mut self,
        service: &str,
        cold_ms: u64,
    ) -> Result<String, LocalError> {
        let services = self.deployment.services;
        let found = services.iter().find(|candidate| candidate.name == service);
        let plan = self.plan_target(found.unwrap_or(&services[0]))?;
        let name = plan.name.clone();
        let mut target = self.spawn_target(plan, cold_ms).await?;
        wait_ready(&mut target.agent, target.plan.addresses.operations).await?;
        target.listed = true;
        self.targets.push(target);
        self.publish_fleet().await?;
        Ok(name)
    }

    /// Starts a new balancer, waits until it is ready, and lists it.
    pub(crate) async fn add_balancer(&mut self) -> Result<String, LocalError> {
        let plan = self.plan_balancer()?;
        let name = plan.name.clone();
        let mut balancer = self.spawn_balancer(plan)?;
        wait_ready(&mut balancer.process, balancer.plan.addresses.operations).await?;
        balancer.listed = true;
        self.balancers.push(balancer);
        self.publish_fleet().await?;
        Ok(name)
    }

    /// Returns name and operations address of every agent and balancer that should be running.
    pub(crate) fn running_operations(&self) -> Vec<(String, SocketAddrV4)> {
        let targets = self.targets.iter();
        let agents = targets
            .filter(|target| !target.agent.exit_expected)
            .map(|target| (target.agent.name.clone(), target.plan.addresses.operations));
        let balancers = self.balancers.iter();
        let balancers = balancers
            .filter(|balancer| !balancer.process.exit_expected)
            .map(|balancer| {
                let operations = balancer.plan.addresses.operations;
                (balancer.process.name.clone(), operations)
            });
        agents.chain(balancers).collect()
    }

    /// Returns all processes in the order in which they are stopped.
    pub(crate) fn processes(&mut self) -> Vec<&mut LocalProcess> {
        let mut processes = Vec::new();
        for target in &mut self.targets {
            processes.push(&mut target.agent);
            processes.push(&mut target.backend);
        }
        for balancer in &mut self.balancers {
            processes.push(&mut balancer.process);
        }
        processes.push(&mut self.fabric);
        processes.push(&mut self.platform);
        processes
    }

    /// Records every process that exited unexpectedly. Returns the new findings.
    pub(crate) fn check_processes(&mut self) -> Vec<String> {
        let ends: Vec<String> = self
            .processes()
            .into_iter()
            .filter_map(LocalProcess::unexpected_exit)
            .collect();
        self.findings.extend(ends.iter().cloned());
        ends
    }
}
