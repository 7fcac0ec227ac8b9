//! The status page for phones: one HTML document without external assets, readable at a width of
//! 360 pixels.
//!
//! All external text is escaped before it enters the page, because a service text or an
//! instance's name may contain markup.

use std::fmt::{Display, Write};

use lovagelatch_membership::{FleetStatus, FleetView};
use lovagelatch_settings::{PlanRisk, ServiceText, TextPlan};

use crate::status::ProcessStatus;

const STYLE: &str = "body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;padding:12px;\
max-width:720px;color:#1a1a1a;background:#fff}h1{font-size:20px}h2{font-size:17px;margin-top:24px}\
table{border-collapse:collapse;width:100%}td,th{text-align:left;padding:4px 6px;\
border-bottom:1px solid #ddd;overflow-wrap:anywhere}textarea{width:100%;box-sizing:border-box;\
font:14px/1.4 monospace;min-height:220px}button{font-size:17px;padding:10px 18px;margin-top:8px}\
.bad{color:#a40000}.notice{color:#7a4b00}.good{color:#0a5c1f}li{margin:4px 0}\
@media(prefers-color-scheme:dark){body{color:#eee;background:#161616}td,th{border-color:#444}\
.bad{color:#ff8a80}.notice{color:#ffd180}.good{color:#a5d6a7}\
textarea{background:#222;color:#eee}}";

/// A service text from the form and the result of checking it.
pub(crate) struct CheckedText<'a> {
    source: &'a str,
    result: Result<TextPlan, Vec<String>>,
}

impl<'a> CheckedText<'a> {
    /// Parses `source` and compares it with the text in force.
    pub(crate) fn new(source: &'a str, in_force: &ServiceText) -> Self {
        let result = match ServiceText::parse(source) {
            Ok(text) => Ok(TextPlan::between(in_force, &text)),
            Err(faults) => Err(faults.0.iter().map(ToString::to_string).collect()),
        };
        Self { source, result }
    }
}

/// Renders the status page, with the result of a check if there is one.
pub(crate) fn render_page(
    status: &ProcessStatus,
    view: &FleetView,
    checked: Option<&CheckedText<'_>>,
) -> String {
    let mut page = String::with_capacity(8 * 1024);
    let name = escape(&status.name);
    let _ = write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\
         <title>lovagelatch {name}</title><style>{STYLE}</style><h1>lovagelatch: {name}</h1>"
    );
    write_state(&mut page, status);
    write_services(&mut page, status);
    if let Some(checked) = checked {
        write_check(&mut page, checked);
    }
    write_form(&mut page, view, checked);
    page
}

fn write_state(page: &mut String, status: &ProcessStatus) {
    let _ = write!(
        page,
        "<table><tr><td>State<td>{}<tr><td>Configuration in force here<td>revision {}\
         <tr><td>Instance list held<td>revision {}<tr><td>Zone<td>{}<tr><td>Up for<td>{} s",
        status.phase.as_str(),
        status.config_revision,
        status.list_revision.0,
        escape(&status.zone),
        status.uptime_ms / 1_000,
    );
    write_fleet(page, &status.fleet);
    page.push_str("</table>");
}

/// Writes the age of this instance's knowledge and the problems it sees in others.
fn write_fleet(page: &mut String, fleet: &FleetStatus) {
    match fleet.platform_age_seconds {
        Some(age) => {
            let _ = write!(page, "<tr><td>Platform last spoke<td>{age} s ago");
        }
        None => page.push_str("<tr><td>Platform last spoke<td class=\"bad\">never"),
    }
    if fleet.refused.0 > fleet.revision.0 {
        let refused = fleet.refused;
        let _ = write!(
            page,
            "<tr><td>Refused because of faults<td class=\"bad\">revision {refused}"
        );
    }
    write_names(page, "Lost zones", &fleet.lost_zones);
    write_names(page, "Suspected agents", &fleet.suspected);
    write_names(page, "Leaving agents", &fleet.leaving);
    for peer in &fleet.lagging {
        let (name, revision, seconds) = (peer.peer, peer.revision, peer.seconds);
        let _ = write!(
            page,
            "<tr><td>Lagging peer<td>{name} at revision {revision} for {seconds} s"
        );
    }
}

fn write_names<N: Display>(page: &mut String, title: &str, names: &[N]) {
    if names.is_empty() {
        return;
    }
    let names: Vec<String> = names.iter().map(|name| escape(&name.to_string())).collect();
    let _ = write!(
        page,
        "<tr><td>{title}<td class=\"notice\">{}",
        names.join(", ")
    );
}

fn write_services(page: &mut String, status: &ProcessStatus) {
    page.push_str("<h2>Services</h2><table><tr><th>Service<th>Live<th>Suspected<th>Leaving");
    for service in &status.services {
        let class = if service.live == 0 {
            " class=\"bad\""
        } else {
            ""
        };
        let _ = write!(
            page,
            "<tr><td>{}<td{class}>{}<td>{}<td>{}",
            escape(&service.name),
            service.live,
            service.suspected,
            service.leaving
        );
    }
    page.push_str("</table>");
}

fn write_check(page: &mut String, checked: &CheckedText<'_>) {
    page.push_str("<h2>What this text would do</h2>");
    match &checked.result {
        Err(faults) => write_faults(page, faults),
        Ok(plan) if plan.is_empty() => {
            page.push_str("<p class=\"good\">Nothing: it is equivalent to the text in force.</p>");
        }
        Ok(plan) => write_plan(page, plan),
    }
}

fn write_faults(page: &mut String, faults: &[String]) {
    page.push_str(
        "<p class=\"bad\">It would be refused, and the text in force would remain.</p><ul>",
    );
    for fault in faults {
        let _ = write!(page, "<li>{}", escape(fault));
    }
    page.push_str("</ul>");
}

fn write_plan(page: &mut String, plan: &TextPlan) {
    page.push_str("<ol>");
    for change in &plan.changes {
        let class = match change.risk() {
            PlanRisk::None => "good",
            PlanRisk::Notice => "notice",
            PlanRisk::High => "bad",
        };
        let text = escape(&change.to_string());
        let effect = escape(change.effect());
        let _ = write!(page, "<li><span class=\"{class}\">{text}</span>: {effect}");
    }
    page.push_str("</ol><p>To accept it, store this text at the platform; it is in force here once the revision above has increased.</p>");
}

fn write_form(page: &mut String, view: &FleetView, checked: Option<&CheckedText<'_>>) {
    let source = match checked {
        Some(checked) => checked.source.to_owned(),
        None => format_text(view.text()),
    };
    let _ = write!(
        page,
        "<h2>Check a text</h2><form method=\"post\" action=\"/\">\
         <textarea name=\"text\" autocapitalize=\"none\" autocorrect=\"off\" spellcheck=\"false\">\
         {}</textarea><button>Check</button></form>\
         <p>Checking changes nothing.</p></html>",
        escape(&source)
    );
}

/// Formats a parsed text as source again.
fn format_text(text: &ServiceText) -> String {
    let mut out = String::new();
    for entry in &text.services {
        let _ = writeln!(out, "[service {}]", entry.name);
        for address in &entry.addresses {
            let agency = address.agency.as_ref().map(|agency| format!(" {agency}"));
            let _ = writeln!(
                out,
                "address = {}{}",
                address.address,
                agency.unwrap_or_default()
            );
        }
        if !entry.depends.is_empty() {
            let names: Vec<&str> = entry.depends.iter().map(|name| name.as_str()).collect();
            let _ = writeln!(out, "depends = {}", names.join(", "));
        }
        for route in &entry.once {
            let _ = writeln!(out, "once = {} {}", route.method, route.path);
        }
        out.push('\n');
    }
    out
}

fn escape(text: &str) -> String {
    rocket::http::RawStr::new(text).html_escape().into_owned()
}
