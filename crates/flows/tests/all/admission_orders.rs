//! Compares the orders in which an agent may deliver requests, by the value that callers receive.
//!
//! The agents know nothing of the targets but their slots; clients retry a rejected request twice.
//! The table of all runs is printed with `-- --nocapture`.

use std::thread;

use lovagelatch_flows::AdmissionOrder;

use crate::order_model::{ROUTES, RunOutcome, run_orders};

const ORDERS: [(&str, Option<AdmissionOrder>); 5] = [
    ("no class", None),
    ("arrival", Some(AdmissionOrder::Arrival)),
    ("priority", Some(AdmissionOrder::Priority)),
    (
        "earliest objective",
        Some(AdmissionOrder::EarliestObjective),
    ),
    ("newest first", Some(AdmissionOrder::PriorityNewestFirst)),
];

/// The order that agents use.
const CHOSEN: usize = 2;

/// The order of agents that know no class.
const UNORDERED: usize = 0;

/// The usual load as a part of the capacity of the targets.
const USUAL_LOAD: f64 = 0.55;

/// What the chosen order must achieve at a multiple of the usual load.
struct GoalCase {
    load: f64,
    /// The least part of their value that callers of the urgent route receive.
    urgent_value: f64,
    /// The same for the other route.
    other_value: f64,
    /// By how much the value of both may be less than without a class.
    total_loss: f64,
}

// Guards against requests that count double and fare no better than others under overload, against
// a less urgent route that gets nothing, and against a loss at the usual load.
#[test]
fn the_chosen_order_protects_urgent_requests() {
    let cases = [
        GoalCase {
            load: 1.0,
            urgent_value: 0.98,
            other_value: 0.98,
            total_loss: 0.01,
        },
        GoalCase {
            load: 1.5,
            urgent_value: 0.98,
            other_value: 0.95,
            total_loss: 0.01,
        },
        GoalCase {
            load: 2.4,
            urgent_value: 0.95,
            other_value: 0.5,
            total_loss: 0.0,
        },
        GoalCase {
            load: 3.0,
            urgent_value: 0.95,
            other_value: 0.3,
            total_loss: 0.0,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(|| check_goals(case));
        }
    });
}

fn check_goals(case: &GoalCase) {
    let load = case.load;
    let runs = ORDERS.map(|(name, order)| {
        let run = run_orders(order, load * USUAL_LOAD);
        println!("{load:.1} {name:20} {}", summary(&run));
        run
    });
    let (chosen, unordered) = (&runs[CHOSEN], &runs[UNORDERED]);
    let [urgent, other] = values(chosen);
    assert!(urgent >= case.urgent_value, "load {load}: {urgent:.3}");
    assert!(other >= case.other_value, "load {load}: {other:.3}");
    let loss = unordered.total_value() - chosen.total_value();
    assert!(loss <= case.total_loss, "load {load}: {loss:.3} less value");
    for run in &runs {
        // Nothing waits for longer than a quarter of its objective.
        assert!(
            run.longest_hold <= 0.25,
            "load {load}: {}",
            run.longest_hold
        );
    }
}

fn values(run: &RunOutcome) -> [f64; 2] {
    [0, 1].map(|route: usize| run.routes[route].value(&ROUTES[route]))
}

fn summary(run: &RunOutcome) -> String {
    let [urgent, other] = values(run);
    format!(
        "urgent {urgent:.3} other {other:.3} total {:.3} rejected {} longest hold {:.3}",
        run.total_value(),
        run.rejected,
        run.longest_hold
    )
}
