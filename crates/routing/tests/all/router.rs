//! The decision for one packet at a balancer.

use lovagelatch_domain::ServiceId;
use lovagelatch_keys::FlowToken;
use lovagelatch_membership::TargetStanding::{Leaving, Live};
use lovagelatch_routing::{FlowRouter, RouteDecision, RouteRefusal, RoutingTable, TableBuilder};
use quickcheck::quickcheck;

use crate::support::{
    CLAIMS, CLAIMS_ADDRESS, MAPS, MAPS_ADDRESS, OTHER_ADDRESS, agent, live, packet, table, target,
    token,
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
            "a flow of another service",
            &claims,
            MAPS_ADDRESS,
            token(2, CLAIMS),
            refuse(RouteRefusal::WrongService {
                flow: CLAIMS,
                address: MAPS,
            }),
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
            "gone, and nobody left to answer",
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
fn a_token_beats_the_view() {
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

/// Symptom: a feed breaks when its caller moves from one network to another. Sequence: a flow
/// is open; the caller's address changes; the next packet reaches another balancer. Cause: a
/// decision that depends on the caller's address or on what one balancer remembers. The packet
/// view holds neither, so any balancer decides as the first did.
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

/// Symptom: one handshake in two datagrams ends at two agents and stalls until a retransmission.
/// Sequence: a large first flight comes as two Initials with one connection ID; the fabric gives
/// them to two balancers. Cause: balancers that choose by anything but that ID. With views that
/// differ by one target, only flows that one of the two would give to it are split.
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

quickcheck! {
    fn a_packet_never_reaches_another_service(key: Vec<u8>, number: u16, claims: bool) -> bool {
        let table = table(&live(7));
        let service = if claims { CLAIMS } else { MAPS };
        let number = number % 100;
        let token = Some(token(number, service));
        [CLAIMS_ADDRESS, MAPS_ADDRESS].into_iter().all(|address| {
            let expected = if address == CLAIMS_ADDRESS { CLAIMS } else { MAPS };
            [None, token].into_iter().all(|token| {
                match FlowRouter::new().route(&packet(address, &key, token), &table) {
                    RouteDecision::Forward { service, .. }
                    | RouteDecision::NewFlow { service, .. }
                    | RouteDecision::Reset { service, .. } => service == expected,
                    RouteDecision::Refuse { .. } => token.is_some() && service != expected,
                }
            })
        })
    }
}
