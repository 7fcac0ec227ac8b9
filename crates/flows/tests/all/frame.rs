//! Encoding and decoding of frames.

use std::num::NonZeroU32;

use lovagelatch_domain::{ConfigRevision, StoreEra, StorePosition};
use lovagelatch_flows::{
    Candidate, DelegatedSearch, FlowEvent, FramePurpose, LoadReport, PacketFrame, PeerFrame,
    RequestClass, SearchGroup, SearchResult, read_frame, write_frame,
};
use quickcheck::quickcheck;
use smallvec::smallvec;

use crate::support::{agent, balancer, claims, flow, flow_update, idle_load};

#[test]
fn frames_are_read_as_they_were_written() {
    let rest = Candidate {
        agent: agent(2),
        service: claims(),
        slots: 3,
        warmup: None,
    };
    let frames = [
        PeerFrame::Packet(PacketFrame {
            service: claims(),
            balancer: balancer(),
            slots: 3,
            warmup: None,
            class: None,
            zones_revision: 0.into(),
            purpose: FramePurpose::Offer,
            asker: None,
            rest: smallvec![rest; 4],
        }),
        PeerFrame::Note(flow_update(flow(1), agent(1), FlowEvent::Opened)),
        PeerFrame::Load(idle_load(agent(1))),
        PeerFrame::Load(LoadReport {
            zones_revision: StorePosition::new(StoreEra(u64::MAX), u64::MAX),
            ..idle_load(agent(1))
        }),
        PeerFrame::Unknown { agent: agent(1) },
        PeerFrame::Probe {
            balancer: balancer(),
        },
        PeerFrame::Hello {
            balancer: balancer(),
        },
        PeerFrame::StopRecorded {
            balancer: balancer(),
        },
    ];
    for frame in frames {
        let mut bytes = b"left over".to_vec();
        write_frame(&frame, b"packet", &mut bytes);
        assert_eq!(read_frame(&bytes), Ok((frame, &b"packet"[..])));
        // Every frame leaves enough room in a datagram for a packet of 1,236 bytes.
        assert!(bytes.len() < 100, "{} bytes", bytes.len());
    }
}

// Guards against an offer that no longer fits beside its packet because it names a class.
#[test]
fn an_offer_with_a_class_is_read_as_it_was_written() {
    let class = RequestClass {
        version: ConfigRevision(u64::MAX),
        priority: u8::MAX,
        aim_ms: 60_000,
        timeout_ms: 60_000,
        idempotent: true,
        max_flows: NonZeroU32::new(2_000),
    };
    let frame = PeerFrame::Packet(PacketFrame {
        class: Some(Box::new(class)),
        ..PacketFrame::new(FramePurpose::Offer, claims(), balancer())
    });
    let mut bytes = Vec::new();
    write_frame(&frame, b"packet", &mut bytes);
    assert_eq!(read_frame(&bytes), Ok((frame, &b"packet"[..])));
    assert!(bytes.len() < 100, "{} bytes", bytes.len());
}

#[test]
fn a_delegated_search_leaves_room_for_the_packet() {
    let group = |first: u8| SearchGroup {
        service: claims(),
        instances: (first..first + 32).map(|n| *agent(n).0.ip()).collect(),
    };
    let frames = [
        PeerFrame::Errand(DelegatedSearch {
            balancer: balancer(),
            service: claims(),
            others: vec![group(0), group(32)],
        }),
        PeerFrame::ErrandEnd(SearchResult {
            flow: flow(1),
            delegate: agent(1),
            silent: (0..64).map(agent).collect(),
        }),
    ];
    for frame in frames {
        let mut bytes = Vec::new();
        write_frame(&frame, &[0; 1_236], &mut bytes);
        assert_eq!(read_frame(&bytes), Ok((frame, &[0; 1_236][..])));
        // The buffer for a datagram has 2,048 bytes.
        assert!(bytes.len() < 2_048, "{} bytes", bytes.len());
    }
}

quickcheck! {
    fn any_bytes_are_read_or_refused(bytes: Vec<u8>) -> bool {
        read_frame(&bytes).map_or(true, |(_, packet)| packet.len() <= bytes.len())
    }
}
