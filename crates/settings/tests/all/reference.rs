//! Compares the settings reference in the documentation with the fields that the code reads.

use std::collections::BTreeSet;

use lovagelatch_settings::{
    AgentSettings, BalancerSettings, FieldName, OpaqueAgentSettings, OpaqueBalancerSettings,
};

const REFERENCE: &str = include_str!("../../../../docs/operating/settings.md");

/// Returns the fields that the part under `heading` lists, as `section.field`, from the table rows
/// that start with "| `[".
fn documented_fields(heading: &str) -> BTreeSet<String> {
    let mut parts = REFERENCE.split("\n## ");
    let part = parts.find(|part| part.starts_with(heading));
    let lines = part.expect("the heading").lines();
    let rows = lines.filter_map(|line| line.strip_prefix("| `["));
    rows.filter_map(|row| {
        let (section, rest) = row.split_once("] ")?;
        let (field, _) = rest.split_once('`')?;
        Some(format!("{section}.{field}"))
    })
    .collect()
}

fn read_fields(balancer: Vec<FieldName>, agent: Vec<FieldName>) -> BTreeSet<String> {
    let fields = balancer.into_iter().chain(agent);
    let names = fields.map(|(section, field)| format!("{section}.{field}"));
    names.collect()
}

struct ReferenceCase {
    heading: &'static str,
    read: BTreeSet<String>,
}

#[test]
fn the_reference_lists_exactly_the_fields_that_are_read() {
    let cases = [
        ReferenceCase {
            heading: "QUIC",
            read: read_fields(BalancerSettings::fields(), AgentSettings::fields()),
        },
        ReferenceCase {
            heading: "Opaque packets",
            read: read_fields(
                OpaqueBalancerSettings::fields(),
                OpaqueAgentSettings::fields(),
            ),
        },
    ];
    for case in cases {
        assert_eq!(
            documented_fields(case.heading),
            case.read,
            "{}",
            case.heading
        );
    }
}
