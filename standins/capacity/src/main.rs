//! `lovagelatch-capacity`: measures the slopes behind `docs/CAPACITY.md` and prints its tables.

mod config_costs;
mod fault_costs;
mod fleet_costs;
mod heap;
mod list_costs;
mod member_setup;
mod message_costs;
mod report;

use std::path::PathBuf;

use bpaf::Bpaf;
use report::{CapacityReport, ReportError};

#[global_allocator]
static HEAP: heap::CountingHeap = heap::CountingHeap;

/// Measures one part and adds its tables to the report.
type Measurement = fn(&mut CapacityReport);

/// Measures how the costs of the control plane grow with the fleet
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct CommandLine {
    /// Measure only this part: config, list, messages, fleet or faults
    #[bpaf(argument("PART"))]
    part: Option<String>,
    /// Also write the tables to this file as JSON
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
}

fn main() -> Result<(), ReportError> {
    let options = command_line().run();
    let mut report = CapacityReport::default();
    let parts: [(&str, Measurement); 5] = [
        ("config", config_costs::measure),
        ("list", list_costs::measure),
        ("messages", message_costs::measure),
        ("fleet", fleet_costs::measure),
        ("faults", fault_costs::measure),
    ];
    for (name, measure) in parts {
        if options.part.as_deref().is_none_or(|part| part == name) {
            measure(&mut report);
        }
    }
    match options.json {
        Some(path) => report.write_json(&path),
        None => Ok(()),
    }
}
