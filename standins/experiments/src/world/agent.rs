//! One agent with its gate and placement.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateReport, Moment, PeerReport, ZoneName};
use lovagelatch_placement::{
    AgencyBudgets, BudgetSettings, GateSettings, PlacementSettings, RequestGate, peer_subset,
};

use crate::scenario::{MEAN_SIZE, Scenario, TargetFault};

/// One way within a zone and between zones.
pub(super) const LOCAL_WAY: Duration = Duration::from_micros(250);
pub(super) const ZONE_WAY: Duration = Duration::from_micros(1_500);

pub(super) struct SimAgent<P> {
    pub(super) zone: ZoneName,
    pub(super) gate: RequestGate,
    pub(super) placement: P,
    pub(super) budgets: AgencyBudgets,
    pub(super) peers: Vec<PeerReport>,
    pub(super) wake_at: Option<Moment>,
}

pub(super) fn address_of(index: usize) -> AgentAddress {
    let [high, low] = u16::try_from(index).unwrap_or(u16::MAX).to_be_bytes();
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(127, 9, high, low), 7_000))
}

pub(super) fn index_of(address: AgentAddress) -> usize {
    let [_, _, high, low] = address.0.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

pub(super) fn new_agent<P>(
    index: usize,
    scenario: &Scenario,
    make: impl Fn(PlacementSettings) -> P,
) -> SimAgent<P> {
    let address = address_of(index);
    let zone = zone_of(index, scenario);
    let members: Vec<AgentAddress> = (0..scenario.deployment.targets).map(address_of).collect();
    let peers = peer_subset(address, &members)
        .into_iter()
        .map(|agent| PeerReport {
            agent,
            zone: zone_of(index_of(agent), scenario),
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
        .with_rtts(LOCAL_WAY * 2, ZONE_WAY * 2)
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

pub(super) fn zone_of(index: usize, scenario: &Scenario) -> ZoneName {
    let zone = index % scenario.deployment.zones;
    format!("zone-{zone}")
        .parse()
        .expect("zone names are valid constants")
}

/// What a gate shows of itself: the truth, unless it lies.
pub(super) fn shown_report(
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
