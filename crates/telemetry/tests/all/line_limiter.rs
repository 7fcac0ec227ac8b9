//! Lines of one kind are bounded, and those left out are counted.

use std::time::{Duration, Instant};

use lovagelatch_telemetry::LineBudget;

struct BudgetCase {
    name: &'static str,
    limit: u32,
    /// Milliseconds after the start, one for each line.
    lines: Vec<u64>,
    written: usize,
    /// Told by the lines that were written, plus one more a second after the last.
    left_out: u64,
}

#[test]
fn a_budget_writes_its_lines_a_second_and_counts_the_rest() {
    let cases = [
        BudgetCase {
            name: "within the limit",
            limit: 3,
            lines: vec![0, 10, 20],
            written: 3,
            left_out: 0,
        },
        BudgetCase {
            name: "beyond the limit",
            limit: 3,
            lines: vec![0, 1, 2, 3, 4],
            written: 3,
            left_out: 2,
        },
        BudgetCase {
            name: "a new second has a new budget",
            limit: 2,
            lines: vec![0, 1, 2, 1_000, 1_001, 1_002],
            written: 4,
            left_out: 2,
        },
        BudgetCase {
            name: "a flood of 100,000 lines in a second",
            limit: 20,
            lines: (0..100_000).map(|number| number / 100).collect(),
            written: 20,
            left_out: 99_980,
        },
        BudgetCase {
            name: "no lines at all",
            limit: 0,
            lines: vec![0, 500, 2_000],
            written: 0,
            left_out: 0,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut budget = LineBudget::new(case.limit);
        let mut told = Vec::new();
        for at in &case.lines {
            told.extend(budget.spend(start + Duration::from_millis(*at)));
        }
        assert_eq!(told.len(), case.written, "{}", case.name);
        let last = case.lines.last().copied().unwrap_or_default();
        told.extend(budget.spend(start + Duration::from_millis(last + 1_000)));
        assert_eq!(told.iter().sum::<u64>(), case.left_out, "{}", case.name);
    }
}
