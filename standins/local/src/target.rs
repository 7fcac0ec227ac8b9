//! Targets and balancers of a running deployment.

use std::net::SocketAddrV4;
use std::path::PathBuf;

use lovagelatch_domain::{
    AgentAddress, BalancerRecord, InstanceState, ServiceName, TargetId, TargetRecord, ZoneName,
};

use crate::process::LocalProcess;

/// The addresses of a balancer or an agent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProcessAddresses {
    pub(crate) control: SocketAddrV4,
    pub(crate) operations: SocketAddrV4,
    /// Where a balancer receives packets, or an agent the calls of its backend server.
    pub(crate) listen: SocketAddrV4,
}

/// A target that is planned but not started.
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
    /// Whether it is in the instance list of the platform.
    pub(crate) listed: bool,
    pub(crate) agent: LocalProcess,
    pub(crate) backend: LocalProcess,
    pub(crate) backend_address: SocketAddrV4,
    pub(crate) history: PathBuf,
}

impl LocalTarget {
    pub(crate) fn is_live(&self) -> bool {
        self.listed && self.state == InstanceState::Live && !self.agent.exit_expected
    }
}

/// A balancer that is planned but not started.
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

/// A running balancer.
#[derive(Debug)]
pub(crate) struct LocalBalancer {
    pub(crate) plan: BalancerPlan,
    /// Whether it is in the instance list of the platform and receives packets from the fabric.
    pub(crate) listed: bool,
    pub(crate) process: LocalProcess,
}

/// Parses a name from the deployment tables, all of which are valid.
fn name<N: std::str::FromStr>(text: &str) -> N {
    let parsed = text.parse().ok();
    parsed.expect("names in the deployment tables are valid")
}
