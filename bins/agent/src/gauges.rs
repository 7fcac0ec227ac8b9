//! Instruments that are read when somebody asks: the gate's load and the ledger's size.

use std::sync::{Arc, Weak};

use lovagelatch_domain::GateReport;
use lovagelatch_telemetry::Meter;

use crate::agent::Agent;

/// Makes the gauges. They hold the agent weakly: the registry outlives it in tests.
pub(crate) fn register_gauges(agent: &Arc<Agent>, meter: &Meter) {
    gate_gauge(agent, meter, ("slots", "{request}"), |report| {
        u64::from(report.slots)
    });
    gate_gauge(agent, meter, ("in_use", "{request}"), |report| {
        u64::from(report.in_use)
    });
    gate_gauge(agent, meter, ("queued", "{request}"), |report| {
        u64::from(report.queued)
    });
    wait_gauge(agent, meter);
    ledger_gauge(agent, meter, "entries", "{entry}", |agent| agent.once.len());
    ledger_gauge(agent, meter, "size", "By", |agent| {
        agent.once.stored_bytes()
    });
}

fn gate_gauge(
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

fn wait_gauge(agent: &Arc<Agent>, meter: &Meter) {
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

fn ledger_gauge(
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
