//! Observable gauges: the gate's load and the ledger's size.

use std::sync::{Arc, Weak};

use lovagelatch_domain::GateReport;
use lovagelatch_telemetry::Meter;

use crate::agent::Agent;

/// Registers the gauges. Their callbacks hold weak references, because in tests the registry
/// outlives the agent.
pub(crate) fn register_gauges(agent: &Arc<Agent>, meter: &Meter) {
    register_gate_gauge(agent, meter, ("slots", "{request}"), |report| {
        u64::from(report.slots)
    });
    register_gate_gauge(agent, meter, ("in_use", "{request}"), |report| {
        u64::from(report.in_use)
    });
    register_gate_gauge(agent, meter, ("queued", "{request}"), |report| {
        u64::from(report.queued)
    });
    register_wait_gauge(agent, meter);
    register_ledger_gauge(agent, meter, "entries", "{entry}", |agent| agent.once.len());
    register_ledger_gauge(agent, meter, "size", "By", |agent| {
        agent.once.stored_bytes()
    });
}

fn register_gate_gauge(
    agent: &Arc<Agent>,
    meter: &Meter,
    (name, unit): (&str, &'static str),
    pick: fn(&GateReport) -> u64,
) {
    let agent: Weak<Agent> = Arc::downgrade(agent);
    meter
        .u64_observable_gauge(format!("lovagelatch.agent.gate.{name}"))
        .with_unit(unit)
        .with_callback(move |observer| {
            if let Some(agent) = agent.upgrade() {
                observer.observe(pick(&agent.gate.report()), &[]);
            }
        })
        .build();
}

fn register_wait_gauge(agent: &Arc<Agent>, meter: &Meter) {
    let agent: Weak<Agent> = Arc::downgrade(agent);
    meter
        .f64_observable_gauge("lovagelatch.agent.gate.expected_wait")
        .with_unit("s")
        .with_callback(move |observer| {
            if let Some(agent) = agent.upgrade() {
                let wait = agent.gate.report().expected_wait;
                observer.observe(wait.as_secs_f64(), &[]);
            }
        })
        .build();
}

fn register_ledger_gauge(
    agent: &Arc<Agent>,
    meter: &Meter,
    name: &str,
    unit: &'static str,
    pick: fn(&Agent) -> usize,
) {
    let agent: Weak<Agent> = Arc::downgrade(agent);
    meter
        .u64_observable_gauge(format!("lovagelatch.agent.ledger.{name}"))
        .with_unit(unit)
        .with_callback(move |observer| {
            if let Some(agent) = agent.upgrade() {
                let value = u64::try_from(pick(&agent)).unwrap_or(u64::MAX);
                observer.observe(value, &[]);
            }
        })
        .build();
}
