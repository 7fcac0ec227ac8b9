//! `lovagelatch explain`: why a new flow or request goes where it goes, as one instance sees it.

mod opaque;

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_placement::GateCost;
use serde_json::Value;

use crate::client::{block_on, get_json};
use crate::command::ExplainCommand;
use crate::failure::CommandError;
use crate::output::{LineTone, TableRow, Verdict, print_json, print_line, print_table};

pub(crate) fn run(command: &ExplainCommand) -> Result<Verdict, CommandError> {
    match command {
        ExplainCommand::Flow {
            json,
            instance,
            address,
            flow_key,
        } => explain_flow(*instance, *address, flow_key.as_deref(), *json),
        ExplainCommand::Opaque {
            json,
            instance,
            client,
            address,
        } => opaque::explain(*instance, *client, *address, *json),
        ExplainCommand::Request { json, instance } => explain_request(*instance, *json),
    }
}

fn explain_flow(
    instance: SocketAddrV4,
    address: SocketAddrV4,
    flow_key: Option<&str>,
    json: bool,
) -> Result<Verdict, CommandError> {
    let key = flow_key
        .map(|key| format!("&key={key}"))
        .unwrap_or_default();
    let path = format!("/explain/flow?address={address}{key}");
    let answer: Value = block_on(get_json(instance, &path))?;
    if json {
        print_json(&answer)?;
    } else {
        print_answer(&answer);
    }
    let found = answer["service"].is_string();
    Ok(if found { Verdict::Good } else { Verdict::Bad })
}

/// The costs come least first; equal ones are broken by who was chosen less often before.
fn explain_request(instance: SocketAddrV4, json: bool) -> Result<Verdict, CommandError> {
    let gates: Vec<GateCost> = block_on(get_json(instance, "/explain/request"))?;
    if json {
        print_json(&gates)?;
    } else {
        print_costs(&gates);
    }
    Ok(if gates.is_empty() {
        Verdict::Bad
    } else {
        Verdict::Good
    })
}

fn print_costs(gates: &[GateCost]) {
    if gates.is_empty() {
        print_line(LineTone::Bad, "no gate takes new requests");
        return;
    }
    let heading = ["RANK", "AGENT", "WAIT", "COST"]
        .map(str::to_owned)
        .to_vec();
    let mut rows = vec![TableRow {
        tone: LineTone::Plain,
        cells: heading,
    }];
    for (index, gate) in gates.iter().enumerate() {
        let millis = |duration: Duration| format!("{:.1} ms", duration.as_secs_f64() * 1_000.0);
        let cells = vec![
            (index + 1).to_string(),
            gate.agent.to_string(),
            millis(gate.wait),
            millis(gate.cost),
        ];
        let tone = if index == 0 {
            LineTone::Good
        } else {
            LineTone::Plain
        };
        rows.push(TableRow { tone, cells });
    }
    print_table(&rows);
}

fn print_answer(answer: &Value) {
    let revision = word(&answer["config_revision"]);
    let (address, service) = (word(&answer["address"]), word(&answer["service"]));
    let agency = word(&answer["agency"]);
    print_line(
        LineTone::Plain,
        &format!("{address}: service {service}, agency {agency}, by revision {revision}"),
    );
    let heading = ["RANK", "TARGET", "AGENT", "ZONE", "SLOTS", "STANDING"];
    let heading = heading.map(str::to_owned).to_vec();
    let mut rows = vec![TableRow {
        tone: LineTone::Plain,
        cells: heading,
    }];
    for (index, candidate) in answer["candidates"]
        .as_array()
        .into_iter()
        .flatten()
        .enumerate()
    {
        let fields = ["target", "agent", "zone", "slots", "standing"];
        let mut cells = vec![(index + 1).to_string()];
        cells.extend(fields.iter().map(|field| word(&candidate[field])));
        let tone = if index == 0 {
            LineTone::Good
        } else {
            LineTone::Plain
        };
        rows.push(TableRow { tone, cells });
    }
    print_table(&rows);
    print_line(LineTone::Plain, &word(&answer["reason"]));
}

/// A value as a cell of a table.
fn word(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
