//! The settings reference in the docs against the code.

use std::collections::BTreeSet;

use lovagelatch_settings::{AgentSettings, BalancerSettings};

const REFERENCE: &str = include_str!("../../../../docs/operating/settings.md");

/// The fields that the reference lists, as `section.field`: rows that start with "| `[".
fn listed() -> BTreeSet<String> {
    let rows = REFERENCE
        .lines()
        .filter_map(|line| line.strip_prefix("| `["));
    rows.filter_map(|row| {
        let (section, rest) = row.split_once("] ")?;
        let (field, _) = rest.split_once('`')?;
        Some(format!("{section}.{field}"))
    })
    .collect()
}

#[test]
fn the_reference_lists_exactly_the_fields_that_are_read() {
    let fields = BalancerSettings::fields()
        .into_iter()
        .chain(AgentSettings::fields());
    let read: BTreeSet<String> = fields
        .map(|(section, field)| format!("{section}.{field}"))
        .collect();
    assert_eq!(listed(), read);
}
