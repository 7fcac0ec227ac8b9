//! `lovagelatch explain`: why a new flow goes where it goes, by one instance's view.

use std::net::SocketAddrV4;

use serde_json::Value;

use crate::client::{block_on, get_json};
use crate::failure::CommandError;
use crate::output::{LineTone, TableRow, Verdict, print_json, print_line, print_table};

pub(crate) fn run(
    instance: SocketAddrV4,
    address: SocketAddrV4,
    flow_key: Option<&str>,
    json: bool,
) -> Result<Verdict, CommandError> {
    let key = flow_key
        .map(|key| format!("&key={key}"))
        .unwrap_or_default();
    let path = format!("/explain?address={address}{key}");
    let answer: Value = block_on(get_json(instance, &path))?;
    if json {
        print_json(&answer)?;
    } else {
        print_answer(&answer);
    }
    let found = answer["service"].is_string();
    Ok(if found { Verdict::Good } else { Verdict::Bad })
}

fn print_answer(answer: &Value) {
    let word = |value: &Value| match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
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
