//! The real binary between a caller, a balancer and an agent of the test.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use lovagelatch_fabric::{FabricTopology, FaultPlan};
use lovagelatch_network::{PacketEnds, parse_header, write_header};

use crate::support::{RunningFabric, address, assert_silent, bind, free_service, ipv4, receive};

const START_ATTEMPTS: usize = 5;

/// A fabric with one service, one balancer and one agent in another zone.
struct NetworkRig {
    fabric: RunningFabric,
    topology: FabricTopology,
    balancer: UdpSocket,
    agent: UdpSocket,
}

impl NetworkRig {
    fn new() -> Self {
        let (balancer, agent) = (bind(), bind());
        let mut topology = FabricTopology {
            balancers: vec![address(&balancer)],
            ..FabricTopology::default()
        };
        topology.zones.insert(address(&balancer), "a".to_owned());
        topology.zones.insert(address(&agent), "b".to_owned());
        let fabric = RunningFabric::start();
        // Another test may be given a free port before the fabric binds it.
        let bound = (0..START_ATTEMPTS).any(|_| {
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

    fn call(&self, caller: &UdpSocket, bytes: &[u8]) {
        let service = self.topology.services[0];
        caller.send_to(bytes, service).expect("sent");
    }

    /// Sends from one address to another through the gateway.
    fn pass(&self, socket: &UdpSocket, ends: &PacketEnds, bytes: &[u8]) {
        let datagram = [&write_header(ends)[..], bytes].concat();
        socket
            .send_to(&datagram, self.fabric.gateway)
            .expect("sent");
    }

    fn to_agent(&self) -> PacketEnds {
        PacketEnds {
            source: address(&self.balancer),
            destination: address(&self.agent),
        }
    }
}

#[test]
fn a_datagram_goes_to_a_balancer_and_its_answer_returns_directly() {
    let rig = NetworkRig::new();
    let (caller, service) = (bind(), rig.topology.services[0]);
    rig.call(&caller, b"question");
    let (datagram, _) = receive(&rig.balancer);
    let ends = PacketEnds {
        source: address(&caller),
        destination: service,
    };
    assert_eq!(parse_header(&datagram), Ok((ends, &b"question"[..])));

    rig.pass(&rig.balancer, &rig.to_agent(), b"forwarded");
    let (datagram, source) = receive(&rig.agent);
    assert_eq!(
        (&datagram[..], source),
        (&b"forwarded"[..], rig.fabric.gateway)
    );

    let back = PacketEnds {
        source: service,
        destination: address(&caller),
    };
    rig.pass(&rig.agent, &back, b"answer");
    assert_eq!(receive(&caller), (b"answer".to_vec(), service));

    rig.agent
        .send_to(b"no header", rig.fabric.gateway)
        .expect("sent");
    assert_silent(&rig.agent);
    let counters = rig.fabric.counters();
    let passed = (
        counters.from_callers,
        counters.to_balancers,
        counters.to_callers,
    );
    assert_eq!(passed, (1, 1, 1));
    assert_eq!((counters.between_processes, counters.unreadable), (1, 1));
}

#[test]
fn silent_flows_stay_silent_and_new_ones_pass() {
    let rig = NetworkRig::new();
    let (old, new) = (bind(), bind());
    rig.call(&old, b"before");
    receive(&rig.balancer);
    let silent = FaultPlan {
        silent_callers: true,
        ..FaultPlan::default()
    };
    rig.fabric.set_plan(&silent);
    rig.call(&old, b"lost");
    assert_silent(&rig.balancer);
    rig.call(&new, b"passes");
    receive(&rig.balancer);
    // A further plan that says so still does not silence flows opened since.
    rig.fabric.set_plan(&FaultPlan {
        reorder: 0.5,
        ..silent
    });
    rig.call(&new, b"passes");
    receive(&rig.balancer);
    rig.fabric.set_plan(&FaultPlan::default());
    rig.call(&old, b"again");
    receive(&rig.balancer);
}

#[test]
fn a_cut_holds_datagrams_of_its_direction_only() {
    let rig = NetworkRig::new();
    rig.fabric.set_plan(&FaultPlan {
        cut_zones: vec![("a".to_owned(), "b".to_owned())],
        ..FaultPlan::default()
    });
    rig.pass(&rig.balancer, &rig.to_agent(), b"lost");
    assert_silent(&rig.agent);
    let back = PacketEnds {
        source: address(&rig.agent),
        destination: address(&rig.balancer),
    };
    rig.pass(&rig.agent, &back, b"passes");
    assert_eq!(receive(&rig.balancer).0, b"passes");
    assert_eq!(rig.fabric.counters().cut, 1);
}

#[test]
fn zones_lie_apart() {
    let rig = NetworkRig::new();
    let delay = Duration::from_millis(30);
    let apart = FabricTopology {
        zone_delay_us: 30_000,
        ..rig.topology.clone()
    };
    rig.fabric.set_topology(&apart);
    let start = Instant::now();
    rig.pass(&rig.balancer, &rig.to_agent(), b"slow");
    assert_eq!(receive(&rig.agent).0, b"slow");
    assert!(start.elapsed() >= delay);
}

#[test]
fn streams_pass_both_ways_and_end() {
    let rig = NetworkRig::new();
    let far = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let ends = PacketEnds {
        source: address(&rig.balancer),
        destination: ipv4(far.local_addr().expect("bound")),
    };
    let mut near = TcpStream::connect(rig.fabric.gateway).expect("connected");
    near.write_all(&write_header(&ends)).expect("sent");
    near.write_all(b"question").expect("sent");
    let (mut accepted, _) = far.accept().expect("connected on");
    let mut buffer = [0; 8];
    accepted.read_exact(&mut buffer).expect("received");
    assert_eq!(&buffer, b"question");
    accepted.write_all(b"answer").expect("sent");
    drop(accepted);
    let mut answer = Vec::new();
    near.read_to_end(&mut answer).expect("received");
    assert_eq!(answer, b"answer");
    assert_eq!(rig.fabric.counters().streams, 1);
}

#[test]
fn a_topology_replaces_the_one_before() {
    let mut rig = NetworkRig::new();
    let former = rig.topology.services[0];
    rig.topology.services = vec![free_service()];
    rig.fabric.set_topology(&rig.topology);
    let caller = bind();
    rig.call(&caller, b"new address");
    receive(&rig.balancer);
    caller.send_to(b"old address", former).expect("sent");
    assert_silent(&rig.balancer);
    let (status, _) = rig
        .fabric
        .request("PUT", "/admin/topology", "{\"service\":[]}");
    assert!((400..500).contains(&status));
}
