//! Decoding of arbitrary bytes from the network.

use lovagelatch_capacity::{rig_address, rig_list, rig_text};
use lovagelatch_domain::{ConfigRevision, Incarnation, Moment};
use lovagelatch_membership::{FleetMember, MemberMessage, MemberSettings, PullPart, PullRequest};
use quickcheck::quickcheck;

fn filled_member() -> FleetMember {
    let now = Moment::from_millis(1_000);
    let zone = "zone-0".parse().unwrap();
    let settings = MemberSettings::new(rig_address(0), zone, Incarnation(1)).with_service(
        "service-0"
            .parse::<lovagelatch_domain::ServiceName>()
            .unwrap()
            .id(),
    );
    let mut member = FleetMember::new(settings, 1, now);
    member.accept_config(ConfigRevision(1), &rig_text(2, 2, 0), now);
    member.accept_instances(&rig_list(2, 2, 4, 2), now);
    member
}

quickcheck! {
    fn no_bytes_make_a_member_panic(bytes: Vec<u8>, kind: u8) -> bool {
        let mut member = filled_member();
        let now = Moment::from_millis(1_100);
        let mut message = vec![kind % 7];
        message.extend(&bytes);
        if let Ok(message) = postcard::from_bytes::<MemberMessage>(&message) {
            member.accept_message(message, now);
        }
        if let Ok(request) = postcard::from_bytes::<PullRequest>(&bytes) {
            let parts = member.answer_pull(&request, now);
            assert_eq!(parts.last(), Some(&PullPart::End));
        }
        if let Ok(part) = postcard::from_bytes::<PullPart>(&message) {
            member.accept_answer(rig_address(3), vec![part, PullPart::End], now);
        }
        member.advance(Moment::from_millis(1_200));
        member.view().revision() == ConfigRevision(1)
    }

    fn every_message_survives_its_encoding(config: u64, list: u64, departures: bool) -> bool {
        let request = PullRequest { sender: rig_address(1), config, list, departures };
        let bytes = postcard::to_stdvec(&request).unwrap();
        postcard::from_bytes::<PullRequest>(&bytes) == Ok(request)
    }
}
