//! Generates the settings of processes and the service text.

use std::fmt::Write;
use std::net::SocketAddrV4;
use std::path::Path;

use crate::credentials::ServiceCertificate;
use crate::deployment::Deployment;

/// Drain timeout of a planned stop: longer than any run, so that feeds are never cut.
const DRAIN_MS: u64 = 3_600_000;

/// Settings common to all processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CommonFields<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    pub(crate) control: SocketAddrV4,
    pub(crate) operations: SocketAddrV4,
    pub(crate) platform: SocketAddrV4,
    pub(crate) gateway: SocketAddrV4,
    pub(crate) keys: &'a Path,
}

impl CommonFields<'_> {
    fn to_text(self) -> String {
        let Self {
            name,
            zone,
            control,
            operations,
            platform,
            gateway,
            keys,
        } = self;
        let keys = keys.display();
        format!(
            "[process]\nname = {name}\nzone = {zone}\ncontrol = {control}\n\
             operations = {operations}\nthreads = 2\n\n\
             [platform]\naddress = {platform}\n\n\
             [keys]\nfile = {keys}\n\n\
             [network]\ngateway = {gateway}\n\n\
             [limits]\ndrain_ms = {DRAIN_MS}\n\n"
        )
    }
}

/// Returns the settings of a balancer.
pub(crate) fn balancer_settings(common: CommonFields<'_>, listen: SocketAddrV4) -> String {
    let common = common.to_text();
    format!("{common}[balancer]\ningress = proxy-v2\nlisten = {listen}\n")
}

/// Additional settings of an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgentFields<'a> {
    pub(crate) service: &'a str,
    pub(crate) backend: SocketAddrV4,
    pub(crate) gateway_listen: SocketAddrV4,
    pub(crate) certificate: &'a ServiceCertificate,
    pub(crate) slots: u16,
}

/// Returns the settings of an agent.
pub(crate) fn agent_settings(common: CommonFields<'_>, agent: AgentFields<'_>) -> String {
    let AgentFields {
        service,
        backend,
        gateway_listen,
        certificate,
        slots,
    } = agent;
    let common = common.to_text();
    let chain = certificate.chain.display();
    let key = certificate.key.display();
    format!(
        "{common}[agent]\nservice = {service}\nbackend = {backend}\n\
         gateway_listen = {gateway_listen}\ncertificate = {chain}\nprivate_key = {key}\n\
         slots = {slots}\n"
    )
}

/// An address of a service that callers use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerAddress {
    pub(crate) service: &'static str,
    pub(crate) agency: Option<&'static str>,
    pub(crate) address: SocketAddrV4,
}

/// Returns the service text. `change` is written as a comment, so that each text differs.
pub(crate) fn service_text(
    deployment: &Deployment,
    addresses: &[CallerAddress],
    change: u64,
) -> String {
    let mut text = format!("; change {change}\n");
    for service in &deployment.services {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "[service {}]", service.name);
        for entry in addresses
            .iter()
            .filter(|entry| entry.service == service.name)
        {
            let agency = entry.agency.map(|agency| format!(" {agency}"));
            let agency = agency.unwrap_or_default();
            let _ = writeln!(text, "address = {}{agency}", entry.address);
        }
        if let Some(depends) = service.depends {
            let _ = writeln!(text, "depends = {depends}");
        }
        if let Some(filing) = service.filing {
            let _ = writeln!(text, "once = POST {filing}");
        }
        text.push('\n');
    }
    text
}
