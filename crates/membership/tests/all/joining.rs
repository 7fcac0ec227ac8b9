//! A process that starts, and what it reads until it is ready.

use std::time::Duration;

use lovagelatch_capacity::{rig_address, rig_list, rig_text};
use lovagelatch_domain::{ConfigRevision, Incarnation, InstanceList, Moment};
use lovagelatch_membership::{
    FleetMember, MemberAction, MemberSettings, PlatformCall, PullPart, PullRequest,
};

/// Interval at which the member is advanced.
const STEP: Duration = Duration::from_millis(100);

fn new_member() -> FleetMember {
    let zone = "zone-0".parse().expect("a zone");
    let settings = MemberSettings::new(rig_address(9_000), zone, Incarnation(1));
    FleetMember::new(settings, 1, Moment::from_millis(1_000))
}

/// Advances a member for `time`, answers each read of the list with `list`, fails all other calls
/// and pulls, and returns the number of list reads.
fn count_list_reads(member: &mut FleetMember, list: &InstanceList, time: Duration) -> usize {
    let start = Moment::from_millis(1_000);
    let mut now = start;
    let mut reads = 0;
    while now.since(start) < time {
        now = now + STEP;
        member.advance(now);
        for action in member.take_actions() {
            match action {
                MemberAction::Platform(PlatformCall::ReadInstances) => {
                    reads += 1;
                    member.accept_instances(list, now);
                }
                MemberAction::Platform(call) => member.platform_failed(call, now),
                MemberAction::Pull { from, .. } => member.pull_failed(from, now),
                MemberAction::Send { .. } | MemberAction::Publish(_) | MemberAction::Notice(_) => {}
            }
        }
    }
    reads
}

struct ListReadCase {
    name: &'static str,
    list: InstanceList,
    /// Bounds of the number of reads in 30 s.
    reads: (usize, usize),
}

// Guards against a fleet whose starting processes use up the platform's reads while it has no
// configuration for them.
#[test]
fn a_starting_process_reads_a_list_once() {
    let empty = InstanceList {
        targets: Vec::new(),
        balancers: Vec::new(),
        ..rig_list(2, 2, 4, 2)
    };
    let cases = [
        ListReadCase {
            name: "a list in which others are elected as readers",
            list: rig_list(200, 2, 400, 4),
            reads: (1, 1),
        },
        ListReadCase {
            name: "an empty list, which names nobody to learn from",
            list: empty,
            reads: (10, 30),
        },
    ];
    for case in cases {
        let mut member = new_member();
        let reads = count_list_reads(&mut member, &case.list, Duration::from_secs(30));
        let (least, most) = case.reads;
        assert!(
            (least..=most).contains(&reads),
            "{}: {reads} reads",
            case.name
        );
        assert!(!member.is_ready(), "{}", case.name);
    }
}

struct PartialListCase {
    name: &'static str,
    change: fn(&mut Vec<PullPart>),
    ready: bool,
}

// Guards against a process that becomes ready with a part of the instance list.
#[test]
fn a_process_is_ready_only_with_a_whole_list() {
    let cases = [
        PartialListCase {
            name: "the whole list",
            change: |_| {},
            ready: true,
        },
        PartialListCase {
            name: "an answer without its end",
            change: |parts| {
                parts.pop();
            },
            ready: false,
        },
        PartialListCase {
            name: "an answer without the list",
            change: |parts| parts.retain(|part| !matches!(part, PullPart::List(_))),
            ready: false,
        },
        PartialListCase {
            name: "a list without one row",
            change: |parts| {
                for part in parts {
                    if let PullPart::List(delta) = part {
                        delta.table.changed.pop();
                    }
                }
            },
            ready: false,
        },
    ];
    let now = Moment::from_millis(1_000);
    let mut peer = FleetMember::new(
        MemberSettings::new(
            rig_address(1),
            "zone-0".parse().expect("a zone"),
            Incarnation(1),
        ),
        1,
        now,
    );
    peer.accept_config(ConfigRevision(1), &rig_text(2, 2, 0), now);
    peer.accept_instances(&rig_list(20, 2, 40, 4), now);
    let request = PullRequest {
        sender: rig_address(9_000),
        config: 0,
        list: 0,
        departures: true,
    };
    for case in cases {
        let mut member = new_member();
        let mut parts = peer.answer_pull(&request, now);
        (case.change)(&mut parts);
        member.accept_config(ConfigRevision(1), &rig_text(2, 2, 0), now);
        // Later than the time in which three peers should answer.
        let later = Moment::from_millis(4_000);
        member.accept_answer(rig_address(1), parts, later);
        assert_eq!(member.is_ready(), case.ready, "{}", case.name);
    }
}
