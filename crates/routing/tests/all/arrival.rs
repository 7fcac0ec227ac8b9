//! The routing decision for a forwarded packet at the agent that received it.

use lovagelatch_domain::{ConfigRevision, ServiceId};
use lovagelatch_keys::FlowToken;
use lovagelatch_routing::{
    ArrivalDecision, ArrivalPacket, FlowAdmission, FlowRouter, RouteRefusal, RoutingTable,
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
    admission: FlowAdmission,
    expected: ArrivalDecision,
}

/// A new flow of claims that the agent accepts. Each case changes the fields that it tests.
fn base(name: &'static str) -> ArrivalCase {
    ArrivalCase {
        name,
        table: table(&live(2)),
        address: CLAIMS_ADDRESS,
        token: None,
        service: CLAIMS,
        revision: 5,
        hops: 0,
        admission: FlowAdmission::Accepting,
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
    let other = ArrivalDecision::Forward { agent: agent(1) };
    vec![
        base("a new flow"),
        ArrivalCase {
            admission: FlowAdmission::OverShare,
            expected: other,
            ..base("over its share")
        },
        ArrivalCase {
            admission: FlowAdmission::Leaving,
            expected: other,
            ..base("leaving")
        },
        ArrivalCase {
            admission: FlowAdmission::Leaving,
            hops: 1,
            ..base("leaving, already forwarded by an agent")
        },
        ArrivalCase {
            admission: FlowAdmission::Leaving,
            table: table(&live(1)),
            ..base("leaving, no other agent")
        },
        ArrivalCase {
            admission: FlowAdmission::HandshakeStarted,
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
            ..base("the address has moved to another service")
        },
        ArrivalCase {
            address: MAPS_ADDRESS,
            revision: 6,
            ..base("the address has moved to this service")
        },
    ]
}

fn open_flow_cases() -> Vec<ArrivalCase> {
    vec![
        ArrivalCase {
            token: Some(token(OWN, CLAIMS)),
            admission: FlowAdmission::Leaving,
            ..base("a local flow, leaving")
        },
        ArrivalCase {
            token: Some(token(OWN, CLAIMS)),
            address: MAPS_ADDRESS,
            service: MAPS,
            ..base("a local flow whose address has moved to another service")
        },
        ArrivalCase {
            token: Some(token(101, CLAIMS)),
            expected: ArrivalDecision::Reset,
            ..base("a flow of an instance that has moved to another service")
        },
        ArrivalCase {
            token: Some(token(OWN, MAPS)),
            expected: wrong(MAPS, CLAIMS),
            ..base("a flow of this address's former service")
        },
        ArrivalCase {
            token: Some(token(9, CLAIMS)),
            expected: ArrivalDecision::Forward { agent: agent(9) },
            ..base("a flow of an agent that is not gone in this view")
        },
        ArrivalCase {
            token: Some(token(9, CLAIMS)),
            table: gone(9),
            expected: ArrivalDecision::Reset,
            ..base("a flow of an agent that is gone in both views")
        },
        ArrivalCase {
            token: Some(token(9, CLAIMS)),
            hops: 1,
            expected: ArrivalDecision::Reset,
            ..base("a flow of another agent, already forwarded by an agent")
        },
    ]
}

/// Guards against resets of flows of a healthy agent and against packets that loop. A balancer that
/// was paused acts on its stale view, so agents receive packets meant for others. They must not
/// rely on the balancer's view alone.
#[test]
fn an_agent_checks_what_a_balancer_forwarded() {
    let router = FlowRouter::new();
    for case in new_flow_cases().into_iter().chain(open_flow_cases()) {
        let arrival = ArrivalPacket {
            packet: packet(case.address, &[5; 20], case.token),
            service: case.service,
            revision: ConfigRevision(case.revision),
            hops: case.hops,
            admission: case.admission,
        };
        let decision = router.route_arrival(&arrival, agent(OWN), CLAIMS, &case.table);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}
