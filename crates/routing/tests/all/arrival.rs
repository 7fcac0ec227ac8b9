//! The decision for a forwarded packet at the agent it reached.

use lovagelatch_domain::{ConfigRevision, ServiceId};
use lovagelatch_keys::FlowToken;
use lovagelatch_routing::{
    ArrivalDecision, ArrivalPacket, FlowHolding, FlowRouter, RouteRefusal, RoutingTable,
    TableBuilder,
};

use crate::support::{
    CLAIMS, CLAIMS_ADDRESS, MAPS, MAPS_ADDRESS, agent, live, packet, table, token,
};

const OWN: u16 = 0;

struct ArrivalCase {
    name: &'static str,
    table: RoutingTable,
    address: std::net::SocketAddrV4,
    token: Option<FlowToken>,
    service: ServiceId,
    revision: u64,
    hops: u8,
    holding: FlowHolding,
    expected: ArrivalDecision,
}

/// A new flow for claims that the agent takes; each case changes what it is about.
fn base(name: &'static str) -> ArrivalCase {
    ArrivalCase {
        name,
        table: table(&live(2)),
        address: CLAIMS_ADDRESS,
        token: None,
        service: CLAIMS,
        revision: 5,
        hops: 0,
        holding: FlowHolding::Open,
        expected: ArrivalDecision::Accept,
    }
}

fn wrong(flow: ServiceId, address: ServiceId) -> ArrivalDecision {
    ArrivalDecision::Refuse {
        reason: RouteRefusal::WrongService { flow, address },
    }
}

fn gone(number: u16) -> RoutingTable {
    let held = table(&live(2));
    TableBuilder::new(held.revision(), &held)
        .with_service(CLAIMS, [CLAIMS_ADDRESS], &live(2))
        .build()
        .with_gone([agent(number)])
}

fn new_flow_cases() -> Vec<ArrivalCase> {
    let other = ArrivalDecision::HandOn { agent: agent(1) };
    vec![
        base("a new flow"),
        ArrivalCase {
            holding: FlowHolding::OverShare,
            expected: other,
            ..base("over its share")
        },
        ArrivalCase {
            holding: FlowHolding::Leaving,
            expected: other,
            ..base("leaving")
        },
        ArrivalCase {
            holding: FlowHolding::Leaving,
            hops: 1,
            ..base("leaving, handed on already")
        },
        ArrivalCase {
            holding: FlowHolding::Leaving,
            table: table(&live(1)),
            ..base("leaving, nobody else")
        },
        ArrivalCase {
            holding: FlowHolding::Begun,
            ..base("the rest of a handshake")
        },
        ArrivalCase {
            service: MAPS,
            expected: wrong(MAPS, MAPS),
            ..base("placed for another service")
        },
        ArrivalCase {
            address: MAPS_ADDRESS,
            revision: 4,
            expected: wrong(CLAIMS, MAPS),
            ..base("the address has passed to another service since")
        },
        ArrivalCase {
            address: MAPS_ADDRESS,
            revision: 6,
            ..base("the address has passed to this service since")
        },
    ]
}

fn open_flow_cases() -> Vec<ArrivalCase> {
    vec![
        ArrivalCase {
            token: Some(token(OWN, CLAIMS)),
            holding: FlowHolding::Leaving,
            ..base("an own flow, leaving")
        },
        ArrivalCase {
            token: Some(token(OWN, CLAIMS)),
            address: MAPS_ADDRESS,
            service: MAPS,
            ..base("an own flow whose address has passed to another service since")
        },
        ArrivalCase {
            token: Some(token(101, CLAIMS)),
            expected: ArrivalDecision::Reset,
            ..base("a flow of an instance that has passed to another service since")
        },
        ArrivalCase {
            token: Some(token(OWN, MAPS)),
            expected: wrong(MAPS, CLAIMS),
            ..base("a flow of this address's former service")
        },
        ArrivalCase {
            token: Some(token(9, CLAIMS)),
            expected: ArrivalDecision::HandOn { agent: agent(9) },
            ..base("a flow of an agent that is not gone by this view")
        },
        ArrivalCase {
            token: Some(token(9, CLAIMS)),
            table: gone(9),
            expected: ArrivalDecision::Reset,
            ..base("a flow of an agent that is gone by both views")
        },
        ArrivalCase {
            token: Some(token(9, CLAIMS)),
            hops: 1,
            expected: ArrivalDecision::Reset,
            ..base("a flow of another agent, handed on already")
        },
    ]
}

/// Symptom: flows of a healthy agent are reset, or a packet circles. Sequence: a balancer
/// sleeps, wakes and acts on its old view; agents see packets meant for others. Cause: agents
/// that act on the balancer's view alone.
#[test]
fn an_agent_judges_what_a_balancer_sent() {
    let router = FlowRouter::new();
    for case in new_flow_cases().into_iter().chain(open_flow_cases()) {
        let arrival = ArrivalPacket {
            packet: packet(case.address, &[5; 20], case.token),
            service: case.service,
            revision: ConfigRevision(case.revision),
            hops: case.hops,
            holding: case.holding,
        };
        let decision = router.arrive(&arrival, agent(OWN), CLAIMS, &case.table);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}
