//! Rotation of the fleet key under traffic, with the real binary and its key file.

use std::time::{Duration, Instant};

use lovagelatch_domain::AgentAddress;
use lovagelatch_wire::open_forward;

use crate::process::RunningBalancer;
use crate::support::{CLAIMS, CLAIMS_ADDRESS, address, open_flow, proxied, ring};

/// Timeout for the balancer to apply a change of the key file.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Offset of the key generation in a frame, in bytes.
const GENERATION_OFFSET: usize = 2;

/// Timeout for an optional frame.
const OPTIONAL_TIMEOUT: Duration = Duration::from_millis(60);

/// Result of sending one packet of each flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Exchange {
    /// Key generations of the received frames, for the flow under key 1 and for the one under
    /// key 2; `None` if no frame arrived.
    frames: [Option<u8>; 2],
}

/// A balancer with one flow opened under each key.
struct RotationRig {
    balancer: RunningBalancer,
    packets: [Vec<u8>; 2],
    /// Number of forwarded packets of the first flow.
    forwarded: usize,
}

impl RotationRig {
    fn new() -> Self {
        let balancer = RunningBalancer::start(Duration::from_secs(5));
        let agent = AgentAddress(address(&balancer.sink));
        let packet = |generation| open_flow(agent, CLAIMS, &ring(&[generation]));
        Self {
            balancer,
            packets: [1, 2].map(packet),
            forwarded: 0,
        }
    }

    /// Sends a packet of each flow; the one of the flow under key `open` must be forwarded.
    fn exchange(&mut self, open: u8) -> Exchange {
        for packet in &self.packets {
            self.balancer.send(&proxied(CLAIMS_ADDRESS, packet));
        }
        let mut exchange = Exchange::default();
        let required = usize::from(open) - 1;
        let start = Instant::now();
        // Packet threads may reorder packets.
        while exchange.frames[required].is_none() {
            let elapsed = start.elapsed();
            assert!(elapsed < RELOAD_TIMEOUT, "a packet of an open flow is lost");
            self.receive_frame(&mut exchange);
        }
        let found = Instant::now();
        while exchange.frames.contains(&None) && found.elapsed() < OPTIONAL_TIMEOUT {
            self.receive_frame(&mut exchange);
        }
        self.forwarded += usize::from(exchange.frames[0].is_some());
        exchange
    }

    fn receive_frame(&self, exchange: &mut Exchange) {
        let mut buffer = [0; 2_048];
        let Ok((length, _)) = self.balancer.sink.recv_from(&mut buffer) else {
            return;
        };
        let frame = &buffer[..length];
        let (_, datagram) = open_forward(frame, &ring(&[1, 2])).expect("a genuine frame");
        let flow = self.packets.iter().position(|packet| packet == datagram);
        exchange.frames[flow.expect("a packet of the test")] = Some(frame[GENERATION_OFFSET]);
    }

    /// Exchanges packets until the result is as expected; the flow under key `open` must lose none.
    fn wait_for(&mut self, open: u8, expected: [Option<u8>; 2]) {
        let start = Instant::now();
        while self.exchange(open).frames != expected {
            assert!(start.elapsed() < RELOAD_TIMEOUT, "never {expected:?}");
        }
    }
}

/// Guards against feeds, open for hours, that break when the operator rotates the fleet key. While
/// a flow under key 1 sends packets, the key file is replaced to add key 2, then to make it
/// current, then to drop key 1. The balancer must not lack a valid key at any moment, and must
/// drop the old key neither too early nor never.
#[test]
fn a_flow_survives_a_rotation_by_the_key_file() {
    let mut rig = RotationRig::new();
    assert_eq!(rig.exchange(1).frames, [Some(1), None]);
    rig.balancer.rotate(&[1, 2]);
    rig.wait_for(1, [Some(1), Some(1)]);
    rig.balancer.rotate(&[2, 1]);
    rig.wait_for(1, [Some(2), Some(2)]);
    let forwarded = rig.forwarded;
    assert!(forwarded > 10, "only {forwarded} packets met the rotation");
    // The flow under key 1 may break only from here on; the one under key 2 continues.
    rig.balancer.rotate(&[2]);
    rig.wait_for(2, [None, Some(2)]);
    for _ in 0..5 {
        assert_eq!(rig.exchange(2).frames, [None, Some(2)]);
    }
}
