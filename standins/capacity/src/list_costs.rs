//! Measures the cost of the instance list as a function of its number of targets.

use std::time::Duration;

use lovagelatch_capacity::rig_address;
use lovagelatch_domain::{AgentAddress, Incarnation, InstanceList, ServiceId, TargetId};
use lovagelatch_membership::{
    AccusationEvent, AccusedSubject, DepartureEvent, FleetMember, GossipHead, InstanceTable,
    MemberEvent, MemberMessage, TableHead, ZoneId,
};
use lovagelatch_routing::RoutingTable;

use crate::heap::measure_heap;
use crate::member_setup::{
    NOW, TARGETS_PER_SERVICE, apply_config, empty_member, full_config_delta, list_for, part_bytes,
    request,
};
use crate::report::{CapacityReport, fastest, format_megabytes, format_millis, timed};

const SERVICES: [u32; 5] = [44, 435, 1_740, 3_480, 7_000];

/// Targets replaced between two lists: 4.5 s of churn at 1.13 changes per second.
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

/// Longer than the minimum interval between two views, shorter than the pause threshold.
const PUBLISH_DELAY: Duration = Duration::from_millis(1_900);

struct ListCosts {
    bytes: Vec<String>,
    times: Vec<String>,
}

fn measure_size(services: u32) -> ListCosts {
    let list = list_for(services);
    let next = next_list(&list);
    let json = serde_json::to_vec(&list).expect("a list can be encoded");
    let (_, json_time) = timed(|| serde_json::from_slice::<InstanceList>(&json));
    let (instances, instances_bytes) = measure_heap(|| {
        let mut instances = InstanceTable::default();
        instances.offer_list(&list).expect("the first list");
        instances
    });
    drop(instances);

    let (((mut member, list_bytes), whole_time), both_bytes) =
        measure_heap(|| timed(|| filled_member(&list, services)));
    let whole = part_bytes(&member.answer_pull(&request(1, 0), NOW));
    let (table, table_bytes) =
        measure_heap(|| timed(|| RoutingTable::from_view(member.view(), &RoutingTable::default())));
    let (table, table_time) = table;

    let (mut peer, _) = filled_member(&list, services);
    let ((), next_time) = timed(|| peer.accept_instances(&next, NOW));
    let parts = peer.answer_pull(&request(1, 1), NOW);
    let delta_bytes = part_bytes(&parts);
    let ((), delta_time) = timed(|| member.accept_answer(rig_address(1), parts, NOW));
    // The rate at which views of a large fleet are published is limited.
    member.advance(NOW + PUBLISH_DELAY);
    let ((published, publish_time), view_bytes) = measure_heap(|| timed(|| member.take_actions()));
    let again_time = fastest(|| drop(RoutingTable::from_view(member.view(), &table)));
    drop(published);
    let departure_time = time_departure(&mut member);
    let zone_time = time_zone_loss(&mut member);
    let targets = services * TARGETS_PER_SERVICE;
    ListCosts {
        bytes: vec![
            targets.to_string(),
            list.balancers.len().to_string(),
            format_megabytes(json.len()),
            format_megabytes(whole),
            format_megabytes(instances_bytes),
            format_megabytes(list_bytes),
            format_megabytes(both_bytes),
            format_megabytes(view_bytes),
            format_megabytes(table_bytes),
            format!("{delta_bytes} B"),
        ],
        times: vec![
            targets.to_string(),
            format_millis(json_time),
            format_millis(whole_time),
            format_millis(next_time),
            format_millis(delta_time),
            format_millis(publish_time),
            format_millis(table_time),
            format_millis(again_time),
            format_millis(departure_time),
            format_millis(zone_time),
        ],
    }
}

/// Returns a member with list and configuration, and the heap bytes it held before the
/// configuration was applied.
fn filled_member(list: &InstanceList, services: u32) -> (FleetMember, usize) {
    let (mut member, list_bytes) = measure_heap(|| {
        let mut member = empty_member();
        member.accept_instances(list, NOW);
        drop(member.take_actions());
        member
    });
    apply_config(&mut member, full_config_delta(services));
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

fn head_message(event: MemberEvent) -> MemberMessage {
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
        member.accept_message(head_message(event), NOW);
        drop(member.take_actions());
    })
    .1
}

fn time_zone_loss(member: &mut FleetMember) -> Duration {
    let zone = ZoneId::new(&"zone-1".parse().expect("a valid name"));
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
            member.accept_message(head_message(event), NOW);
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
