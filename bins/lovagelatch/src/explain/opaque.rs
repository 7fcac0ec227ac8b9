//! `lovagelatch explain opaque`: what one process knows about a flow of opaque packets.

use std::net::SocketAddrV4;

use serde_json::Value;

use super::cell_text;
use crate::client::{block_on, get_json};
use crate::failure::CommandError;
use crate::output::{CommandOutcome, LineStyle, TableRow, print_json, print_line, print_table};

/// Columns of the candidate table: heading and JSON field.
const COLUMNS: [(&str, &str); 9] = [
    ("AGENT", "agent"),
    ("STANDING", "standing"),
    ("LISTED", "listed"),
    ("NEAR", "near"),
    ("EVACUATED", "evacuated"),
    ("SLOTS", "slots"),
    ("IN PROGRESS", "in_progress"),
    ("LOAD AGE MS", "load_age_ms"),
    ("SUSPECTED", "suspected"),
];

pub(super) fn explain(
    instance: SocketAddrV4,
    client: SocketAddrV4,
    address: SocketAddrV4,
    json: bool,
) -> Result<CommandOutcome, CommandError> {
    let path = format!("/explain/flow?client={client}&address={address}");
    let explanation: Value = block_on(get_json(instance, &path))?;
    if json {
        print_json(&explanation)?;
    } else if explanation["candidates"].is_array() {
        print_balancer(&explanation);
    } else {
        print_agent(&explanation);
    }
    let found = explanation["agent"].is_string() || explanation["held"].is_object();
    Ok(if found {
        CommandOutcome::Passed
    } else {
        CommandOutcome::Failed
    })
}

fn print_balancer(explanation: &Value) {
    let (route, service) = (
        cell_text(&explanation["route"]),
        cell_text(&explanation["service"]),
    );
    let version = cell_text(&explanation["version"]);
    print_line(
        LineStyle::Plain,
        &format!("route {route}, new flows to service {service}, by version {version}"),
    );
    if explanation["agent"].is_string() {
        let agent = cell_text(&explanation["agent"]);
        print_line(
            LineStyle::Success,
            &format!("the flow is assumed to be at {agent}"),
        );
    } else {
        print_line(
            LineStyle::Error,
            "not known here: its next packet is searched for",
        );
    }
    if explanation["complete"] != Value::Bool(true) {
        let line = "the view may lack targets: a search without a result is not conclusive";
        print_line(LineStyle::Error, line);
    }
    let heading = COLUMNS.map(|(heading, _)| heading.to_owned()).to_vec();
    let mut rows = vec![TableRow {
        style: LineStyle::Plain,
        cells: heading,
    }];
    let candidates = explanation["candidates"].as_array().into_iter().flatten();
    rows.extend(candidates.map(|candidate| {
        TableRow {
            style: LineStyle::Plain,
            cells: COLUMNS
                .map(|(_, field)| cell_text(&candidate[field]))
                .to_vec(),
        }
    }));
    print_table(&rows);
}

fn print_agent(explanation: &Value) {
    let service = cell_text(&explanation["service"]);
    let held = &explanation["held"];
    if held.is_null() {
        let line = format!("the target, of service {service}, is not known to hold the flow");
        print_line(LineStyle::Error, &line);
        return;
    }
    let (state, silent) = (cell_text(&held["state"]), cell_text(&held["silent_ms"]));
    let line = format!("{state} at the target, of service {service}; last packet {silent} ms ago");
    print_line(LineStyle::Success, &line);
    let (balancer, waiting) = (cell_text(&held["balancer"]), cell_text(&held["waiting_ms"]));
    let line = format!("last balancer {balancer}; awaiting an answer for {waiting} ms");
    print_line(LineStyle::Plain, &line);
    if held["request"] == "held" {
        let line = "its request waits at the agent: the target has no free place";
        print_line(LineStyle::Plain, line);
    }
}
