//! Compares two builds by their reports of the same days, with confidence intervals.
//!
//! The reports come from the users' benchmark, one file per simulated day, named
//! `SITE+DAY+SEED.LABEL.json`. `docs/experiments/compare/run.sh` runs the days, writes the reports
//! under these names and resumes after an interruption. A day with a report of only one build is
//! skipped and named.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use plotters::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::report::{ReportError, write_results};

/// Bootstrap samples (days drawn with replacement) per confidence interval.
const RESAMPLES: usize = 2_000;

/// Share of the bootstrap samples beyond each end of the interval, in thousandths (2.5 %).
const TAIL_PER_MILLE: usize = 25;

/// Why two builds could not be compared.
#[derive(Debug, Error)]
pub(crate) enum CompareError {
    #[error("cannot read {path}: {source}")]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("cannot parse report {path}: {source}")]
    Malformed {
        path: PathBuf,
        source: serde_json::Error,
    },
    #[error("no day in {path} has reports of both {a} and {b}")]
    NoPairs { path: PathBuf, a: String, b: String },
    #[error(transparent)]
    Report(#[from] ReportError),
}

/// The compared fields of a report. `G` is the benchmark's name for the worth of a day.
#[derive(Clone, Debug, Deserialize)]
struct DayReport {
    #[serde(rename = "G")]
    worth: f64,
    failed: f64,
    refused: f64,
    all: DayTotals,
    /// Priced items: name, amount, and the worth deducted for it.
    prices: Vec<(String, f64, f64)>,
    /// Violations by name of the rule.
    breaks: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct DayTotals {
    n: f64,
    late: f64,
    p99_ms: f64,
}

/// A figure computed from a report.
struct Figure {
    name: &'static str,
    of: fn(&DayReport) -> f64,
}

const FIGURES: [Figure; 6] = [
    Figure {
        name: "worth",
        of: |report| report.worth,
    },
    Figure {
        name: "failed",
        of: |report| report.failed,
    },
    Figure {
        name: "refused",
        of: |report| report.refused,
    },
    Figure {
        name: "late",
        of: |report| report.all.late / report.all.n.max(1.0),
    },
    Figure {
        name: "p99_ms",
        of: |report| report.all.p99_ms,
    },
    Figure {
        name: "prices",
        of: |report| report.prices.iter().map(|(_, _, worth)| worth).sum(),
    },
];

/// A day with the reports of both builds.
struct DayPair {
    site: String,
    day: String,
    reports: [DayReport; 2],
}

/// The comparison of one figure on one site.
#[derive(Clone, Debug, Serialize)]
struct Difference {
    site: String,
    figure: &'static str,
    days: usize,
    /// Mean of the first build.
    first: f64,
    /// Mean of the second build minus the first; `low` and `high` bound its confidence interval.
    difference: f64,
    low: f64,
    high: f64,
    verdict: &'static str,
}

/// Compares the reports in `directory`, and writes CSV, JSON and plot into `out`.
pub(crate) fn run(
    directory: &Path,
    labels: [&str; 2],
    out: &Path,
    seed: u64,
) -> Result<(), CompareError> {
    let pairs = read_pairs(directory, labels)?;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut sites: Vec<&str> = pairs.iter().map(|pair| pair.site.as_str()).collect();
    sites.dedup();
    let mut differences = Vec::new();
    for site in sites {
        let days: Vec<_> = pairs.iter().filter(|pair| pair.site == site).collect();
        let site_differences = FIGURES.map(|figure| compare(site, &days, &figure, &mut random));
        differences.extend(site_differences);
    }
    let all: Vec<_> = pairs.iter().collect();
    differences.extend(FIGURES.map(|figure| compare("all", &all, &figure, &mut random)));
    let name = format!("compare-{}-{}", labels[0], labels[1]);
    write_results(out, &name, &[], &differences)?;
    for pair in &pairs {
        for (label, report) in labels.iter().zip(&pair.reports) {
            if !report.breaks.is_empty() {
                println!("{label} broke rules on {}: {:?}", pair.day, report.breaks);
            }
        }
    }
    let path = out.join(format!("{name}.svg"));
    draw(&path, labels, &pairs).map_err(|error| ReportError::Draw {
        path,
        detail: error.to_string(),
    })?;
    Ok(())
}

fn read_pairs(directory: &Path, labels: [&str; 2]) -> Result<Vec<DayPair>, CompareError> {
    let read_error = |source| CompareError::Read {
        path: directory.to_owned(),
        source,
    };
    let mut names = Vec::new();
    for entry in fs::read_dir(directory).map_err(read_error)? {
        let name = entry.map_err(read_error)?.file_name();
        let name = name.to_string_lossy().into_owned();
        if let Some(day) = name.strip_suffix(&format!(".{}.json", labels[0])) {
            names.push(day.to_owned());
        }
    }
    names.sort();
    let mut pairs = Vec::new();
    for day in names {
        let paths = labels.map(|label| directory.join(format!("{day}.{label}.json")));
        if !paths[1].exists() {
            eprintln!("{day}: no report of {}, left out", labels[1]);
            continue;
        }
        let reports = [read_report(&paths[0])?, read_report(&paths[1])?];
        let site = day.split('+').next().unwrap_or_default().to_owned();
        pairs.push(DayPair { site, day, reports });
    }
    if pairs.is_empty() {
        return Err(CompareError::NoPairs {
            path: directory.to_owned(),
            a: labels[0].to_owned(),
            b: labels[1].to_owned(),
        });
    }
    Ok(pairs)
}

fn read_report(path: &Path) -> Result<DayReport, CompareError> {
    let text = fs::read_to_string(path).map_err(|source| CompareError::Read {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| CompareError::Malformed {
        path: path.to_owned(),
        source,
    })
}

fn compare(site: &str, days: &[&DayPair], figure: &Figure, random: &mut SmallRng) -> Difference {
    let value = |pair: &DayPair, at: usize| (figure.of)(&pair.reports[at]);
    let deltas: Vec<f64> = days
        .iter()
        .map(|pair| value(pair, 1) - value(pair, 0))
        .collect();
    let firsts: Vec<f64> = days.iter().map(|pair| value(pair, 0)).collect();
    let (low, high) = bootstrap_interval(&deltas, random);
    Difference {
        site: site.to_owned(),
        figure: figure.name,
        days: days.len(),
        first: round(mean(&firsts)),
        difference: round(mean(&deltas)),
        low: round(low),
        high: round(high),
        verdict: verdict(&deltas, low, high),
    }
}

/// Interprets an interval. One or two days are too few to estimate the variance.
fn verdict(deltas: &[f64], low: f64, high: f64) -> &'static str {
    if deltas.len() < 3 {
        "too few days"
    } else if low <= 0.0 && high >= 0.0 {
        "no difference"
    } else if low > 0.0 {
        "more"
    } else {
        "less"
    }
}

/// Returns the 95 % bootstrap confidence interval of the mean.
fn bootstrap_interval(deltas: &[f64], random: &mut SmallRng) -> (f64, f64) {
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let drawn = (0..deltas.len()).map(|_| deltas[random.random_range(0..deltas.len())]);
            mean(&drawn.collect::<Vec<_>>())
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let tail = RESAMPLES * TAIL_PER_MILLE / 1_000;
    (means[tail], means[RESAMPLES - 1 - tail])
}

#[allow(clippy::cast_precision_loss)]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// Returns the height of the plot in pixels.
fn height(days: usize) -> u32 {
    60 + 24 * u32::try_from(days.max(4)).unwrap_or(100)
}

/// Draws the change of worth of each day.
fn draw(
    path: &Path,
    labels: [&str; 2],
    pairs: &[DayPair],
) -> Result<(), Box<dyn std::error::Error>> {
    let changes: Vec<f64> = pairs
        .iter()
        .map(|pair| pair.reports[1].worth - pair.reports[0].worth)
        .collect();
    let max = changes
        .iter()
        .fold(0.01_f64, |max, change| max.max(change.abs()))
        * 1.1;
    let count = i32::try_from(pairs.len())?;
    let root = SVGBackend::new(path, (820, height(pairs.len()))).into_drawing_area();
    root.fill(&WHITE)?;
    let caption = format!(
        "worth of {} less worth of {}, day by day",
        labels[1], labels[0]
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(330)
        .build_cartesian_2d(-max..max, 0..count)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(pairs.len())
        .y_label_formatter(&|at| {
            let day = usize::try_from(*at).ok().and_then(|at| pairs.get(at));
            day.map_or_else(String::new, |pair| pair.day.clone())
        })
        .draw()?;
    for (at, change) in (0..).zip(&changes) {
        let color = if *change < 0.0 { RED } else { BLUE };
        let bar = Rectangle::new([(0.0, at), (*change, at + 1)], color.mix(0.6).filled());
        chart.draw_series(std::iter::once(bar))?;
    }
    root.present()?;
    Ok(())
}
