//! `lovagelatch status` for balancers and agents of opaque packets: the configuration and evacuated
//! zones in force at each process.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::output::{CommandOutcome, LineStyle, TableRow, print_line, print_table};

/// The status of one process, or why it did not respond.
pub(crate) struct OpaqueStatus<'a> {
    pub(crate) address: String,
    pub(crate) status: Option<&'a Value>,
    pub(crate) error: Option<&'a str>,
}

/// Returns whether a status comes from a process for opaque packets.
pub(crate) fn is_opaque(status: &Value) -> bool {
    status["zones_revision"].is_u64()
}

/// Prints a line per process. Passes if all processes responded and all balancers agree on the
/// evacuated zones.
pub(crate) fn print_opaque(statuses: &[OpaqueStatus<'_>]) -> CommandOutcome {
    let heading = [
        "INSTANCE",
        "STATE",
        "VERSION",
        "ZONES AT",
        "EVACUATED",
        "COLD",
        "FLOWS",
        "REQUESTS",
    ];
    let mut rows = vec![TableRow {
        style: LineStyle::Plain,
        cells: heading.map(str::to_owned).to_vec(),
    }];
    rows.extend(statuses.iter().filter_map(table_row));
    print_table(&rows);
    for error in statuses.iter().filter_map(|entry| entry.error) {
        print_line(LineStyle::Error, error);
    }
    let responses = statuses.iter().filter_map(|entry| entry.status);
    let zones: BTreeSet<String> = responses.filter_map(balancer_zones).collect();
    let silent = statuses.iter().filter(|entry| entry.error.is_some());
    let silent = silent.count();
    let agree = zones.len() <= 1;
    if agree {
        let zones = zones.into_iter().next().unwrap_or_default();
        let zones = if zones.is_empty() { "none" } else { &zones };
        print_line(LineStyle::Success, &format!("evacuated zones: {zones}"));
    } else {
        print_line(LineStyle::Error, "balancers differ on the evacuated zones");
    }
    if agree && silent == 0 {
        CommandOutcome::Passed
    } else {
        CommandOutcome::Failed
    }
}

/// Returns the evacuated zones that a balancer reports; `None` for an agent.
fn balancer_zones(status: &Value) -> Option<String> {
    let zones = status["evacuated"].as_array()?;
    let names = zones.iter().filter_map(|entry| entry["zone"].as_str());
    Some(names.collect::<Vec<_>>().join(", "))
}

fn table_row(entry: &OpaqueStatus<'_>) -> Option<TableRow> {
    let status = entry.status?;
    let number = |field: &str| {
        let value = status[field].as_u64();
        value.map_or_else(|| "-".to_owned(), |value| value.to_string())
    };
    let state = match (status["ready"].as_bool(), status["leaving"].as_bool()) {
        (Some(true), _) => "ready",
        (Some(false), _) => "not ready",
        (None, Some(true)) => "leaving",
        (None, _) => "runs",
    };
    let evacuated = match &status["evacuated"] {
        Value::Bool(true) => "its own zone".to_owned(),
        Value::Array(zones) => zones.iter().map(zone_text).collect::<Vec<_>>().join(", "),
        _ => "-".to_owned(),
    };
    let cold = match (&status["cold_targets"], &status["cold_room"]) {
        (Value::Number(count), _) => format!("{count} targets"),
        (_, Value::Number(room)) => format!("room for {room} more"),
        _ => "-".to_owned(),
    };
    let requests = match (&status["in_service"], &status["full"], &status["waiting"]) {
        (Value::Number(running), Value::Number(full), Value::Number(waiting)) => {
            format!("{running} of {full}, {waiting} waiting")
        }
        _ => "-".to_owned(),
    };
    Some(TableRow {
        style: LineStyle::Plain,
        cells: vec![
            entry.address.clone(),
            state.to_owned(),
            number("version"),
            number("zones_revision"),
            evacuated,
            cold,
            number("flows"),
            requests,
        ],
    })
}

fn zone_text(entry: &Value) -> String {
    let zone = entry["zone"].as_str().unwrap_or("-");
    let seconds = entry["evacuated_ms"].as_u64().unwrap_or(0) / 1_000;
    format!("{zone} for {seconds} s")
}
