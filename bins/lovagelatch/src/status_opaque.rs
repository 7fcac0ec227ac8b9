//! `lovagelatch status` of processes that carry opaque packets: which configuration and which evacuated zones
//! are in force where.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::output::{LineTone, TableRow, Verdict, print_line, print_table};

/// What one process said, or why it said nothing.
pub(crate) struct OpaqueAnswer<'a> {
    pub(crate) address: String,
    pub(crate) status: Option<&'a Value>,
    pub(crate) error: Option<&'a str>,
}

/// Whether a status is of a process that carries opaque packets.
pub(crate) fn is_opaque(status: &Value) -> bool {
    status["zones_revision"].is_u64()
}

/// Prints a line for each process; good when all answered and no two balancers differ on the zones.
pub(crate) fn print_opaque(answers: &[OpaqueAnswer<'_>]) -> Verdict {
    let heading = [
        "INSTANCE",
        "STATE",
        "VERSION",
        "ZONES AT",
        "EVACUATED",
        "COLD",
        "FLOWS",
    ];
    let mut rows = vec![TableRow {
        tone: LineTone::Plain,
        cells: heading.map(str::to_owned).to_vec(),
    }];
    rows.extend(answers.iter().filter_map(row_of));
    print_table(&rows);
    for error in answers.iter().filter_map(|answer| answer.error) {
        print_line(LineTone::Bad, error);
    }
    let statuses = answers.iter().filter_map(|answer| answer.status);
    let zones: BTreeSet<String> = statuses.filter_map(balancer_zones).collect();
    let silent = answers.iter().filter(|answer| answer.error.is_some());
    let silent = silent.count();
    let agree = zones.len() <= 1;
    if agree {
        let zones = zones.into_iter().next().unwrap_or_default();
        let zones = if zones.is_empty() { "none" } else { &zones };
        print_line(LineTone::Good, &format!("evacuated zones: {zones}"));
    } else {
        print_line(LineTone::Bad, "balancers differ on the evacuated zones");
    }
    if agree && silent == 0 {
        Verdict::Good
    } else {
        Verdict::Bad
    }
}

/// The evacuated zones as a balancer knows them; `None` for an agent.
fn balancer_zones(status: &Value) -> Option<String> {
    let zones = status["evacuated"].as_array()?;
    let names = zones.iter().filter_map(|held| held["zone"].as_str());
    Some(names.collect::<Vec<_>>().join(", "))
}

fn row_of(answer: &OpaqueAnswer<'_>) -> Option<TableRow> {
    let status = answer.status?;
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
        Value::Array(zones) => zones.iter().map(zone_words).collect::<Vec<_>>().join(", "),
        _ => "-".to_owned(),
    };
    let cold = match (&status["cold_targets"], &status["cold_room"]) {
        (Value::Number(count), _) => format!("{count} targets"),
        (_, Value::Number(room)) => format!("bears {room} more"),
        _ => "-".to_owned(),
    };
    Some(TableRow {
        tone: LineTone::Plain,
        cells: vec![
            answer.address.clone(),
            state.to_owned(),
            number("version"),
            number("zones_revision"),
            evacuated,
            cold,
            number("flows"),
        ],
    })
}

fn zone_words(held: &Value) -> String {
    let zone = held["zone"].as_str().unwrap_or("-");
    let seconds = held["evacuated_ms"].as_u64().unwrap_or(0) / 1_000;
    format!("{zone} for {seconds} s")
}
