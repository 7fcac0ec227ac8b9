//! Measures the cost of the configuration as a function of its number of addresses.

use lovagelatch_capacity::rig_text_range;
use lovagelatch_membership::TableIndex;
use lovagelatch_settings::{MAX_TEXT_BYTES, ServiceText};

use crate::heap::measure_heap;
use crate::member_setup::{
    ADDRESSES_PER_SERVICE, apply_config, empty_member, full_config_delta, part_bytes, request,
    service_entries,
};
use crate::report::{CapacityReport, fastest, format_megabytes, format_millis, timed};

const SERVICES: [u32; 4] = [250, 1_000, 3_500, 7_000];

pub(crate) fn measure(report: &mut CapacityReport) {
    report.start_table(
        "Configuration by addresses",
        &[
            "addresses",
            "services",
            "text",
            "text parse",
            "whole, on the wire",
            "whole taken",
            "heap held",
            "change of one service, on the wire",
            "change taken",
            "view published",
            "routing table again (fastest of 5)",
        ],
    );
    for services in SERVICES {
        report.add_row(measure_size(services));
    }
}

fn measure_size(services: u32) -> Vec<String> {
    let text = rig_text_range(0..services, ADDRESSES_PER_SERVICE, 0, 0);
    let parse = if text.len() > MAX_TEXT_BYTES {
        let (_, time) = timed(|| service_entries(services, 0));
        format!("too large; in 2 texts {}", format_millis(time))
    } else {
        let (_, time) = timed(|| ServiceText::parse(&text));
        format_millis(time)
    };
    let mut member = empty_member();
    let (((), whole_time), heap) = measure_heap(|| {
        let delta = full_config_delta(services);
        timed(|| apply_config(&mut member, delta))
    });
    let whole = part_bytes(&member.answer_pull(&request(0, 0), crate::member_setup::NOW));
    drop(member.take_actions());

    let mut index = TableIndex::default();
    let mut entries = Vec::new();
    let first = full_config_delta(services);
    index.apply(&mut entries, first).expect("the first table");
    let change = index.delta_to(&entries, service_entries(services, 1), 2);
    let change_bytes = part_bytes(&[lovagelatch_membership::PullPart::Config(change.clone())]);
    let earlier = lovagelatch_routing::RoutingTable::from_view(
        member.view(),
        &lovagelatch_routing::RoutingTable::default(),
    );
    let ((), change_time) = timed(|| apply_config(&mut member, change));
    let (published, publish_time) = timed(|| member.take_actions());
    drop(published);
    let table_time = fastest(|| {
        drop(lovagelatch_routing::RoutingTable::from_view(
            member.view(),
            &earlier,
        ));
    });
    vec![
        (services * ADDRESSES_PER_SERVICE).to_string(),
        services.to_string(),
        format_megabytes(text.len()),
        parse,
        format_megabytes(whole),
        format_millis(whole_time),
        format_megabytes(heap),
        format!("{change_bytes} B"),
        format_millis(change_time),
        format_millis(publish_time),
        format_millis(table_time),
    ]
}
