//! Targets and balancers of a running deployment.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use lovagelatch_domain::{
    AgentAddress, BalancerRecord, InstanceState, ServiceName, TargetId, TargetRecord, ZoneName,
};

use crate::process::LocalProcess;

/// The addresses of one of the system's processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessAddresses {
    pub(crate) control: SocketAddrV4,
    pub(crate) operations: SocketAddrV4,
    /// Where a balancer takes packets, or an agent its backend server's calls.
    pub(crate) listen: SocketAddrV4,
}

/// What is decided of a target before it starts.
#[derive(Clone, Debug)]
pub(crate) struct TargetPlan {
    pub(crate) name: String,
    pub(crate) number: u32,
    pub(crate) service: &'static str,
    pub(crate) zone: &'static str,
    pub(crate) slots: u16,
    pub(crate) addresses: ProcessAddresses,
}

impl TargetPlan {
    pub(crate) fn record(&self, state: InstanceState) -> TargetRecord {
        TargetRecord {
            id: TargetId(self.number),
            service: name::<ServiceName>(self.service),
            zone: name::<ZoneName>(self.zone),
            agent: AgentAddress(self.addresses.control),
            operations: self.addresses.operations,
            slots: self.slots,
            state,
        }
    }
}

/// A backend server with its agent.
#[derive(Debug)]
pub(crate) struct LocalTarget {
    pub(crate) plan: TargetPlan,
    pub(crate) state: InstanceState,
    /// Whether the platform lists it.
    pub(crate) listed: bool,
    pub(crate) agent: LocalProcess,
    pub(crate) backend: LocalProcess,
    pub(crate) backend_address: SocketAddrV4,
    pub(crate) history: PathBuf,
}

impl LocalTarget {
    pub(crate) fn is_live(&self) -> bool {
        self.listed && self.state == InstanceState::Live && !self.agent.may_end
    }
}

/// What is decided of a balancer before it starts.
#[derive(Clone, Debug)]
pub(crate) struct BalancerPlan {
    pub(crate) name: String,
    pub(crate) zone: &'static str,
    pub(crate) addresses: ProcessAddresses,
}

impl BalancerPlan {
    pub(crate) fn record(&self, state: InstanceState) -> BalancerRecord {
        BalancerRecord {
            control: AgentAddress(self.addresses.control),
            operations: self.addresses.operations,
            zone: name::<ZoneName>(self.zone),
            state,
        }
    }
}

/// A balancer.
#[derive(Debug)]
pub(crate) struct LocalBalancer {
    pub(crate) plan: BalancerPlan,
    /// Whether the platform lists it and the fabric hands it packets.
    pub(crate) listed: bool,
    pub(crate) process: LocalProcess,
}

/// A name from the tables of deployments, all of which are good names.
fn name<N: std::str::FromStr>(text: &str) -> N {
    let parsed = text.parse().ok();
    parsed.expect("the deployments' tables hold good names")
}
