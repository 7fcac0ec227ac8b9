//! An agent process for opaque packets that holds requests, beside a target that answers when told.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use lovagelatch_adapter::{PacketSender, decode_packet};
use lovagelatch_domain::{AgentAddress, ConfigRevision, ServiceId, ServiceName};
use lovagelatch_flows::{
    FlowKey, FlowPacket, FramePurpose, PacketFlags, PacketFrame, PeerFrame, RequestClass,
};

use crate::opaque_rig::{ARRIVAL_TIMEOUT, AgentRig, address_of};

/// Requests that an agent gives a target of two slots before the first rejection.
const FULL: u16 = 16;

const SLOTS: u16 = 2;

/// The longest wait of a request in these tests.
const BOUND: Duration = Duration::from_millis(100);

/// The target's initial sequence number.
const TARGET_SEQUENCE: u32 = 5_000;

impl AgentRig {
    fn send_client_packet(&self, purpose: FramePurpose, packet: &[u8]) {
        let balancer = AgentAddress(address_of(&self.balancer));
        let class = RequestClass {
            version: ConfigRevision(1),
            priority: 1,
            aim_ms: 400,
            timeout_ms: 2_000,
            idempotent: true,
            max_flows: None,
        };
        let frame = PacketFrame {
            slots: SLOTS,
            class: (purpose == FramePurpose::Offer).then(|| Box::new(class)),
            zones_revision: 1.into(),
            ..PacketFrame::new(purpose, claims(), balancer)
        };
        self.send_frame(&PeerFrame::Packet(frame), packet);
    }

    fn send_target_packet(&self, flow: FlowKey, flags: u8, sequence: u32, data: &[u8]) {
        let ends = (flow.service_address, flow.client);
        let packet = encode(ends, flags, sequence, 0, data);
        self.target.send_to(&packet, self.outbound).expect("sent");
    }

    /// Opens a flow, and sends a request on it.
    fn open(&self, flow: FlowKey) {
        let opening = encode((flow.client, flow.service_address), SYN, 1_000, 0, &[]);
        self.send_client_packet(FramePurpose::Offer, &opening);
        let (received, _) = self.receive(ARRIVAL_TIMEOUT).expect("the first packet");
        assert!(received.flow == flow && received.opens());
        self.send_target_packet(flow, SYN | ACK, TARGET_SEQUENCE, &[]);
        // The next frame is handled after the answer, which arrives at another socket.
        std::thread::sleep(Duration::from_millis(20));
    }

    fn send_data(&self, flow: FlowKey, offset: u32, data: &[u8]) {
        let ends = (flow.client, flow.service_address);
        let packet = encode(ends, ACK, 1_001 + offset, TARGET_SEQUENCE + 1, data);
        self.send_client_packet(FramePurpose::Known, &packet);
    }

    /// Returns the next packet at the target with its data.
    fn receive(&self, timeout: Duration) -> Option<(FlowPacket, Vec<u8>)> {
        self.target
            .set_read_timeout(Some(timeout))
            .expect("a time-out");
        let mut bytes = [0; 2_048];
        let length = self.target.recv(&mut bytes).ok()?;
        let bytes = &bytes[..length];
        let packet = decode_packet(bytes, PacketSender::Client).expect("a packet");
        Some((packet, bytes[HEADER_BYTES..].to_vec()))
    }

    /// Gives the target as many requests as it can take.
    fn fill(&self) {
        for number in 0..FULL {
            self.open(flow(number));
            self.send_data(flow(number), 0, b"request");
            let (received, _) = self.receive(ARRIVAL_TIMEOUT).expect("a request");
            assert_eq!(received.flow, flow(number));
        }
    }
}

const HEADER_BYTES: usize = 36;
const SYN: u8 = 2;
const ACK: u8 = 32;

fn claims() -> ServiceId {
    let name: ServiceName = "claims".parse().expect("a service name");
    name.id()
}

fn flow(number: u16) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 20_000 + number),
        service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 80),
    }
}

fn encode(
    (from, to): (SocketAddrV4, SocketAddrV4),
    flags: u8,
    sequence: u32,
    acknowledged: u32,
    data: &[u8],
) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    bytes[4] = flags;
    bytes[10..14].copy_from_slice(&u32::from(*from.ip()).to_le_bytes());
    bytes[14..18].copy_from_slice(&u32::from(*to.ip()).to_le_bytes());
    bytes[18..20].copy_from_slice(&from.port().to_le_bytes());
    bytes[20..22].copy_from_slice(&to.port().to_le_bytes());
    let length = u16::try_from(data.len()).expect("a short packet");
    bytes[26..28].copy_from_slice(&length.to_le_bytes());
    bytes[28..32].copy_from_slice(&sequence.to_le_bytes());
    bytes[32..36].copy_from_slice(&acknowledged.to_le_bytes());
    bytes.extend_from_slice(data);
    bytes
}

/// Sends a request of two packets and an acknowledgement, which the agent holds.
fn send_held_request(rig: &AgentRig, flow: FlowKey) {
    rig.open(flow);
    rig.send_data(flow, 0, b"first");
    rig.send_data(flow, 5, b"second");
    rig.send_data(flow, 11, b"");
}

/// Checks that exactly the packets of a held request arrive, in their order and unchanged.
fn assert_request_arrives(rig: &AgentRig, flow: FlowKey) {
    for (offset, data) in [(0, b"first".as_slice()), (5, b"second"), (11, b"")] {
        let (packet, received) = rig.receive(ARRIVAL_TIMEOUT).expect("a held packet");
        let found = (
            packet.flow,
            packet.sequence,
            packet.tag,
            received.as_slice(),
        );
        assert_eq!(found, (flow, 1_001 + offset, 0, data));
        let known = PacketFlags {
            ack: true,
            ..PacketFlags::default()
        };
        assert_eq!(packet.flags, known);
    }
    let next = rig.receive(Duration::from_millis(20));
    assert_eq!(next, None, "a packet was duplicated");
}

// Guards against held packets that are lost, changed, duplicated or reordered, and against a target
// that idles while requests wait.
#[test]
fn a_held_request_is_delivered_when_the_target_answers() {
    let rig = AgentRig::start("held-answer");
    rig.fill();
    send_held_request(&rig, flow(FULL));
    assert_eq!(rig.receive(Duration::from_millis(20)), None, "not held");
    rig.send_target_packet(flow(0), ACK, TARGET_SEQUENCE + 1, b"answer");
    assert_request_arrives(&rig, flow(FULL));
}

// Guards against requests that wait until some other packet arrives: their bounds expire by time.
#[test]
fn a_held_request_is_delivered_when_its_bound_expires() {
    let rig = AgentRig::start("held-bound");
    rig.fill();
    let sent = Instant::now();
    send_held_request(&rig, flow(FULL));
    assert_request_arrives(&rig, flow(FULL));
    assert!(sent.elapsed() >= BOUND / 2, "not held");
}

// Guards against requests that a planned restart of their agent loses.
#[test]
fn a_stopping_agent_delivers_what_it_holds() {
    let mut rig = AgentRig::start("held-stop");
    rig.fill();
    send_held_request(&rig, flow(FULL));
    rig.terminate();
    assert_request_arrives(&rig, flow(FULL));
    assert!(rig.child.wait().expect("an exit status").success());
}
