//! Tests of the real binary, with sockets of the test as caller, balancer and agent.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use lovagelatch_fabric::{FabricTopology, FaultPlan};
use lovagelatch_network::{PacketEnds, parse_header, write_header};

use crate::support::{RunningFabric, address, assert_silent, bind, free_service, ipv4, receive};

const BIND_ATTEMPTS: usize = 5;

/// A fabric with one service, one balancer and one agent in another zone.
struct NetworkFixture {
    fabric: RunningFabric,
    topology: FabricTopology,
    balancer: UdpSocket,
    agent: UdpSocket,
}

impl NetworkFixture {
    fn new() -> Self {
        let (balancer, agent) = (bind(), bind());
        let mut topology = FabricTopology {
            balancers: vec![address(&balancer)],
            ..FabricTopology::default()
        };
        topology.zones.insert(address(&balancer), "a".to_owned());
        topology.zones.insert(address(&agent), "b".to_owned());
        let fabric = RunningFabric::start();
        // Another test may take the free port before the fabric binds it.
        let bound = (0..BIND_ATTEMPTS).any(|_| {
            topology.services = vec![free_service()];
            fabric.try_topology(&topology)
        });
        assert!(bound, "no free port");
        Self {
            fabric,
            topology,
            balancer,
            agent,
        }
    }

    fn send_as_caller(&self, caller: &UdpSocket, bytes: &[u8]) {
        let service = self.topology.services[0];
        caller.send_to(bytes, service).expect("sent");
    }

    /// Sends a datagram from one address to another through the gateway.
    fn send_through_gateway(&self, socket: &UdpSocket, ends: &PacketEnds, bytes: &[u8]) {
        let datagram = [&write_header(ends)[..], bytes].concat();
        socket
            .send_to(&datagram, self.fabric.gateway)
            .expect("sent");
    }

    fn balancer_to_agent(&self) -> PacketEnds {
        PacketEnds {
            source: address(&self.balancer),
            destination: address(&self.agent),
        }
    }
}

#[test]
fn datagrams_go_to_a_balancer_and_responses_return_directly() {
    let fixture = NetworkFixture::new();
    let (caller, service) = (bind(), fixture.topology.services[0]);
    fixture.send_as_caller(&caller, b"question");
    let (datagram, _) = receive(&fixture.balancer);
    let ends = PacketEnds {
        source: address(&caller),
        destination: service,
    };
    assert_eq!(parse_header(&datagram), Ok((ends, &b"question"[..])));

    fixture.send_through_gateway(
        &fixture.balancer,
        &fixture.balancer_to_agent(),
        b"forwarded",
    );
    let (datagram, source) = receive(&fixture.agent);
    assert_eq!(
        (&datagram[..], source),
        (&b"forwarded"[..], fixture.fabric.gateway)
    );

    let back = PacketEnds {
        source: service,
        destination: address(&caller),
    };
    fixture.send_through_gateway(&fixture.agent, &back, b"answer");
    assert_eq!(receive(&caller), (b"answer".to_vec(), service));

    fixture
        .agent
        .send_to(b"no header", fixture.fabric.gateway)
        .expect("sent");
    assert_silent(&fixture.agent);
    let counters = fixture.fabric.counters();
    let forwarded = (
        counters.from_callers,
        counters.to_balancers,
        counters.to_callers,
    );
    assert_eq!(forwarded, (1, 1, 1));
    assert_eq!((counters.between_processes, counters.unreadable), (1, 1));
}

#[test]
fn silenced_flows_stay_silent_and_new_flows_pass() {
    let fixture = NetworkFixture::new();
    let (old, new) = (bind(), bind());
    fixture.send_as_caller(&old, b"before");
    receive(&fixture.balancer);
    let silent = FaultPlan {
        silent_callers: true,
        ..FaultPlan::default()
    };
    fixture.fabric.set_plan(&silent);
    fixture.send_as_caller(&old, b"lost");
    assert_silent(&fixture.balancer);
    fixture.send_as_caller(&new, b"passes");
    receive(&fixture.balancer);
    // A later plan with the same fault does not silence flows opened since.
    fixture.fabric.set_plan(&FaultPlan {
        reorder: 0.5,
        ..silent
    });
    fixture.send_as_caller(&new, b"passes");
    receive(&fixture.balancer);
    fixture.fabric.set_plan(&FaultPlan::default());
    fixture.send_as_caller(&old, b"again");
    receive(&fixture.balancer);
}

#[test]
fn a_cut_drops_datagrams_of_its_direction_only() {
    let fixture = NetworkFixture::new();
    fixture.fabric.set_plan(&FaultPlan {
        cut_zones: vec![("a".to_owned(), "b".to_owned())],
        ..FaultPlan::default()
    });
    fixture.send_through_gateway(&fixture.balancer, &fixture.balancer_to_agent(), b"lost");
    assert_silent(&fixture.agent);
    let back = PacketEnds {
        source: address(&fixture.agent),
        destination: address(&fixture.balancer),
    };
    fixture.send_through_gateway(&fixture.agent, &back, b"passes");
    assert_eq!(receive(&fixture.balancer).0, b"passes");
    assert_eq!(fixture.fabric.counters().cut, 1);
}

#[test]
fn the_zone_delay_applies_between_zones() {
    let fixture = NetworkFixture::new();
    let delay = Duration::from_millis(30);
    let delayed = FabricTopology {
        zone_delay_us: 30_000,
        ..fixture.topology.clone()
    };
    fixture.fabric.set_topology(&delayed);
    let start = Instant::now();
    fixture.send_through_gateway(&fixture.balancer, &fixture.balancer_to_agent(), b"slow");
    assert_eq!(receive(&fixture.agent).0, b"slow");
    assert!(start.elapsed() >= delay);
}

#[test]
fn streams_pass_in_both_directions_and_end() {
    let fixture = NetworkFixture::new();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let ends = PacketEnds {
        source: address(&fixture.balancer),
        destination: ipv4(listener.local_addr().expect("bound")),
    };
    let mut client = TcpStream::connect(fixture.fabric.gateway).expect("connected");
    client.write_all(&write_header(&ends)).expect("sent");
    client.write_all(b"question").expect("sent");
    let (mut accepted, _) = listener.accept().expect("a forwarded connection");
    let mut buffer = [0; 8];
    accepted.read_exact(&mut buffer).expect("received");
    assert_eq!(&buffer, b"question");
    accepted.write_all(b"answer").expect("sent");
    drop(accepted);
    let mut response = Vec::new();
    client.read_to_end(&mut response).expect("received");
    assert_eq!(response, b"answer");
    assert_eq!(fixture.fabric.counters().streams, 1);
}

#[test]
fn a_topology_replaces_the_previous_one() {
    let mut fixture = NetworkFixture::new();
    let former = fixture.topology.services[0];
    fixture.topology.services = vec![free_service()];
    fixture.fabric.set_topology(&fixture.topology);
    let caller = bind();
    fixture.send_as_caller(&caller, b"new address");
    receive(&fixture.balancer);
    caller.send_to(b"old address", former).expect("sent");
    assert_silent(&fixture.balancer);
    let (status, _) = fixture
        .fabric
        .request("PUT", "/admin/topology", "{\"service\":[]}");
    assert!((400..500).contains(&status));
}
