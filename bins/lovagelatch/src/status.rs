//! `lovagelatch status`: the revision in force at each instance, and which instances lag.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use lovagelatch_domain::{ConfigRevision, InstanceList};
use lovagelatch_membership::FleetStatus;
use serde::Serialize;
use serde_json::Value;

use crate::client::{block_on, get_json};
use crate::failure::CommandError;
use crate::output::{CommandOutcome, LineStyle, TableRow, print_json, print_line, print_table};
use crate::status_opaque::{OpaqueStatus, is_opaque, print_opaque};

#[derive(Serialize)]
struct StatusReport {
    /// The highest revision in force at any instance.
    newest_revision: ConfigRevision,
    instances: Vec<InstanceEntry>,
}

#[derive(Serialize)]
struct InstanceEntry {
    address: SocketAddrV4,
    /// The instance's status, if it responded.
    status: Option<Value>,
    /// Why there is no status, if it did not respond.
    error: Option<String>,
    /// Whether its revision in force is lower than that of another instance.
    lags: bool,
}

impl InstanceEntry {
    /// Returns the instance's knowledge of the fleet's membership.
    fn fleet(&self) -> Option<FleetStatus> {
        let fleet = self.status.as_ref()?.get("fleet")?;
        serde_json::from_value(fleet.clone()).ok()
    }

    fn opaque_status(&self) -> OpaqueStatus<'_> {
        OpaqueStatus {
            address: self.address.to_string(),
            status: self.status.as_ref(),
            error: self.error.as_deref(),
        }
    }

    fn revision(&self) -> ConfigRevision {
        let status = self.status.as_ref();
        let revision = status.and_then(|status| status["config_revision"].as_u64());
        ConfigRevision(revision.unwrap_or(0))
    }
}

pub(crate) fn run(
    platform: Option<SocketAddrV4>,
    instances: &[SocketAddrV4],
    json: bool,
) -> Result<CommandOutcome, CommandError> {
    let report = block_on(query_all(platform, instances))?;
    let mut statuses = report
        .instances
        .iter()
        .filter_map(|line| line.status.as_ref());
    if !json && statuses.any(is_opaque) {
        let answers: Vec<_> = report
            .instances
            .iter()
            .map(InstanceEntry::opaque_status)
            .collect();
        return Ok(print_opaque(&answers));
    }
    let good = report
        .instances
        .iter()
        .all(|line| line.error.is_none() && !line.lags);
    if json {
        print_json(&report)?;
    } else {
        print_report(&report);
    }
    Ok(if good {
        CommandOutcome::Passed
    } else {
        CommandOutcome::Failed
    })
}

async fn query_all(
    platform: Option<SocketAddrV4>,
    instances: &[SocketAddrV4],
) -> Result<StatusReport, CommandError> {
    let mut addresses = instances.to_vec();
    if let Some(platform) = platform {
        let list: InstanceList = get_json(platform, "/v1/instances").await?;
        addresses.extend(list.balancers.iter().map(|balancer| balancer.operations));
        addresses.extend(list.targets.iter().map(|target| target.operations));
    }
    if addresses.is_empty() {
        return Err(CommandError::NoInstances);
    }
    let mut lines = Vec::new();
    for address in addresses {
        lines.push(query(address).await);
    }
    let newest = lines
        .iter()
        .map(InstanceEntry::revision)
        .max()
        .unwrap_or_default();
    for line in &mut lines {
        line.lags = line.status.is_some() && line.revision() < newest;
    }
    Ok(StatusReport {
        newest_revision: newest,
        instances: lines,
    })
}

async fn query(address: SocketAddrV4) -> InstanceEntry {
    match get_json(address, "/status").await {
        Ok(status) => InstanceEntry {
            address,
            status: Some(status),
            error: None,
            lags: false,
        },
        Err(error) => InstanceEntry {
            address,
            status: None,
            error: Some(error.to_string()),
            lags: false,
        },
    }
}

fn print_report(report: &StatusReport) {
    let heading = [
        "INSTANCE",
        "BINARY",
        "ZONE",
        "STATE",
        "REVISION",
        "LIST",
        "LIVE",
        "LEAVING",
        "SUSPECTED",
        "HEARD",
        "FLOWS",
        "REFUSED",
        "UNKNOWN",
        "BROKEN",
    ];
    let heading = heading.map(str::to_owned).to_vec();
    let mut rows = vec![TableRow {
        style: LineStyle::Plain,
        cells: heading,
    }];
    rows.extend(report.instances.iter().filter_map(table_row));
    print_table(&rows);
    print_problems(report);
    let silent = report
        .instances
        .iter()
        .filter(|line| line.error.is_some())
        .count();
    let lagging = report.instances.iter().filter(|line| line.lags).count();
    let (revision, queried) = (report.newest_revision, report.instances.len());
    let style = if silent + lagging == 0 {
        LineStyle::Success
    } else {
        LineStyle::Error
    };
    let line = format!("revision {revision}: {queried} asked, {lagging} lag, {silent} silent");
    print_line(style, &line);
}

/// Prints the problems that instances report about others, the most severe last. Each is printed
/// once; of lagging reports about a peer, the one known for longest is printed.
fn print_problems(report: &StatusReport) {
    let mut lagging = BTreeMap::new();
    let mut problems = BTreeSet::new();
    for fleet in report.instances.iter().filter_map(InstanceEntry::fleet) {
        for peer in &fleet.lagging {
            let known = lagging
                .entry(peer.peer)
                .or_insert((peer.seconds, peer.revision));
            *known = (*known).max((peer.seconds, peer.revision));
        }
        let leaving = fleet
            .leaving
            .iter()
            .map(|agent| format!("{agent} is leaving"));
        problems.extend(leaving);
        let suspected = fleet
            .suspected
            .iter()
            .map(|agent| format!("{agent} is suspected"));
        problems.extend(suspected);
        let lost = fleet
            .lost_zones
            .iter()
            .map(|zone| format!("zone {zone} is assumed lost"));
        problems.extend(lost);
        if fleet.refused > fleet.revision {
            problems.insert(format!(
                "revision {} was refused for its faults",
                fleet.refused
            ));
        }
    }
    let lagging = lagging.iter().map(|(peer, (seconds, revision))| {
        format!("{peer} lags at revision {revision}, known for {seconds} s")
    });
    for line in problems.into_iter().chain(lagging) {
        print_line(LineStyle::Warning, &line);
    }
    for error in report
        .instances
        .iter()
        .filter_map(|line| line.error.as_ref())
    {
        print_line(LineStyle::Error, error);
    }
}

fn table_row(line: &InstanceEntry) -> Option<TableRow> {
    let status = line.status.as_ref()?;
    let text = |field: &str| status[field].as_str().unwrap_or("-").to_owned();
    let sum = |field: &str| {
        let services = status["services"].as_array().into_iter().flatten();
        services
            .filter_map(|service| service[field].as_u64())
            .sum::<u64>()
            .to_string()
    };
    // Balancers hold no flows and run no requests, so they lack these counters.
    let counter = |names: &[&str]| {
        let counts = names
            .iter()
            .filter_map(|&name| status["counters"][name].as_u64());
        let counts: Vec<u64> = counts.collect();
        if counts.is_empty() {
            "-".to_owned()
        } else {
            counts.iter().sum::<u64>().to_string()
        }
    };
    let age = status["fleet"]["platform_age_seconds"].as_u64();
    let last_heard = age.map_or_else(|| "-".to_owned(), |age| format!("{age} s ago"));
    let mark = if line.lags { " (lags)" } else { "" };
    let cells = vec![
        text("name"),
        text("binary"),
        text("zone"),
        text("phase"),
        format!("{}{mark}", line.revision()),
        status["list_revision"].to_string(),
        sum("live"),
        sum("leaving"),
        sum("suspected"),
        last_heard,
        counter(&["open_flows"]),
        counter(&["requests.not-run"]),
        counter(&["requests.unknown"]),
        counter(&["flows.ended.reset", "flows.ended.error"]),
    ];
    let style = if line.lags {
        LineStyle::Warning
    } else {
        LineStyle::Plain
    };
    Some(TableRow { style, cells })
}
