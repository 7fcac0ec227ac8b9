//! Compatibility with processes of the next release, which use another wire version.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream, UdpSocket};
use std::time::Duration;

use lovagelatch_domain::AgentAddress;
use lovagelatch_keys::FleetKeys;
use lovagelatch_membership::MemberMessage;
use lovagelatch_wire::{
    FrameError, FrameKind, WIRE_VERSION, open_frame, open_message, seal_message,
};

use crate::process::RunningBalancer;
use crate::support::{address, bind, receive, ring};

const REFUSED: &str = "lovagelatch_control_frames_refused_total";

/// Returns a probe of the given wire version with a valid tag.
fn probe(version: u8, sender: &UdpSocket, keys: &FleetKeys) -> Vec<u8> {
    let message = MemberMessage::Probe(AgentAddress(address(sender)));
    let frame = seal_message(FrameKind::Membership, &message, keys);
    let (_, tag) = keys.tag_frame(&[&frame]);
    let mut body = frame[..frame.len() - tag.len()].to_vec();
    body[0] = version;
    let (_, tag) = keys.tag_frame(&[&body]);
    body.extend_from_slice(&tag);
    body
}

fn get(operations: SocketAddrV4, path: &str) -> String {
    let mut stream = TcpStream::connect(operations).expect("operations are served");
    let request = format!("GET {path} HTTP/1.1\r\nhost: here\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    text
}

/// Returns the sum over all series of the counter of refused frames.
fn refused(balancer: &RunningBalancer) -> f64 {
    let text = get(balancer.operations, "/metrics");
    let lines = text.lines().filter(|line| line.starts_with(REFUSED));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// Guards against an upgrade of half the fleet that disturbs the other half. Frames of the next
/// wire version arrive between frames of this one at the same control address. The version must be
/// checked first, and an unsupported frame must not close the socket.
#[test]
fn frames_of_the_next_version_are_refused_between_those_of_this_one() {
    const ROUNDS: u8 = 20;
    let balancer = RunningBalancer::start(Duration::from_secs(5));
    let keys = ring(&[1]);
    let (same, next) = (bind(), bind());
    let next_version = WIRE_VERSION + 1;
    let later = probe(next_version, &next, &keys);
    let expected = FrameError::UnsupportedVersion {
        version: next_version,
    };
    assert_eq!(open_frame(&later, &keys), Err(expected));
    let before = refused(&balancer);
    for round in 0..ROUNDS {
        next.send_to(&later, balancer.control).expect("sent");
        let frame = probe(WIRE_VERSION, &same, &keys);
        same.send_to(&frame, balancer.control).expect("sent");
        let answer = receive(&same).unwrap_or_else(|| panic!("no answer in round {round}"));
        let answer: MemberMessage =
            open_message(FrameKind::Membership, &answer, &keys).expect("a frame of this version");
        assert_eq!(answer, MemberMessage::Alive(AgentAddress(balancer.control)));
    }
    let mut buffer = [0; 2_048];
    assert!(
        next.recv_from(&mut buffer).is_err(),
        "the next version is answered"
    );
    assert_eq!(refused(&balancer) - before, f64::from(ROUNDS));
    balancer.wait_for_line(&format!("frame of wire version {next_version}"));
}
