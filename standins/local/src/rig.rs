//! A running deployment: starting its processes.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::InstanceState;
use lovagelatch_history::TargetLeaving;
use serde_json::Value;
use tokio::time::Instant;

use crate::binaries::ProgramDirectory;
use crate::credentials::RunCredentials;
use crate::deployment::{Deployment, DeploymentService};
use crate::directory::RunDirectory;
use crate::error::LocalError;
use crate::fleet_files::{
    AgentFields, CallerAddress, CommonFields, agent_settings, balancer_settings,
};
use crate::http_client;
use crate::ports::PortPool;
use crate::process::LocalProcess;
use crate::target::{BalancerPlan, LocalBalancer, LocalTarget, ProcessAddresses, TargetPlan};

/// Longest wait for a process of the system to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// How often a process is asked whether it is ready.
const READY_PERIOD: Duration = Duration::from_millis(30);

/// A running deployment.
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
    gateway: SocketAddrV4,
    ports: PortPool,
    next_target: u32,
    next_balancer: usize,
    /// Texts published so far.
    pub(crate) changes: u64,
    /// First words of leaving.
    pub(crate) leaving: Vec<TargetLeaving>,
    /// How long each configuration took; `None` for one that was not in force in time.
    pub(crate) config_times: Vec<Option<f64>>,
    /// What broke besides what the histories show.
    pub(crate) findings: Vec<String>,
}

/// Where a stand-in says that it listens.
fn ready_address(ready: &Value, field: &str) -> Option<SocketAddrV4> {
    ready.get(field)?.as_str()?.parse().ok()
}

impl LocalRig {
    /// Starts the stand-ins that everything else needs: platform and fabric.
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
            changes: 0,
            leaving: Vec::new(),
            config_times: Vec::new(),
            findings: Vec::new(),
        })
    }

    /// Starts everything at the deployment's sizes and waits until all are ready.
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

    /// Adds an address that leads to a service; it is published with the next text.
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

    fn reserve_addresses(&mut self) -> Result<ProcessAddresses, LocalError> {
        Ok(ProcessAddresses {
            control: self.ports.reserve(Ipv4Addr::LOCALHOST)?,
            operations: self.ports.reserve(Ipv4Addr::LOCALHOST)?,
            listen: self.ports.reserve(Ipv4Addr::LOCALHOST)?,
        })
    }

    fn release_addresses(&mut self, addresses: &ProcessAddresses) {
        self.ports.release(addresses.control);
        self.ports.release(addresses.operations);
        self.ports.release(addresses.listen);
    }

    /// Decides on a new target of a service.
    pub(crate) fn plan_target(
        &mut self,
        service: &DeploymentService,
    ) -> Result<TargetPlan, LocalError> {
        self.next_target += 1;
        let number = self.next_target;
        let position = usize::try_from(number).unwrap_or(0);
        Ok(TargetPlan {
            name: format!("{}-{number}", service.name),
            number,
            service: service.name,
            zone: self.deployment.zone(position),
            slots: self.deployment.slots,
            addresses: self.reserve_addresses()?,
        })
    }

    /// Decides on a new balancer.
    pub(crate) fn plan_balancer(&mut self) -> Result<BalancerPlan, LocalError> {
        self.next_balancer += 1;
        Ok(BalancerPlan {
            name: format!("balancer-{}", self.next_balancer),
            zone: self.deployment.zone(self.next_balancer),
            addresses: self.reserve_addresses()?,
        })
    }

    /// Starts a target's backend server, then its agent.
    async fn spawn_target(
        &mut self,
        plan: TargetPlan,
        cold_ms: u64,
    ) -> Result<LocalTarget, LocalError> {
        let logs = self.directory.logs.clone();
        let history = logs.join(format!("{}.jsonl", plan.name));
        let arguments = [
            "--listen=127.0.0.1:0".to_owned(),
            format!("--service={}", plan.service),
            format!("--target={}", plan.name),
            format!("--slots={}", plan.slots),
            format!("--cold-ms={cold_ms}"),
            format!("--history={}", history.display()),
        ];
        let name = format!("backend-{}", plan.name);
        let program = self.programs.program("lovagelatch-backend");
        let (backend, ready) =
            LocalProcess::spawn_ready(&name, &program, &arguments, &logs).await?;
        let backend_address =
            ready_address(&ready, "address").ok_or_else(|| backend.not_ready())?;
        let name = format!("agent-{}", plan.name);
        let fields = AgentFields {
            service: plan.service,
            backend: backend_address,
            gateway_listen: plan.addresses.listen,
            certificate: &self.credentials.services[plan.service],
            slots: plan.slots,
        };
        let common = self.common_fields(&name, plan.zone, &plan.addresses);
        let settings = agent_settings(common, fields);
        let agent =
            self.spawn_with_settings(&name, "lovagelatch-agent", &settings, &plan.addresses)?;
        Ok(LocalTarget {
            plan,
            state: InstanceState::Live,
            listed: false,
            agent,
            backend,
            backend_address,
            history,
        })
    }

    fn spawn_balancer(&mut self, plan: BalancerPlan) -> Result<LocalBalancer, LocalError> {
        let common = self.common_fields(&plan.name, plan.zone, &plan.addresses);
        let settings = balancer_settings(common, plan.addresses.listen);
        let process = self.spawn_with_settings(
            &plan.name,
            "lovagelatch-balancer",
            &settings,
            &plan.addresses,
        )?;
        Ok(LocalBalancer {
            plan,
            listed: false,
            process,
        })
    }

    fn common_fields<'a>(
        &'a self,
        name: &'a str,
        zone: &'a str,
        addresses: &ProcessAddresses,
    ) -> CommonFields<'a> {
        CommonFields {
            name,
            zone,
            control: addresses.control,
            operations: addresses.operations,
            platform: self.platform_address,
            gateway: self.gateway,
            keys: &self.credentials.fleet_keys,
        }
    }

    fn spawn_with_settings(
        &mut self,
        name: &str,
        program: &str,
        settings: &str,
        addresses: &ProcessAddresses,
    ) -> Result<LocalProcess, LocalError> {
        let path = self.directory.write(&format!("{name}.ini"), settings)?;
        let program = self.programs.program(program);
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        self.release_addresses(addresses);
        let logs = &self.directory.logs;
        let (process, mut lines) = LocalProcess::spawn(name, &program, &arguments, logs)?;
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(process)
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

    /// Every process of the system that should be running.
    pub(crate) fn running_operations(&self) -> Vec<(String, SocketAddrV4)> {
        let targets = self.targets.iter();
        let agents = targets
            .filter(|target| !target.agent.may_end)
            .map(|target| (target.agent.name.clone(), target.plan.addresses.operations));
        let balancers = self.balancers.iter();
        let balancers = balancers
            .filter(|balancer| !balancer.process.may_end)
            .map(|balancer| {
                let operations = balancer.plan.addresses.operations;
                (balancer.process.name.clone(), operations)
            });
        agents.chain(balancers).collect()
    }

    /// All processes, in the order in which they are stopped.
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

    /// Notes every process that ended without leave.
    pub(crate) fn check_processes(&mut self) -> Vec<String> {
        let ends: Vec<String> = self
            .processes()
            .into_iter()
            .filter_map(LocalProcess::unexpected_end)
            .collect();
        self.findings.extend(ends.iter().cloned());
        ends
    }
}

/// Waits until a process says on its operations address that it is ready.
async fn wait_ready(
    process: &mut LocalProcess,
    operations: SocketAddrV4,
) -> Result<(), LocalError> {
    let deadline = Instant::now() + READY_LIMIT;
    while http_client::get(operations, "/health").await.is_err() {
        if process.exit_status().is_some() {
            return Err(process.ended_early());
        }
        if Instant::now() > deadline {
            return Err(process.not_ready());
        }
        tokio::time::sleep(READY_PERIOD).await;
    }
    Ok(())
}
