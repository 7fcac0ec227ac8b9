//! A simulated agent with its gate, placement and retry budgets.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport, ZoneName};
use lovagelatch_placement::{
    AgencyBudgets, BudgetSettings, GateSettings, PlacementSettings, RequestGate, peer_subset,
};

use crate::scenario::{MEAN_SIZE, Scenario, TargetFault};

/// One-way network delay within a zone.
pub(super) const SAME_ZONE_DELAY: Duration = Duration::from_micros(250);

/// One-way network delay between zones.
pub(super) const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1_500);

pub(super) struct SimAgent<P> {
    pub(super) zone: ZoneName,
    pub(super) gate: RequestGate,
    pub(super) placement: P,
    pub(super) budgets: AgencyBudgets,
    pub(super) peers: Vec<PeerReport>,
    pub(super) wake_at: Option<Moment>,
}

pub(super) fn agent_address(index: usize) -> AgentAddress {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 9, high, low), 7_000))
}

pub(super) fn agent_index(address: AgentAddress) -> usize {
    let [_, _, high, low] = address.0.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

pub(super) fn new_agent<P>(
    index: usize,
    scenario: &Scenario,
    make: impl Fn(PlacementSettings) -> P,
) -> SimAgent<P> {
    let address = agent_address(index);
    let zone = agent_zone(index, scenario);
    let members: Vec<AgentAddress> = (0..scenario.deployment.targets)
        .map(agent_address)
        .collect();
    let peers = peer_subset(address, &members)
        .into_iter()
        .map(|agent| PeerReport {
            agent,
            zone: agent_zone(agent_index(agent), scenario),
            report: GateReport {
                slots: scenario.deployment.slots,
                service_time: Duration::from_secs_f64(MEAN_SIZE),
                ..GateReport::default()
            },
            received: Moment::ZERO,
            suspected: false,
        });
    let seed = scenario.seed.wrapping_mul(1_000_003) + index as u64;
    let settings = PlacementSettings::new(address, zone.clone())
        .with_rtts(SAME_ZONE_DELAY * 2, CROSS_ZONE_DELAY * 2)
        .with_seed(seed);
    SimAgent {
        zone,
        gate: RequestGate::new(GateSettings::new(scenario.deployment.slots)),
        placement: make(settings),
        budgets: AgencyBudgets::new(BudgetSettings::new()),
        peers: peers.collect(),
        wake_at: None,
    }
}

pub(super) fn agent_zone(index: usize, scenario: &Scenario) -> ZoneName {
    let zone = index % scenario.deployment.zones;
    format!("zone-{zone}")
        .parse()
        .expect("zone names are valid constants")
}

/// Returns the report that a gate publishes: its own, or with [`TargetFault::Lying`] an idle one
/// for target 0.
pub(super) fn visible_report(
    gate: &RequestGate,
    index: usize,
    fault: TargetFault,
    now: Moment,
) -> GateReport {
    let report = gate.report(now);
    if index != 0 || fault != TargetFault::Lying {
        return report;
    }
    GateReport {
        in_use: 0,
        queued: 0,
        expected_wait: Duration::ZERO,
        ..report
    }
}
