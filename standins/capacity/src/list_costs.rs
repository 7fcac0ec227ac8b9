//! What the instance list costs by its number of targets.

use std::time::Duration;

use lovagelatch_capacity::rig_address;
use lovagelatch_domain::{AgentAddress, Incarnation, InstanceList, ServiceId, TargetId};
use lovagelatch_membership::{
    AccusationEvent, AccusedSubject, DepartureEvent, FleetMember, GossipHead, InstanceTable,
    MemberEvent, MemberMessage, TableHead, ZoneId,
};
use lovagelatch_routing::RoutingTable;

use crate::heap::held_bytes;
use crate::report::{CapacityReport, fastest, megabytes, millis, timed};
use crate::subject::{
    NOW, TARGETS_A_SERVICE, empty_member, give_config, list_for, part_bytes, request, whole_config,
};

const SERVICES: [u32; 5] = [44, 435, 1_740, 3_480, 7_000];

/// Targets replaced between two lists: what changes in 4.5 s at 1.13 changes a second.
const CHANGES: usize = 5;

pub(crate) fn measure(report: &mut CapacityReport) {
    report.start_table(
        "Instance list by targets: bytes and memory",
        &[
            "targets",
            "balancers",
            "platform's JSON",
            "whole, on the wire",
            "list held",
            "list and view held",
            "with configuration",
            "one more view",
            "routing table",
            "5 replacements, on the wire",
        ],
    );
    let sizes: Vec<ListCosts> = SERVICES.into_iter().map(measure_size).collect();
    for size in &sizes {
        report.add_row(size.bytes.clone());
    }
    report.start_table(
        "Instance list by targets: processor time",
        &[
            "targets",
            "JSON parsed",
            "whole taken",
            "next list from the platform",
            "5 replacements from a peer",
            "view published",
            "routing table, first",
            "routing table, again (fastest of 5)",
            "departure",
            "zone lost",
        ],
    );
    for size in &sizes {
        report.add_row(size.times.clone());
    }
}

/// Longer than the least time between two views, shorter than what counts as a pause.
const PUBLISH_WAIT: Duration = Duration::from_millis(1_900);

struct ListCosts {
    bytes: Vec<String>,
    times: Vec<String>,
}

fn measure_size(services: u32) -> ListCosts {
    let list = list_for(services);
    let next = next_list(&list);
    let json = serde_json::to_vec(&list).expect("a list can be encoded");
    let (_, json_time) = timed(|| serde_json::from_slice::<InstanceList>(&json));
    let (keeper, keeper_bytes) = held_bytes(|| {
        let mut keeper = InstanceTable::default();
        keeper.offer_list(&list).expect("the first list");
        keeper
    });
    drop(keeper);

    let (((mut member, list_bytes), whole_time), both_bytes) =
        held_bytes(|| timed(|| filled_member(&list, services)));
    let whole = part_bytes(&member.answer_pull(&request(1, 0), NOW));
    let (table, table_bytes) =
        held_bytes(|| timed(|| RoutingTable::from_view(member.view(), &RoutingTable::default())));
    let (table, table_time) = table;

    let (mut peer, _) = filled_member(&list, services);
    let ((), next_time) = timed(|| peer.accept_instances(&next, NOW));
    let parts = peer.answer_pull(&request(1, 1), NOW);
    let delta_bytes = part_bytes(&parts);
    let ((), delta_time) = timed(|| member.accept_answer(rig_address(1), parts, NOW));
    // Views of a large fleet are published at most so often.
    member.advance(NOW + PUBLISH_WAIT);
    let ((published, publish_time), view_bytes) = held_bytes(|| timed(|| member.take_actions()));
    let again_time = fastest(|| drop(RoutingTable::from_view(member.view(), &table)));
    drop(published);
    let departure_time = time_departure(&mut member);
    let zone_time = time_zone_loss(&mut member);
    let targets = services * TARGETS_A_SERVICE;
    ListCosts {
        bytes: vec![
            targets.to_string(),
            list.balancers.len().to_string(),
            megabytes(json.len()),
            megabytes(whole),
            megabytes(keeper_bytes),
            megabytes(list_bytes),
            megabytes(both_bytes),
            megabytes(view_bytes),
            megabytes(table_bytes),
            format!("{delta_bytes} B"),
        ],
        times: vec![
            targets.to_string(),
            millis(json_time),
            millis(whole_time),
            millis(next_time),
            millis(delta_time),
            millis(publish_time),
            millis(table_time),
            millis(again_time),
            millis(departure_time),
            millis(zone_time),
        ],
    }
}

/// A member with list and configuration, and the heap it held before the configuration.
fn filled_member(list: &InstanceList, services: u32) -> (FleetMember, usize) {
    let (mut member, list_bytes) = held_bytes(|| {
        let mut member = empty_member();
        member.accept_instances(list, NOW);
        drop(member.take_actions());
        member
    });
    give_config(&mut member, whole_config(services));
    drop(member.take_actions());
    member.advance(NOW);
    drop(member.take_actions());
    (member, list_bytes)
}

fn next_list(list: &InstanceList) -> InstanceList {
    let mut next = list.clone();
    next.revision.0 += 1;
    let step = next.targets.len() / CHANGES;
    for number in 0..CHANGES {
        let id = u32::try_from(3_000_000 + number).unwrap_or(u32::MAX);
        let target = &mut next.targets[number * step];
        target.id = TargetId(id);
        target.agent = rig_address(id);
        target.operations = target.agent.0;
    }
    next
}

fn head_with(event: MemberEvent) -> MemberMessage {
    let mut head = GossipHead {
        sender: rig_address(2),
        config: TableHead::default(),
        list: TableHead::default(),
        platform_age: 0,
        events: smallvec::SmallVec::new(),
    };
    head.events.push(event);
    MemberMessage::Head(head)
}

fn time_departure(member: &mut FleetMember) -> Duration {
    let agent = member.view().targets(first_service(member))[0].agent;
    let event = MemberEvent::Departure(DepartureEvent {
        agent,
        incarnation: Incarnation(1),
        refuted: false,
    });
    timed(|| {
        member.accept_message(head_with(event), NOW);
        drop(member.take_actions());
    })
    .1
}

fn time_zone_loss(member: &mut FleetMember) -> Duration {
    let zone = ZoneId::new(&"zone-1".parse().expect("a good name"));
    let accuser = |number: u32| -> AgentAddress { rig_address(number) };
    timed(|| {
        for number in 0..3 {
            let event = MemberEvent::Accusation(AccusationEvent {
                subject: AccusedSubject::Zone(zone),
                accuser: accuser(number),
                service: ServiceId(number),
                serial: 1,
                holds: true,
            });
            member.accept_message(head_with(event), NOW);
        }
        drop(member.take_actions());
    })
    .1
}

fn first_service(member: &FleetMember) -> ServiceId {
    let mut services: Vec<ServiceId> = member.view().services().collect();
    services.sort_unstable();
    services[0]
}
