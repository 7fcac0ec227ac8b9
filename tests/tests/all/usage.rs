//! Invalid command lines of the launcher.

use crate::launcher::LauncherRun;

struct UsageCase {
    arguments: &'static [&'static str],
    expected: &'static [&'static str],
}

#[test]
fn invalid_usage_fails_at_once_and_lists_valid_values() {
    let cases = [
        UsageCase {
            arguments: &["indus", "--fault", "earthquake@1"],
            expected: &["earthquake", "replace-balancers", "lost-packets"],
        },
        UsageCase {
            arguments: &["indus", "--fault", "kill-target"],
            expected: &["NAME@SECOND"],
        },
        UsageCase {
            arguments: &["lahore"],
            expected: &["lahore", "indus", "desai"],
        },
        UsageCase {
            arguments: &["indus", "--seconds", "0"],
            expected: &["from 1 to 3600"],
        },
    ];
    for case in cases {
        let mut run = LauncherRun::start(case.arguments);
        let end = run.finish();
        assert_eq!(end.status.code(), Some(2), "{end:#?}");
        for expected in case.expected {
            assert!(
                end.stderr.contains(expected),
                "{expected} is missing: {end:#?}"
            );
        }
    }
}
