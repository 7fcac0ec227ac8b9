//! The routing decision for a packet at a balancer.

use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId};
use lovagelatch_keys::{FleetKeys, FlowToken};
use lovagelatch_membership::TargetStanding::{Leaving, Live};
use lovagelatch_routing::{FlowRouter, RouteDecision, RouteRefusal, RoutingTable, TableBuilder};
use quickcheck::quickcheck;

use crate::support::{
    CLAIMS, CLAIMS_ADDRESS, MAPS, MAPS_ADDRESS, OTHER_ADDRESS, agent, live, packet, secret, table,
    target, token,
};

struct TokenCase {
    name: &'static str,
    table: RoutingTable,
    address: std::net::SocketAddrV4,
    token: FlowToken,
    expected: RouteDecision,
}

fn forward(number: u16, service: ServiceId) -> RouteDecision {
    RouteDecision::Forward {
        agent: agent(number),
        service,
    }
}

fn refuse(reason: RouteRefusal) -> RouteDecision {
    RouteDecision::Refuse { reason }
}

fn with_gone(table: &RoutingTable, targets: u16, gone: u16) -> RoutingTable {
    TableBuilder::new(table.revision(), table)
        .with_service(CLAIMS, [CLAIMS_ADDRESS], &live(targets))
        .build()
        .with_gone([agent(gone)])
}

fn token_cases() -> Vec<TokenCase> {
    let claims = table(&live(3));
    let case = |name, table: &RoutingTable, address, token, expected| TokenCase {
        name,
        table: table.clone(),
        address,
        token,
        expected,
    };
    let shared = table(&[target(0, 3, Live), target(101, 3, Live)]);
    let leaving = table(&[target(0, 3, Live), target(1, 3, Leaving)]);
    vec![
        case(
            "a listed agent",
            &claims,
            CLAIMS_ADDRESS,
            token(2, CLAIMS),
            forward(2, CLAIMS),
        ),
        case(
            "an agent that no list names",
            &claims,
            CLAIMS_ADDRESS,
            token(60, CLAIMS),
            forward(60, CLAIMS),
        ),
        case(
            "a leaving agent",
            &leaving,
            CLAIMS_ADDRESS,
            token(1, CLAIMS),
            forward(1, CLAIMS),
        ),
        case(
            "an empty view",
            &RoutingTable::default(),
            CLAIMS_ADDRESS,
            token(2, CLAIMS),
            forward(2, CLAIMS),
        ),
        case(
            "an address that the view does not know yet",
            &claims,
            OTHER_ADDRESS,
            token(2, CLAIMS),
            forward(2, CLAIMS),
        ),
        case(
            "the address has moved to another service",
            &claims,
            MAPS_ADDRESS,
            token(2, CLAIMS),
            forward(2, CLAIMS),
        ),
        case(
            "the address has moved and no list names the agent",
            &claims,
            MAPS_ADDRESS,
            token(60, CLAIMS),
            forward(60, CLAIMS),
        ),
        case(
            "the instance has moved to another service",
            &claims,
            CLAIMS_ADDRESS,
            token(101, CLAIMS),
            refuse(RouteRefusal::AgentReassigned { flow: CLAIMS }),
        ),
        case(
            "instance and address have moved to another service",
            &claims,
            MAPS_ADDRESS,
            token(101, CLAIMS),
            refuse(RouteRefusal::AgentReassigned { flow: CLAIMS }),
        ),
        case(
            "an instance that both services list",
            &shared,
            CLAIMS_ADDRESS,
            token(101, CLAIMS),
            forward(101, CLAIMS),
        ),
        case(
            "gone, and the address has moved to another service",
            &with_gone(&claims, 1, 50),
            MAPS_ADDRESS,
            token(50, CLAIMS),
            RouteDecision::Reset {
                agent: agent(0),
                service: CLAIMS,
                gone: agent(50),
            },
        ),
        case(
            "the only agent is gone",
            &with_gone(&claims, 1, 50),
            CLAIMS_ADDRESS,
            token(50, CLAIMS),
            RouteDecision::Reset {
                agent: agent(0),
                service: CLAIMS,
                gone: agent(50),
            },
        ),
        case(
            "gone, and no target left to answer",
            &with_gone(&claims, 0, 50),
            CLAIMS_ADDRESS,
            token(50, CLAIMS),
            refuse(RouteRefusal::NoTarget { service: CLAIMS }),
        ),
        case(
            "gone, at an address that the view does not know yet",
            &with_gone(&claims, 1, 50),
            OTHER_ADDRESS,
            token(50, CLAIMS),
            RouteDecision::Reset {
                agent: agent(0),
                service: CLAIMS,
                gone: agent(50),
            },
        ),
    ]
}

#[test]
fn a_token_overrides_the_view() {
    let router = FlowRouter::new();
    for case in token_cases() {
        let packet = packet(case.address, &[5; 20], Some(case.token));
        let decision = router.route(&packet, &case.table);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

#[test]
fn a_new_flow_needs_a_service_and_a_target() {
    let router = FlowRouter::new();
    let decide =
        |address, table: &RoutingTable| router.route(&packet(address, &[5; 8], None), table);
    let one = table(&live(1));
    assert_eq!(
        decide(CLAIMS_ADDRESS, &one),
        RouteDecision::NewFlow {
            agent: agent(0),
            service: CLAIMS,
            standing: Live
        }
    );
    assert_eq!(
        decide(OTHER_ADDRESS, &one),
        refuse(RouteRefusal::UnknownAddress)
    );
    assert_eq!(
        decide(CLAIMS_ADDRESS, &table(&[])),
        refuse(RouteRefusal::NoTarget { service: CLAIMS })
    );
}

/// Guards against feeds that break when their caller changes networks. With an open flow, the
/// caller's address changes and the next packet reaches another balancer. A decision that depended
/// on the caller's address or on state of one balancer would differ there. The packet view has
/// neither, so all balancers make the same decision.
#[test]
fn every_balancer_sends_an_open_flow_to_one_agent() {
    let views = [
        table(&live(7)),
        table(&live(3)),
        table(&[]),
        RoutingTable::default(),
    ];
    let packet = packet(CLAIMS_ADDRESS, &[5; 20], Some(token(6, CLAIMS)));
    for view in &views {
        assert_eq!(FlowRouter::new().route(&packet, view), forward(6, CLAIMS));
    }
}

/// Guards against a handshake in two datagrams that is split between two agents and stalls until a
/// retransmission. A large first flight consists of two Initials with the same connection ID, and
/// the fabric delivers them to two balancers, which must choose by that ID alone. When their views
/// differ by one target, only flows that one balancer places on that target are split.
#[test]
fn balancers_whose_views_differ_split_few_handshakes() {
    let (newer, older) = (table(&live(7)), table(&live(6)));
    let router = FlowRouter::new();
    let split = (0_u64..7_000)
        .filter(|number| {
            let key = number.to_be_bytes();
            let packet = packet(CLAIMS_ADDRESS, &key, None);
            router.route(&packet, &newer) != router.route(&packet, &older)
        })
        .count();
    assert!(
        (800..1_200).contains(&split),
        "{split} of 7000, about 1 in 7 expected"
    );
}

#[test]
fn routers_with_equal_seeds_agree() {
    let table = table(&live(7));
    let (one, other) = (FlowRouter::new().with_seed((1, 2)), FlowRouter::new());
    let differing = (0_u64..100).filter(|number| {
        let key = number.to_be_bytes();
        let packet = packet(CLAIMS_ADDRESS, &key, None);
        assert_eq!(one.route(&packet, &table), one.route(&packet, &table));
        one.route(&packet, &table) != other.route(&packet, &table)
    });
    assert!(differing.count() > 50);
}

/// Guards against a caller that floods one agent with flows by choosing connection IDs whose hash
/// leads there, which a hash without a secret would allow. The secret must not change while a key
/// is rotated, or processes would disagree.
#[test]
fn routers_with_the_same_oldest_key_agree() {
    let ring = |numbers: &[u8]| {
        let secrets: Vec<_> = numbers.iter().map(|&number| secret(number)).collect();
        FlowRouter::with_keys(&FleetKeys::new(&secrets).expect("a ring"))
    };
    let table = table(&live(7));
    let differing = |one: FlowRouter, other: FlowRouter| {
        let flows = (0_u64..700).filter(|number| {
            let key = number.to_be_bytes();
            let packet = packet(CLAIMS_ADDRESS, &key, None);
            one.route(&packet, &table) != other.route(&packet, &table)
        });
        flows.count()
    };
    let first = ring(&[1]);
    for rotation in [&[1, 2][..], &[2, 1]] {
        assert_eq!(differing(first, ring(rotation)), 0, "{rotation:?}");
    }
    for other in [ring(&[2]), FlowRouter::new()] {
        assert!(differing(first, other) > 500);
    }
}

/// Guards against callers of a crashed agent getting no answer until peers have suspected the agent
/// for long. After the process ends, its host returns each packet because no process listens there.
/// The balancer must use these returned packets.
#[test]
fn a_returned_packet_goes_to_another_agent() {
    struct ReturnCase {
        name: &'static str,
        targets: u16,
        token: Option<FlowToken>,
        expected: Option<RouteDecision>,
    }
    let case = |name, targets, token, expected| ReturnCase {
        name,
        targets,
        token,
        expected,
    };
    let no_target = refuse(RouteRefusal::NoTarget { service: CLAIMS });
    let reset = RouteDecision::Reset {
        agent: agent(1),
        service: CLAIMS,
        gone: agent(0),
    };
    let cases = [
        case("another is left", 2, Some(token(0, CLAIMS)), Some(reset)),
        case("the only one", 1, Some(token(0, CLAIMS)), Some(no_target)),
        case("no list", 0, Some(token(0, CLAIMS)), Some(no_target)),
        case("a flow of another agent", 2, Some(token(1, CLAIMS)), None),
        case("a packet that opens a flow", 2, None, None),
    ];
    for case in cases {
        let packet = packet(CLAIMS_ADDRESS, &[5; 20], case.token);
        let table = table(&live(case.targets));
        let decision = FlowRouter::new().route_returned(&packet, agent(0), &table);
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

quickcheck! {
    /// Claims has agents 0 to 6 and maps has agents 100 to 102. Agents 200 and above are not listed
    /// and compare the token's service with their own.
    fn a_packet_never_reaches_another_service(key: Vec<u8>, number: u16, claims: bool) -> bool {
        let table = table(&live(7));
        let service = if claims { CLAIMS } else { MAPS };
        let number = number % 300;
        let token = Some(token(number, service));
        [CLAIMS_ADDRESS, MAPS_ADDRESS].into_iter().all(|address| {
            let expected = if address == CLAIMS_ADDRESS { CLAIMS } else { MAPS };
            [None, token].into_iter().all(|token| {
                let wanted = token.map_or(expected, |token| token.service);
                match FlowRouter::new().route(&packet(address, &key, token), &table) {
                    RouteDecision::Forward { agent, service }
                    | RouteDecision::NewFlow { agent, service, .. }
                    | RouteDecision::Reset { agent, service, .. } => {
                        service == wanted && !is_listed_elsewhere(agent, wanted)
                    }
                    RouteDecision::Refuse { .. } => {
                        token.is_some_and(|token| is_listed_elsewhere(token.agent, wanted))
                    }
                }
            })
        })
    }
}

fn is_listed_elsewhere(found: AgentAddress, wanted: ServiceId) -> bool {
    let of_claims = (0..7).any(|number| agent(number) == found);
    let of_maps = (100..103).any(|number| agent(number) == found);
    if wanted == CLAIMS { of_maps } else { of_claims }
}

/// Guards against long-lived feeds that break when an address moves to another service. A flow of
/// claims is open while its address moves to maps, and the balancers learn of it one after another.
/// An open flow must not be routed by the current service of its address.
#[test]
fn a_moved_address_breaks_no_open_flow() {
    let before = table(&live(3));
    let after = TableBuilder::new(ConfigRevision(6), &before)
        .with_service(CLAIMS, [], &live(3))
        .with_service(
            MAPS,
            [MAPS_ADDRESS, CLAIMS_ADDRESS],
            &[target(100, 7, Live)],
        )
        .build();
    let router = FlowRouter::new();
    let open = packet(CLAIMS_ADDRESS, &[5; 20], Some(token(1, CLAIMS)));
    for table in [&before, &after] {
        assert_eq!(router.route(&open, table), forward(1, CLAIMS));
    }
    let new = router.route(&packet(CLAIMS_ADDRESS, &[5; 8], None), &after);
    assert_eq!(
        new,
        RouteDecision::NewFlow {
            agent: agent(100),
            service: MAPS,
            standing: Live
        }
    );
}
