//! `lovagelatch plan`: what changes for callers between two texts.

use std::path::Path;

use lovagelatch_settings::{PlanChange, PlanRisk, ServiceText, TextPlan};
use serde::Serialize;

use crate::check::read_source;
use crate::failure::CommandError;
use crate::output::{LineTone, Verdict, print_json, print_line};

#[derive(Serialize)]
struct PlanReport<'a> {
    risk: PlanRisk,
    changes: Vec<ChangeLine<'a>>,
}

#[derive(Serialize)]
struct ChangeLine<'a> {
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
) -> Result<Verdict, CommandError> {
    let plan = TextPlan::between(&read_text(old)?, &read_text(new)?);
    if json {
        print_json(&report_of(&plan))?;
    } else {
        print_plan(&plan);
    }
    let risky = plan.risk() == PlanRisk::High && !allow_high;
    Ok(if risky { Verdict::Bad } else { Verdict::Good })
}

fn read_text(path: &Path) -> Result<ServiceText, CommandError> {
    let source = read_source(path)?;
    ServiceText::parse(&source).map_err(|_| CommandError::BadText {
        path: path.to_owned(),
    })
}

fn report_of(plan: &TextPlan) -> PlanReport<'_> {
    let changes = plan.changes.iter().map(|change| ChangeLine {
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
        print_line(LineTone::Good, "nothing changes for callers");
        return;
    }
    for (index, change) in plan.changes.iter().enumerate() {
        let (tone, mark) = match change.risk() {
            PlanRisk::None => (LineTone::Good, ' '),
            PlanRisk::Notice => (LineTone::Notice, '~'),
            PlanRisk::High => (LineTone::Bad, '!'),
        };
        print_line(tone, &format!("{mark} {}. {change}", index + 1));
        print_line(LineTone::Plain, &format!("     {}", change.effect()));
    }
    if plan.risk() == PlanRisk::High {
        let line = "callers lose something (marked !); --allow-high accepts that";
        print_line(LineTone::Plain, line);
    }
}
