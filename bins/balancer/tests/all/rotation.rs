//! A rotation of the fleet key under traffic, with the real binary and its key file.

use std::time::{Duration, Instant};

use lovagelatch_domain::AgentAddress;
use lovagelatch_wire::open_forward;

use crate::process::RunningBalancer;
use crate::support::{CLAIMS, CLAIMS_ADDRESS, address, open_flow, proxied, ring};

/// How long a change of the key file may take to be seen; a test that waits longer fails.
const SEEN_LIMIT: Duration = Duration::from_secs(10);

/// Where a frame names the generation that sealed it.
const GENERATION_OFFSET: usize = 2;

/// How long to look for a frame that need not come.
const LOOK: Duration = Duration::from_millis(60);

/// What came through of one packet of each flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Exchange {
    /// The generations that sealed the frames around a packet of the flow under key 1, and of the
    /// one under key 2.
    frames: [Option<u8>; 2],
}

/// A balancer with a caller's flow opened under each key.
struct RotationRig {
    balancer: RunningBalancer,
    packets: [Vec<u8>; 2],
    /// Packets of the first flow that came through.
    routed: usize,
}

impl RotationRig {
    fn new() -> Self {
        let balancer = RunningBalancer::start(Duration::from_secs(5));
        let agent = AgentAddress(address(&balancer.sink));
        let packet = |generation| open_flow(agent, CLAIMS, &ring(&[generation]));
        Self {
            balancer,
            packets: [1, 2].map(packet),
            routed: 0,
        }
    }

    /// Sends a packet of each flow; one of the flow under key `open` must come through.
    fn exchange(&mut self, open: u8) -> Exchange {
        for packet in &self.packets {
            self.balancer.send(&proxied(CLAIMS_ADDRESS, packet));
        }
        let mut exchange = Exchange::default();
        let needed = usize::from(open) - 1;
        let start = Instant::now();
        // Packet threads may send in another order than they received.
        while exchange.frames[needed].is_none() {
            let elapsed = start.elapsed();
            assert!(elapsed < SEEN_LIMIT, "a packet of an open flow is lost");
            self.take_frame(&mut exchange);
        }
        let found = Instant::now();
        while exchange.frames.contains(&None) && found.elapsed() < LOOK {
            self.take_frame(&mut exchange);
        }
        self.routed += usize::from(exchange.frames[0].is_some());
        exchange
    }

    fn take_frame(&self, exchange: &mut Exchange) {
        let mut buffer = [0; 2_048];
        let Ok((length, _)) = self.balancer.sink.recv_from(&mut buffer) else {
            return;
        };
        let frame = &buffer[..length];
        let (_, datagram) = open_forward(frame, &ring(&[1, 2])).expect("a genuine frame");
        let flow = self.packets.iter().position(|packet| packet == datagram);
        exchange.frames[flow.expect("a packet of the test")] = Some(frame[GENERATION_OFFSET]);
    }

    /// Exchanges packets until it goes as expected; the flow under key `open` loses none.
    fn wait_for(&mut self, open: u8, expected: [Option<u8>; 2]) {
        let start = Instant::now();
        while self.exchange(open).frames != expected {
            assert!(start.elapsed() < SEEN_LIMIT, "never {expected:?}");
        }
    }
}

/// Symptom: feeds that are open for hours break when the operator rotates the fleet key. Sequence:
/// a flow is open under key 1; its packets go on all the time; the operator adds key 2, makes it
/// the current one and at last drops key 1, each by replacing the key file. Cause: a balancer
/// that is without one of the keys for a moment, or drops the old one too early or never.
#[test]
fn a_flow_goes_on_through_a_rotation_by_the_key_file() {
    let mut rig = RotationRig::new();
    assert_eq!(rig.exchange(1).frames, [Some(1), None]);
    rig.balancer.rotate(&[1, 2]);
    rig.wait_for(1, [Some(1), Some(1)]);
    rig.balancer.rotate(&[2, 1]);
    rig.wait_for(1, [Some(2), Some(2)]);
    let routed = rig.routed;
    assert!(routed > 10, "only {routed} packets met the rotation");
    // The flow under key 1 ends here at the earliest; the one under key 2 goes on.
    rig.balancer.rotate(&[2]);
    rig.wait_for(2, [None, Some(2)]);
    for _ in 0..5 {
        assert_eq!(rig.exchange(2).frames, [None, Some(2)]);
    }
}
