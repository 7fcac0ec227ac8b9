//! Measures configuration propagation and gossip traffic as a function of the number of members.

use std::time::Duration;

use lovagelatch_capacity::{MemberRig, rig_address, rig_list, rig_text};
use lovagelatch_domain::TargetId;

use crate::report::{CapacityReport, format_micros, timed};

/// Balancers, services, targets per service, zones.
const FLEETS: [(u32, u32, u32, u32); 8] = [
    (10, 4, 10, 4),
    (20, 8, 10, 4),
    (40, 16, 10, 4),
    (40, 36, 10, 4),
    (100, 70, 10, 4),
    (100, 70, 10, 12),
    (200, 140, 10, 12),
    (400, 280, 10, 12),
];

/// Configuration changes per fleet, one every 3 s: 29,000 per day are one every 2.98 s.
const CHANGES: u32 = 20;

const CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Instances replaced in each interval, in turn: 5 in 9 s are 48,000 per day.
const REPLACEMENTS: [u32; 3] = [2, 2, 1];

/// Replacements that stay listed: each is removed after this many more, which takes 18 s.
const MAX_LISTED_REPLACEMENTS: u32 = 10;

/// Id of the first replacement, above all ids of the initial list.
const FIRST_REPLACEMENT: u32 = 1_000_000;

pub(crate) fn measure(report: &mut CapacityReport) {
    report.start_table(
        "Members in one process, 29,000 configuration changes and 48,000 replacements a day",
        &[
            "members",
            "zones",
            "readers",
            "in force on all: median",
            "slowest",
            "calls a second",
            "sent B/s: p50",
            "p99",
            "max",
            "sent and received B/s: p50",
            "p99",
            "max",
            "processor time a member and second",
        ],
    );
    for fleet in FLEETS {
        report.add_row(measure_fleet(fleet));
    }
}

pub(crate) fn settled_rig(fleet: (u32, u32, u32, u32), seed: u64) -> MemberRig {
    let (balancers, services, targets, zones) = fleet;
    let list = rig_list(balancers, services, targets, zones);
    let mut rig = MemberRig::new(list, rig_text(services, 4, 0), seed);
    rig.run(Duration::from_secs(70));
    rig
}

fn measure_fleet(fleet: (u32, u32, u32, u32)) -> Vec<String> {
    let (_, services, _, zones) = fleet;
    let mut rig = settled_rig(fleet, 11);
    rig.reset_counts();
    let members = rig.running();
    let start = rig.now;
    let mut propagations = Vec::new();
    let ((), time) = timed(|| {
        let mut replacement = FIRST_REPLACEMENT;
        for (change, count) in (1..=CHANGES).zip(REPLACEMENTS.into_iter().cycle()) {
            for _ in 0..count {
                replace_target(&mut rig, replacement);
                replacement += 1;
            }
            rig.platform.list.revision.0 += 1;
            let revision = rig.publish(rig_text(services, 4, change));
            let limit = Duration::from_secs(30);
            let propagation = rig.run_until(limit, |rig| rig.members_at(revision) == members);
            let propagation = propagation.unwrap_or(limit);
            propagations.push(propagation);
            rig.run(CHANGE_INTERVAL.saturating_sub(propagation));
        }
    });
    let elapsed = rig.now.since(start);
    propagations.sort();
    let rates = rig.rates();
    let share = time.div_f64(members as f64 * elapsed.as_secs_f64());
    let mut cells = vec![
        members.to_string(),
        zones.to_string(),
        rig.readers().to_string(),
        format_seconds(propagations[propagations.len() / 2]),
        format_seconds(propagations[propagations.len() - 1]),
        format!("{:.1}", rig.platform.calls as f64 / elapsed.as_secs_f64()),
    ];
    for kind in ["sent", "both"] {
        let rates = &rates[kind];
        for at in [rates.len() / 2, rates.len() * 99 / 100, rates.len() - 1] {
            cells.push(format!("{:.0}", rates[at]));
        }
    }
    cells.push(format_micros(share));
    cells
}

/// Lists one more target and removes the one listed [`MAX_LISTED_REPLACEMENTS`] replacements ago.
/// Neither runs as a member, so only the cost of the list is measured.
fn replace_target(rig: &mut MemberRig, number: u32) {
    let targets = &mut rig.platform.list.targets;
    targets.retain(|target| target.id.0 + MAX_LISTED_REPLACEMENTS != number);
    let template = usize::try_from(number).unwrap_or(0) * 7 % targets.len();
    let mut record = targets[template].clone();
    record.id = TargetId(number);
    record.agent = rig_address(number);
    targets.push(record);
}

pub(crate) fn format_seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}
