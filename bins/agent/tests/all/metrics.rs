//! Checks the metrics page that operators read against the process and the source code.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use lovagelatch_telemetry::DecisionKind;

use crate::rig::TestRig;

/// Prefixes of metrics that an agent does not serve.
const OTHER_PREFIXES: [&str; 2] = ["lovagelatch_balancer_", "lovagelatch_control_"];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    let path = repository().join("docs/operating/metrics.md");
    std::fs::read_to_string(path).expect("the page")
}

/// Returns the names in backticks in one column of the page's tables, below one heading.
fn rows(heading: &str, column: usize) -> BTreeSet<String> {
    let page = page();
    let part = page.split("\n## ").find(|part| part.starts_with(heading));
    let lines = part.expect("the heading").lines();
    let cells = lines.filter(|line| line.starts_with("| `"));
    let names = cells.map(|line| {
        let cell = line.split('|').nth(column).expect("a cell");
        cell.trim().trim_matches('`').to_owned()
    });
    names.collect()
}

fn served_metrics(text: &str) -> BTreeSet<String> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names = types.filter_map(|line| line.split(' ').next());
    names.map(str::to_owned).collect()
}

// Guards against an alarm that never fires: an instrument is renamed, and the page and the alarms
// based on it keep the old name.
#[tokio::test]
async fn the_page_lists_the_metrics_that_an_agent_serves() {
    let rig = TestRig::new().await;
    let caller = rig.caller().await;
    assert_eq!(caller.get("/status/1").await.outcome(), "done");
    let text = rig.pairs[0].agent.metrics_text().expect("metrics");
    let listed: BTreeSet<String> = rows("Metrics", 2)
        .into_iter()
        .filter(|name| !OTHER_PREFIXES.iter().any(|part| name.starts_with(part)))
        .collect();
    assert_eq!(listed, served_metrics(&text));
    assert!(text.contains("lovagelatch_agent_flows_open{"), "{text}");
}

/// Collects all instrument names in the sources of the processes and their libraries.
fn names_in_sources(directory: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        let is_test = path.ends_with("tests") || path.ends_with("benches");
        if path.is_dir() && !is_test {
            names_in_sources(&path, names);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let source = std::fs::read_to_string(&path).expect("a source file");
            let quoted = source.split('"').skip(1).step_by(2);
            let instruments = quoted.filter(|text| {
                let dots = text.matches('.').count();
                text.starts_with("lovagelatch.") && dots >= 2 && !text.ends_with('.')
            });
            names.extend(instruments.map(str::to_owned));
        }
    }
}

#[test]
fn the_page_lists_the_instruments_of_every_process() {
    let mut names = BTreeSet::new();
    names_in_sources(&repository().join("bins"), &mut names);
    names_in_sources(&repository().join("crates"), &mut names);
    // The names of the gauges are built from these parts.
    for (prefix, parts) in [
        ("gate", ["slots", "in_use", "queued"].as_slice()),
        ("ledger", ["entries", "size"].as_slice()),
    ] {
        names.remove(&format!("lovagelatch.agent.{prefix}.{{name}}"));
        names.extend(
            parts
                .iter()
                .map(|part| format!("lovagelatch.agent.{prefix}.{part}")),
        );
    }
    let mut listed = rows("Metrics", 1);
    listed.extend(rows("Opaque packets", 1));
    assert_eq!(listed, names);
}

#[test]
fn the_page_lists_the_decision_kinds_of_the_log() {
    let names = DecisionKind::ALL.map(|kind| kind.as_str().to_owned());
    assert_eq!(rows("Log lines", 1), BTreeSet::from(names));
}
