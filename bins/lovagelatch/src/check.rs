//! `lovagelatch check`: lists every fault of a service text.

use std::io::Read;
use std::path::Path;

use lovagelatch_settings::{MAX_TEXT_BYTES, ServiceText};
use serde::Serialize;

use crate::failure::CommandError;
use crate::output::{CommandOutcome, LineStyle, print_json, print_line};

#[derive(Serialize)]
struct CheckReport {
    valid: bool,
    services: usize,
    addresses: usize,
    faults: Vec<FaultEntry>,
}

#[derive(Serialize)]
struct FaultEntry {
    line: usize,
    message: String,
}

pub(crate) fn run(path: &Path, json: bool) -> Result<CommandOutcome, CommandError> {
    let report = check_report(&read_source(path)?);
    if json {
        print_json(&report)?;
    } else {
        print_report(path, &report);
    }
    Ok(if report.valid {
        CommandOutcome::Passed
    } else {
        CommandOutcome::Failed
    })
}

/// Reads a text, up to one byte more than the maximum size, so that an endless input terminates.
pub(crate) fn read_source(path: &Path) -> Result<String, CommandError> {
    let failed = |source| CommandError::File {
        path: path.to_owned(),
        source,
    };
    let limit = MAX_TEXT_BYTES as u64 + 1;
    let mut text = String::new();
    if path == Path::new("-") {
        std::io::stdin()
            .take(limit)
            .read_to_string(&mut text)
            .map_err(failed)?;
    } else {
        let file = std::fs::File::open(path).map_err(failed)?;
        file.take(limit).read_to_string(&mut text).map_err(failed)?;
    }
    Ok(text)
}

fn check_report(source: &str) -> CheckReport {
    match ServiceText::parse(source) {
        Ok(text) => CheckReport {
            valid: true,
            services: text.services.len(),
            addresses: text
                .services
                .iter()
                .map(|service| service.addresses.len())
                .sum(),
            faults: Vec::new(),
        },
        Err(faults) => {
            let faults = faults.0.iter();
            let faults = faults
                .map(|fault| FaultEntry {
                    line: fault.line,
                    message: fault.kind.to_string(),
                })
                .collect();
            CheckReport {
                valid: false,
                services: 0,
                addresses: 0,
                faults,
            }
        }
    }
}

fn print_report(path: &Path, report: &CheckReport) {
    let path = path.display();
    for fault in &report.faults {
        print_line(
            LineStyle::Error,
            &format!("{path}:{}: {}", fault.line, fault.message),
        );
    }
    if report.valid {
        let (services, addresses) = (report.services, report.addresses);
        let line = format!("{path}: valid: {services} services, {addresses} addresses");
        print_line(LineStyle::Success, &line);
    } else {
        let count = report.faults.len();
        print_line(
            LineStyle::Plain,
            &format!("{count} faults; the text would be refused"),
        );
    }
}
