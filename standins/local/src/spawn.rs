//! Plans and starts targets and balancers.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::InstanceState;
use tokio::time::Instant;

use crate::config_files::{AgentFields, CommonFields, agent_settings, balancer_settings};
use crate::deployment::DeploymentService;
use crate::error::LocalError;
use crate::http_client;
use crate::process::LocalProcess;
use crate::rig::{LocalRig, ready_address};
use crate::target::{BalancerPlan, LocalBalancer, LocalTarget, ProcessAddresses, TargetPlan};

/// Timeout for a balancer or an agent to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between readiness checks of a process.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(30);

impl LocalRig {
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

    /// Plans a new target of a service.
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

    /// Plans a new balancer.
    pub(crate) fn plan_balancer(&mut self) -> Result<BalancerPlan, LocalError> {
        self.next_balancer += 1;
        Ok(BalancerPlan {
            name: format!("balancer-{}", self.next_balancer),
            zone: self.deployment.zone(self.next_balancer),
            addresses: self.reserve_addresses()?,
        })
    }

    /// Starts a target's backend server, then its agent.
    pub(crate) async fn spawn_target(
        &mut self,
        plan: TargetPlan,
        cold_ms: u64,
    ) -> Result<LocalTarget, LocalError> {
        let logs = self.directory.logs.clone();
        let history = logs.join(format!("{}.jsonl", plan.name));
        let mut arguments = vec![
            "--listen=127.0.0.1:0".to_owned(),
            format!("--service={}", plan.service),
            format!("--target={}", plan.name),
            format!("--slots={}", plan.slots),
            format!("--cold-ms={cold_ms}"),
            format!("--history={}", history.display()),
        ];
        if let Some(path) = self.dependency_path(plan.service) {
            arguments.push(format!("--gateway={}", plan.addresses.listen));
            arguments.push(format!("--dependency={path}"));
        }
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

    /// Returns the gateway path of the documents of the service that this one depends on.
    fn dependency_path(&self, service: &str) -> Option<String> {
        let services = self.deployment.services;
        let service = services.iter().find(|entry| entry.name == service)?;
        let depends = service.depends?;
        let dependency = services.iter().find(|entry| entry.name == depends)?;
        Some(format!("/{depends}{}", dependency.download?))
    }

    pub(crate) fn spawn_balancer(
        &mut self,
        plan: BalancerPlan,
    ) -> Result<LocalBalancer, LocalError> {
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
        let process = LocalProcess::spawn_logged(name, &program, &arguments, logs)?;
        Ok(process)
    }
}

/// Waits until a process reports on its operations address that it is ready.
pub(crate) async fn wait_ready(
    process: &mut LocalProcess,
    operations: SocketAddrV4,
) -> Result<(), LocalError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while http_client::get(operations, "/health").await.is_err() {
        if process.exit_status().is_some() {
            return Err(process.exited_early());
        }
        if Instant::now() > deadline {
            return Err(process.not_ready());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Ok(())
}
