//! `lovagelatch explain opaque`: what one process knows of a flow whose packets are opaque.

use std::net::SocketAddrV4;

use serde_json::Value;

use super::word;
use crate::client::{block_on, get_json};
use crate::failure::CommandError;
use crate::output::{LineTone, TableRow, Verdict, print_json, print_line, print_table};

/// Columns of the table of candidates, with the fields that they show.
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
) -> Result<Verdict, CommandError> {
    let path = format!("/explain/flow?client={client}&address={address}");
    let answer: Value = block_on(get_json(instance, &path))?;
    if json {
        print_json(&answer)?;
    } else if answer["candidates"].is_array() {
        print_balancer(&answer);
    } else {
        print_agent(&answer);
    }
    let found = answer["agent"].is_string() || answer["held"].is_object();
    Ok(if found { Verdict::Good } else { Verdict::Bad })
}

fn print_balancer(answer: &Value) {
    let (route, service) = (word(&answer["route"]), word(&answer["service"]));
    let version = word(&answer["version"]);
    print_line(
        LineTone::Plain,
        &format!("route {route}, new flows to service {service}, by version {version}"),
    );
    if answer["agent"].is_string() {
        let agent = word(&answer["agent"]);
        print_line(
            LineTone::Good,
            &format!("the flow is taken to be at {agent}"),
        );
    } else {
        print_line(
            LineTone::Bad,
            "not known here: its next packet is searched for",
        );
    }
    if answer["complete"] != Value::Bool(true) {
        let line = "the view may lack targets: a search that finds nobody proves nothing";
        print_line(LineTone::Bad, line);
    }
    let heading = COLUMNS.map(|(heading, _)| heading.to_owned()).to_vec();
    let mut rows = vec![TableRow {
        tone: LineTone::Plain,
        cells: heading,
    }];
    let candidates = answer["candidates"].as_array().into_iter().flatten();
    rows.extend(candidates.map(|candidate| TableRow {
        tone: LineTone::Plain,
        cells: COLUMNS.map(|(_, field)| word(&candidate[field])).to_vec(),
    }));
    print_table(&rows);
}

fn print_agent(answer: &Value) {
    let service = word(&answer["service"]);
    let held = &answer["held"];
    if held.is_null() {
        let line = format!("the target, of service {service}, is not known to hold the flow");
        print_line(LineTone::Bad, &line);
        return;
    }
    let (state, silent) = (word(&held["state"]), word(&held["silent_ms"]));
    let line = format!("{state} at the target, of service {service}; last packet {silent} ms ago");
    print_line(LineTone::Good, &line);
    let (balancer, waiting) = (word(&held["balancer"]), word(&held["waiting_ms"]));
    let line = format!("last balancer {balancer}; answer owed for {waiting} ms");
    print_line(LineTone::Plain, &line);
}
