//! Writes results as CSV, JSON and SVG plots.

use std::fs;
use std::path::{Path, PathBuf};

use plotters::prelude::*;
use serde::Serialize;
use thiserror::Error;

use crate::metrics::RunResult;

/// Why results could not be written.
#[derive(Debug, Error)]
pub(crate) enum ReportError {
    #[error("cannot write {path}: {source}")]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("cannot encode results: {0}")]
    Encode(#[from] serde_json::Error),
    #[error("cannot draw {path}: {detail}")]
    Draw { path: PathBuf, detail: String },
}

/// A goal and the value measured for it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct GoalCheck {
    pub(crate) goal: &'static str,
    pub(crate) case: String,
    pub(crate) measured: f64,
    pub(crate) bound: f64,
    pub(crate) met: bool,
}

impl GoalCheck {
    pub(crate) fn at_most(goal: &'static str, case: String, measured: f64, bound: f64) -> Self {
        Self {
            goal,
            case,
            measured,
            bound,
            met: measured <= bound,
        }
    }

    pub(crate) fn at_least(goal: &'static str, case: String, measured: f64, bound: f64) -> Self {
        Self {
            goal,
            case,
            measured,
            bound,
            met: measured >= bound,
        }
    }
}

#[derive(Serialize)]
struct ResultFile<'a, T> {
    experiment: &'a str,
    goals: &'a [GoalCheck],
    results: &'a [T],
}

/// Writes and prints the results of one experiment.
pub(crate) fn write_results<T: Serialize>(
    directory: &Path,
    experiment: &str,
    goals: &[GoalCheck],
    results: &[T],
) -> Result<(), ReportError> {
    let file = ResultFile {
        experiment,
        goals,
        results,
    };
    let json = serde_json::to_string(&file)?;
    write_file(
        &directory.join(format!("{experiment}.json")),
        &(json + "\n"),
    )?;
    let csv = to_csv(results)?;
    write_file(&directory.join(format!("{experiment}.csv")), &csv)?;
    print!("{csv}");
    for goal in goals {
        let verdict = if goal.met { "met" } else { "NOT MET" };
        println!(
            "goal: {} [{}]: measured {}, bound {}: {verdict}",
            goal.goal, goal.case, goal.measured, goal.bound
        );
    }
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), ReportError> {
    let to_error = |source| ReportError::Write {
        path: path.to_owned(),
        source,
    };
    if let Some(directory) = path.parent() {
        fs::create_dir_all(directory).map_err(to_error)?;
    }
    fs::write(path, text).map_err(to_error)
}

/// Returns one line per result. Nested lists are only in the JSON file.
fn to_csv<T: Serialize>(results: &[T]) -> Result<String, ReportError> {
    let mut lines = Vec::with_capacity(results.len() + 1);
    for result in results {
        let value = serde_json::to_value(result)?;
        let Some(fields) = value.as_object() else {
            continue;
        };
        let flat = fields.iter().filter(|(_, value)| !value.is_array());
        if lines.is_empty() {
            let names: Vec<&str> = flat.clone().map(|(name, _)| name.as_str()).collect();
            lines.push(names.join(","));
        }
        let cells: Vec<String> = flat
            .map(|(_, value)| value.to_string().trim_matches('"').to_owned())
            .collect();
        lines.push(cells.join(","));
    }
    Ok(lines.join("\n") + "\n")
}

/// A labelled line of a plot.
pub(crate) struct PlotLine {
    pub(crate) label: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// Collects one line per policy from the results that `keep` accepts.
pub(crate) fn lines_by_policy(
    results: &[RunResult],
    keep: impl Fn(&RunResult) -> bool,
    point: impl Fn(&RunResult) -> (f64, f64),
) -> Vec<PlotLine> {
    let mut lines: Vec<PlotLine> = Vec::new();
    for result in results.iter().filter(|result| keep(result)) {
        let existing = lines.iter().position(|line| line.label == result.policy);
        let index = existing.unwrap_or_else(|| {
            lines.push(PlotLine {
                label: result.policy.to_owned(),
                points: Vec::new(),
            });
            lines.len() - 1
        });
        lines[index].points.push(point(result));
    }
    lines
}

/// Draws lines with a logarithmic y axis.
pub(crate) fn draw_plot(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[PlotLine],
) -> Result<(), ReportError> {
    try_draw(path, title, axes, lines).map_err(|error| ReportError::Draw {
        path: path.to_owned(),
        detail: error.to_string(),
    })
}

fn try_draw(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[PlotLine],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let min_x = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let max_x = points().map(|point| point.0).fold(f64::MIN, f64::max);
    let min_y = points().map(|point| point.1).fold(f64::INFINITY, f64::min);
    let max_y = points().map(|point| point.1).fold(f64::MIN, f64::max);
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(min_x..max_x, (min_y * 0.9..max_y * 1.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.clone(), color.stroke_width(2)))?
            .label(line.label.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
