//! `lovagelatch explain`: where one instance places a new flow or request, and why.

mod opaque;

use std::net::SocketAddrV4;
use std::time::Duration;

use lovagelatch_placement::GateCost;
use serde_json::Value;

use crate::client::{block_on, get_json};
use crate::command::ExplainCommand;
use crate::failure::CommandError;
use crate::output::{CommandOutcome, LineStyle, TableRow, print_json, print_line, print_table};

pub(crate) fn run(command: &ExplainCommand) -> Result<CommandOutcome, CommandError> {
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
) -> Result<CommandOutcome, CommandError> {
    let key = flow_key
        .map(|key| format!("&key={key}"))
        .unwrap_or_default();
    let path = format!("/explain/flow?address={address}{key}");
    let explanation: Value = block_on(get_json(instance, &path))?;
    if json {
        print_json(&explanation)?;
    } else {
        print_flow(&explanation);
    }
    let found = explanation["service"].is_string();
    Ok(if found {
        CommandOutcome::Passed
    } else {
        CommandOutcome::Failed
    })
}

/// The instance returns the gates in ascending order of cost; among equal costs, the gate chosen
/// less often comes first.
fn explain_request(instance: SocketAddrV4, json: bool) -> Result<CommandOutcome, CommandError> {
    let gates: Vec<GateCost> = block_on(get_json(instance, "/explain/request"))?;
    if json {
        print_json(&gates)?;
    } else {
        print_costs(&gates);
    }
    Ok(if gates.is_empty() {
        CommandOutcome::Failed
    } else {
        CommandOutcome::Passed
    })
}

fn print_costs(gates: &[GateCost]) {
    if gates.is_empty() {
        print_line(LineStyle::Error, "no gate takes new requests");
        return;
    }
    let heading = ["RANK", "AGENT", "WAIT", "COST"]
        .map(str::to_owned)
        .to_vec();
    let mut rows = vec![TableRow {
        style: LineStyle::Plain,
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
        let style = if index == 0 {
            LineStyle::Success
        } else {
            LineStyle::Plain
        };
        rows.push(TableRow { style, cells });
    }
    print_table(&rows);
}

fn print_flow(explanation: &Value) {
    let revision = cell_text(&explanation["config_revision"]);
    let (address, service) = (
        cell_text(&explanation["address"]),
        cell_text(&explanation["service"]),
    );
    let agency = cell_text(&explanation["agency"]);
    print_line(
        LineStyle::Plain,
        &format!("{address}: service {service}, agency {agency}, by revision {revision}"),
    );
    let heading = ["RANK", "TARGET", "AGENT", "ZONE", "SLOTS", "STANDING"];
    let heading = heading.map(str::to_owned).to_vec();
    let mut rows = vec![TableRow {
        style: LineStyle::Plain,
        cells: heading,
    }];
    for (index, candidate) in explanation["candidates"]
        .as_array()
        .into_iter()
        .flatten()
        .enumerate()
    {
        let fields = ["target", "agent", "zone", "slots", "standing"];
        let mut cells = vec![(index + 1).to_string()];
        cells.extend(fields.iter().map(|field| cell_text(&candidate[field])));
        let style = if index == 0 {
            LineStyle::Success
        } else {
            LineStyle::Plain
        };
        rows.push(TableRow { style, cells });
    }
    print_table(&rows);
    print_line(LineStyle::Plain, &cell_text(&explanation["reason"]));
}

/// Formats a JSON value as a table cell.
fn cell_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
