//! Measures the cost of one message in a member at full fleet size.

use std::net::UdpSocket;
use std::time::Duration;

use lovagelatch_capacity::rig_address;
use lovagelatch_domain::{GateReport, Incarnation};
use lovagelatch_keys::{FleetKeys, KeyGeneration, KeySecret};
use lovagelatch_membership::{
    DepartureEvent, FleetMember, GossipHead, MemberEvent, MemberMessage, PeerHeartbeat, PullPart,
    TableHead,
};
use lovagelatch_wire::{FrameKind, open_message, seal_message};
use smallvec::SmallVec;

use crate::member_setup::{
    NOW, apply_config, empty_member, frame_bytes, full_config_delta, list_for, request,
};
use crate::report::{CapacityReport, format_micros, mean_time};

const SERVICES: u32 = 7_000;

pub(crate) fn measure(report: &mut CapacityReport) {
    let mut member = empty_member();
    member.accept_instances(&list_for(SERVICES), NOW);
    apply_config(&mut member, full_config_delta(SERVICES));
    drop(member.take_actions());
    let keys =
        FleetKeys::new(&[KeySecret::from_bytes(KeyGeneration(1), [7; 32])]).expect("one secret");
    report.start_table(
        "One message, in a balancer at full size",
        &["message", "frame", "sealed", "opened", "taken or answered"],
    );
    let head = current_head(&mut member);
    message_row(
        report,
        "head",
        &MemberMessage::Head(head.clone()),
        &mut member,
        &keys,
    );
    let mut busy = head;
    for number in 0..3 {
        busy.events.push(departure(number));
    }
    message_row(
        report,
        "head with 3 events",
        &MemberMessage::Head(busy),
        &mut member,
        &keys,
    );
    let heartbeat = MemberMessage::Heartbeat(heartbeat());
    message_row(report, "heartbeat", &heartbeat, &mut member, &keys);
    pull_row(report, &mut member, &keys);
    report.start_table("Other work", &["work", "processor time"]);
    let mut now = NOW;
    let tick = mean_time(2_000, || {
        now = now + Duration::from_millis(100);
        member.advance(now);
        drop(member.take_actions());
    });
    report.add_row(vec!["one tick (10 a second)".into(), format_micros(tick)]);
    report.add_row(vec![
        "send and receive one datagram of 100 B on loopback".into(),
        format_micros(datagram_time()),
    ]);
}

fn current_head(member: &mut FleetMember) -> GossipHead {
    let parts = member.answer_pull(&request(1, 1), NOW);
    let head = parts.into_iter().find_map(|part| match part {
        PullPart::Head(head) => Some(head),
        _ => None,
    });
    let mut head = head.unwrap_or(GossipHead {
        sender: rig_address(1),
        config: TableHead::default(),
        list: TableHead::default(),
        platform_age: 0,
        events: SmallVec::new(),
    });
    head.sender = rig_address(1);
    head
}

fn departure(number: u32) -> MemberEvent {
    MemberEvent::Departure(DepartureEvent {
        agent: rig_address(100 + number),
        incarnation: Incarnation(u64::MAX - u64::from(number)),
        refuted: false,
    })
}

fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        sender: rig_address(1),
        incarnation: Incarnation(u64::MAX),
        report: GateReport {
            slots: 7,
            in_use: 5,
            queued: 12,
            expected_wait: Duration::from_micros(123_456),
            service_time: Duration::from_micros(56_789),
            ..GateReport::default()
        },
    }
}

fn message_row(
    report: &mut CapacityReport,
    name: &str,
    message: &MemberMessage,
    member: &mut FleetMember,
    keys: &FleetKeys,
) {
    const RUNS: u32 = 20_000;
    let frame = seal_message(FrameKind::Membership, message, keys);
    let seal = mean_time(RUNS, || {
        std::hint::black_box(seal_message(FrameKind::Membership, message, keys));
    });
    let open = mean_time(RUNS, || {
        let opened = open_message::<MemberMessage>(FrameKind::Membership, &frame, keys);
        std::hint::black_box(opened.is_ok());
    });
    let take = mean_time(RUNS, || member.accept_message(message.clone(), NOW));
    drop(member.take_actions());
    report.add_row(vec![
        name.to_owned(),
        format!("{} B", frame.len()),
        format_micros(seal),
        format_micros(open),
        format_micros(take),
    ]);
}

fn pull_row(report: &mut CapacityReport, member: &mut FleetMember, keys: &FleetKeys) {
    let request = request(1, 1);
    let frame = seal_message(FrameKind::Membership, &request, keys);
    let seal = mean_time(10_000, || {
        std::hint::black_box(seal_message(FrameKind::Membership, &request, keys));
    });
    let answer = mean_time(200, || {
        std::hint::black_box(member.answer_pull(&request, NOW));
    });
    report.add_row(vec![
        "pull, nothing newer".into(),
        format!("{} B", frame.len()),
        format_micros(seal),
        "as a head".into(),
        format_micros(answer),
    ]);
    let mut behind = request;
    behind.list = 0;
    let parts = member.answer_pull(&behind, NOW);
    let bytes: usize = parts.iter().map(frame_bytes).sum();
    let answer = mean_time(3, || {
        std::hint::black_box(member.answer_pull(&behind, NOW));
    });
    report.add_row(vec![
        "pull of the whole list".into(),
        format!("{bytes} B answered"),
        "-".into(),
        "-".into(),
        format_micros(answer),
    ]);
}

/// Measures the CPU time of sending and receiving one datagram through the kernel.
fn datagram_time() -> Duration {
    let sockets = UdpSocket::bind("127.0.0.1:0").and_then(|receiver| {
        let sender = UdpSocket::bind("127.0.0.1:0")?;
        sender.connect(receiver.local_addr()?)?;
        Ok((sender, receiver))
    });
    let Ok((sender, receiver)) = sockets else {
        return Duration::ZERO;
    };
    let mut buffer = [0; 256];
    mean_time(20_000, || {
        if sender.send(&buffer[..100]).is_ok() {
            let _received = receiver.recv(&mut buffer);
        }
    })
}
