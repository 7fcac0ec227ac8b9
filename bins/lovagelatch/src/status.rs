//! `lovagelatch status`: which revision is in force where, and who lags.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use lovagelatch_domain::{ConfigRevision, InstanceList};
use lovagelatch_membership::FleetStatus;
use serde::Serialize;
use serde_json::Value;

use crate::client::{block_on, get_json};
use crate::failure::CommandError;
use crate::output::{LineTone, TableRow, Verdict, print_json, print_line, print_table};
use crate::status_opaque::{OpaqueAnswer, is_opaque, print_opaque};

#[derive(Serialize)]
struct StatusReport {
    /// The highest revision anyone has in force.
    newest_revision: ConfigRevision,
    instances: Vec<InstanceLine>,
}

#[derive(Serialize)]
struct InstanceLine {
    address: SocketAddrV4,
    /// The instance's status, when it answered.
    status: Option<Value>,
    /// Why not, when it did not.
    error: Option<String>,
    /// Whether it has a lower revision in force than another one.
    lags: bool,
}

impl InstanceLine {
    /// What it knows of the fleet's membership.
    fn fleet(&self) -> Option<FleetStatus> {
        let fleet = self.status.as_ref()?.get("fleet")?;
        serde_json::from_value(fleet.clone()).ok()
    }

    fn as_opaque(&self) -> OpaqueAnswer<'_> {
        OpaqueAnswer {
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
) -> Result<Verdict, CommandError> {
    let report = block_on(gather(platform, instances))?;
    let mut statuses = report
        .instances
        .iter()
        .filter_map(|line| line.status.as_ref());
    if !json && statuses.any(is_opaque) {
        let answers: Vec<_> = report
            .instances
            .iter()
            .map(InstanceLine::as_opaque)
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
    Ok(if good { Verdict::Good } else { Verdict::Bad })
}

async fn gather(
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
        return Err(CommandError::NobodyToAsk);
    }
    let mut lines = Vec::new();
    for address in addresses {
        lines.push(ask(address).await);
    }
    let newest = lines
        .iter()
        .map(InstanceLine::revision)
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

async fn ask(address: SocketAddrV4) -> InstanceLine {
    match get_json(address, "/status").await {
        Ok(status) => InstanceLine {
            address,
            status: Some(status),
            error: None,
            lags: false,
        },
        Err(error) => InstanceLine {
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
        tone: LineTone::Plain,
        cells: heading,
    }];
    rows.extend(report.instances.iter().filter_map(row_of));
    print_table(&rows);
    print_concerns(report);
    let silent = report
        .instances
        .iter()
        .filter(|line| line.error.is_some())
        .count();
    let lagging = report.instances.iter().filter(|line| line.lags).count();
    let (revision, asked) = (report.newest_revision, report.instances.len());
    let tone = if silent + lagging == 0 {
        LineTone::Good
    } else {
        LineTone::Bad
    };
    let line = format!("revision {revision}: {asked} asked, {lagging} lag, {silent} silent");
    print_line(tone, &line);
}

/// What instances hold against others, worst last; each once, by whoever has known it longest.
fn print_concerns(report: &StatusReport) {
    let mut lagging = BTreeMap::new();
    let mut concerns = BTreeSet::new();
    for fleet in report.instances.iter().filter_map(InstanceLine::fleet) {
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
        concerns.extend(leaving);
        let suspected = fleet
            .suspected
            .iter()
            .map(|agent| format!("{agent} is suspected"));
        concerns.extend(suspected);
        let lost = fleet
            .lost_zones
            .iter()
            .map(|zone| format!("zone {zone} is taken for lost"));
        concerns.extend(lost);
        if fleet.refused > fleet.revision {
            concerns.insert(format!(
                "revision {} was refused for its faults",
                fleet.refused
            ));
        }
    }
    let lagging = lagging.iter().map(|(peer, (seconds, revision))| {
        format!("{peer} lags at revision {revision}, known for {seconds} s")
    });
    for line in concerns.into_iter().chain(lagging) {
        print_line(LineTone::Notice, &line);
    }
    for error in report
        .instances
        .iter()
        .filter_map(|line| line.error.as_ref())
    {
        print_line(LineTone::Bad, error);
    }
}

fn row_of(line: &InstanceLine) -> Option<TableRow> {
    let status = line.status.as_ref()?;
    let word = |field: &str| status[field].as_str().unwrap_or("-").to_owned();
    let sum = |field: &str| {
        let services = status["services"].as_array().into_iter().flatten();
        services
            .filter_map(|service| service[field].as_u64())
            .sum::<u64>()
            .to_string()
    };
    // Balancers hold no flows and run no requests.
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
    let heard = age.map_or_else(|| "-".to_owned(), |age| format!("{age} s ago"));
    let mark = if line.lags { " (lags)" } else { "" };
    let cells = vec![
        word("name"),
        word("binary"),
        word("zone"),
        word("phase"),
        format!("{}{mark}", line.revision()),
        status["list_revision"].to_string(),
        sum("live"),
        sum("leaving"),
        sum("suspected"),
        heard,
        counter(&["open_flows"]),
        counter(&["requests.not-run"]),
        counter(&["requests.unknown"]),
        counter(&["flows.ended.reset", "flows.ended.error"]),
    ];
    let tone = if line.lags {
        LineTone::Notice
    } else {
        LineTone::Plain
    };
    Some(TableRow { tone, cells })
}
