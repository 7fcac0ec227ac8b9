//! Tests of the rate limit for log lines and its count of suppressed lines.

use std::time::{Duration, Instant};

use lovagelatch_telemetry::LineLimiter;

struct LimitCase {
    name: &'static str,
    limit_per_second: u32,
    /// Time of each line in milliseconds after the start.
    line_times_ms: Vec<u64>,
    written: usize,
    /// Reported by the written lines and one more line, 1 s after the last.
    suppressed: u64,
}

#[test]
fn lines_above_the_limit_are_suppressed_and_counted() {
    let cases = [
        LimitCase {
            name: "within the limit",
            limit_per_second: 3,
            line_times_ms: vec![0, 10, 20],
            written: 3,
            suppressed: 0,
        },
        LimitCase {
            name: "beyond the limit",
            limit_per_second: 3,
            line_times_ms: vec![0, 1, 2, 3, 4],
            written: 3,
            suppressed: 2,
        },
        LimitCase {
            name: "the limit resets each second",
            limit_per_second: 2,
            line_times_ms: vec![0, 1, 2, 1_000, 1_001, 1_002],
            written: 4,
            suppressed: 2,
        },
        LimitCase {
            name: "100,000 lines in one second",
            limit_per_second: 20,
            line_times_ms: (0..100_000).map(|number| number / 100).collect(),
            written: 20,
            suppressed: 99_980,
        },
        LimitCase {
            name: "limit of zero",
            limit_per_second: 0,
            line_times_ms: vec![0, 500, 2_000],
            written: 0,
            suppressed: 0,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut limiter = LineLimiter::new(case.limit_per_second);
        let mut reported = Vec::new();
        for at in &case.line_times_ms {
            reported.extend(limiter.admit(start + Duration::from_millis(*at)));
        }
        assert_eq!(reported.len(), case.written, "{}", case.name);
        let last = case.line_times_ms.last().copied().unwrap_or_default();
        reported.extend(limiter.admit(start + Duration::from_millis(last + 1_000)));
        assert_eq!(
            reported.iter().sum::<u64>(),
            case.suppressed,
            "{}",
            case.name
        );
    }
}
