//! `lovagelatch plan`: what changes for callers between two service texts.

use std::path::Path;

use lovagelatch_settings::{PlanChange, PlanRisk, ServiceText, TextPlan};
use serde::Serialize;

use crate::check::read_source;
use crate::failure::CommandError;
use crate::output::{CommandOutcome, LineStyle, print_json, print_line};

#[derive(Serialize)]
struct PlanReport<'a> {
    risk: PlanRisk,
    changes: Vec<ChangeEntry<'a>>,
}

#[derive(Serialize)]
struct ChangeEntry<'a> {
    #[serde(flatten)]
    change: &'a PlanChange,
    risk: PlanRisk,
    summary: String,
    effect: &'static str,
}

pub(crate) fn run(
    old: &Path,
    new: &Path,
    json: bool,
    allow_high: bool,
) -> Result<CommandOutcome, CommandError> {
    let plan = TextPlan::between(&read_text(old)?, &read_text(new)?);
    if json {
        print_json(&plan_report(&plan))?;
    } else {
        print_plan(&plan);
    }
    let risky = plan.risk() == PlanRisk::High && !allow_high;
    Ok(if risky {
        CommandOutcome::Failed
    } else {
        CommandOutcome::Passed
    })
}

fn read_text(path: &Path) -> Result<ServiceText, CommandError> {
    let source = read_source(path)?;
    ServiceText::parse(&source).map_err(|_| CommandError::InvalidText {
        path: path.to_owned(),
    })
}

fn plan_report(plan: &TextPlan) -> PlanReport<'_> {
    let changes = plan.changes.iter().map(|change| ChangeEntry {
        change,
        risk: change.risk(),
        summary: change.to_string(),
        effect: change.effect(),
    });
    PlanReport {
        risk: plan.risk(),
        changes: changes.collect(),
    }
}

fn print_plan(plan: &TextPlan) {
    if plan.is_empty() {
        print_line(LineStyle::Success, "nothing changes for callers");
        return;
    }
    for (index, change) in plan.changes.iter().enumerate() {
        let (style, mark) = match change.risk() {
            PlanRisk::None => (LineStyle::Success, ' '),
            PlanRisk::Notice => (LineStyle::Warning, '~'),
            PlanRisk::High => (LineStyle::Error, '!'),
        };
        print_line(style, &format!("{mark} {}. {change}", index + 1));
        print_line(LineStyle::Plain, &format!("     {}", change.effect()));
    }
    if plan.risk() == PlanRisk::High {
        let line = "callers lose something (marked !); --allow-high accepts that";
        print_line(LineStyle::Plain, line);
    }
}
