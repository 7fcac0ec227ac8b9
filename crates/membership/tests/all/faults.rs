//! Faults injected while configurations are published.

use std::time::Duration;

use lovagelatch_capacity::{MemberRig, PlatformState, rig_address, rig_text};
use lovagelatch_membership::FleetView;

use crate::spread::{SECOND, settled_fleet};

const INVALID: &str = "[service service-0]\naddress = nowhere\n";

const SERVICES: u32 = 2;

/// The injected fault.
#[derive(Clone, Copy, Debug)]
enum Fault {
    PlatformDown,
    PlatformStale,
    DroppedFrames,
    DuplicatedFrames,
    DelayedFrames,
    ZonePartitioned,
    ZonePartitionedOneWay,
    HalfWithoutPlatform,
    MemberPaused,
    MemberRestarts,
    ReadersStopped,
}

const FAULTS: [Fault; 11] = [
    Fault::PlatformDown,
    Fault::PlatformStale,
    Fault::DroppedFrames,
    Fault::DuplicatedFrames,
    Fault::DelayedFrames,
    Fault::ZonePartitioned,
    Fault::ZonePartitionedOneWay,
    Fault::HalfWithoutPlatform,
    Fault::MemberPaused,
    Fault::MemberRestarts,
    Fault::ReadersStopped,
];

/// What an operator does in one step.
#[derive(Clone, Copy, Debug)]
enum Step {
    Publish,
    PublishInvalid,
    PublishTwice,
    Nothing,
}

const STEPS: [Step; 5] = [
    Step::Publish,
    Step::PublishInvalid,
    Step::PublishTwice,
    Step::Nothing,
    Step::Publish,
];

const STEP_TIME: Duration = Duration::from_secs(3);

fn start_fault(rig: &mut MemberRig, fault: Fault) {
    let zone = |name: &str| name.parse().unwrap();
    match fault {
        Fault::PlatformDown => rig.set_platform(PlatformState::Down),
        Fault::PlatformStale => {
            rig.set_platform(PlatformState::Stale(1));
            // Some members read again, as after a pause, and get the old revision.
            let now = rig.now;
            for node in rig.nodes.iter_mut().step_by(3) {
                node.member.resync(now);
            }
        }
        Fault::DroppedFrames => rig.network.drop = 0.5,
        Fault::DuplicatedFrames => rig.network.duplicate = 0.9,
        Fault::DelayedFrames => rig.network.late = 0.7,
        Fault::ZonePartitioned | Fault::ZonePartitionedOneWay => {
            for other in ["zone-0", "zone-1", "zone-2"] {
                rig.cuts.push((zone("zone-3"), zone(other)));
                if matches!(fault, Fault::ZonePartitioned) {
                    rig.cuts.push((zone(other), zone("zone-3")));
                }
            }
            rig.platform_cuts.push(zone("zone-3"));
        }
        Fault::HalfWithoutPlatform => {
            rig.platform_cuts = vec![zone("zone-0"), zone("zone-1")];
            rig.complete_watches();
        }
        Fault::MemberPaused => rig.nodes[2].paused = true,
        Fault::MemberRestarts => {
            let zone = rig.nodes[2].zone.clone();
            rig.add_member(rig_address(2), zone, None);
        }
        Fault::ReadersStopped => {
            let now = rig.now;
            let readers = rig.nodes.iter_mut();
            for node in readers
                .filter(|node| node.member.status(now).reader)
                .take(6)
            {
                node.running = false;
            }
        }
    }
}

fn end_fault(rig: &mut MemberRig) {
    rig.set_platform(PlatformState::Up);
    rig.network = lovagelatch_capacity::RigNetwork::default();
    rig.cuts.clear();
    rig.platform_cuts.clear();
    for node in &mut rig.nodes {
        node.paused = false;
    }
}

fn take_step(rig: &mut MemberRig, step: Step) {
    let next = u32::try_from(rig.platform.texts.len()).unwrap();
    match step {
        Step::Publish => {
            rig.publish(rig_text(SERVICES, 4, next));
        }
        Step::PublishInvalid => {
            rig.publish(INVALID.to_owned());
        }
        Step::PublishTwice => {
            rig.publish(rig_text(SERVICES, 4, next));
            rig.publish(rig_text(SERVICES, 4, next + 1));
        }
        Step::Nothing => {}
    }
}

/// Checks that a view has the content published under its revision, and that this content is valid.
fn is_valid_view(view: &FleetView, texts: &[String]) -> bool {
    let number = usize::try_from(view.revision().0).unwrap();
    let Some(published) = number.checked_sub(1).and_then(|at| texts.get(at)) else {
        return number == 0;
    };
    let Ok(parsed) = lovagelatch_settings::ServiceText::parse(published) else {
        return false;
    };
    parsed.services.iter().all(|service| {
        let held = view.text().service(service.name.as_str());
        held.is_some_and(|held| held.once == service.once)
    })
}

/// Runs the rig and checks that no view reverts to a lower revision or holds an invalid content.
fn run_checked(rig: &mut MemberRig, time: Duration, held: &mut [u64], restarted: Option<usize>) {
    let steps = time.as_millis() / 200;
    for _ in 0..steps {
        rig.run(Duration::from_millis(200));
        for (number, node) in rig.nodes.iter().enumerate() {
            let view = node.member.view();
            let revision = view.revision().0;
            if revision == held[number] {
                continue;
            }
            let fresh = restarted == Some(number) && revision == 0;
            assert!(
                revision >= held[number] || fresh,
                "member {number} reverted"
            );
            assert!(is_valid_view(view, &rig.platform.texts), "member {number}");
            held[number] = revision;
        }
    }
}

// Guards against a balancer that reverts to an older configuration, applies an invalid one, or
// permanently stays behind after a fault, because some path accepts a lower revision or does not
// retry. An operator takes five steps; the fault starts before one of them and ends after it.
#[test]
fn every_fault_at_every_step_converges_without_reverting() {
    let mut failures = Vec::new();
    for fault in FAULTS {
        for faulty_step in 0..STEPS.len() {
            let mut rig = settled_fleet(4, SERVICES, 7);
            let mut held = vec![1; rig.nodes.len()];
            let mut restarted = None;
            for (number, step) in STEPS.into_iter().enumerate() {
                if number == faulty_step {
                    start_fault(&mut rig, fault);
                    restarted = matches!(fault, Fault::MemberRestarts).then_some(2);
                }
                take_step(&mut rig, step);
                run_checked(&mut rig, STEP_TIME, &mut held, restarted);
                if number == faulty_step {
                    end_fault(&mut rig);
                }
            }
            run_checked(&mut rig, 12 * SECOND, &mut held, restarted);
            let last = rig.platform.texts.len() as u64;
            if rig.members_at(last) != rig.running() {
                failures.push((fault, faulty_step, rig.members_at(last), rig.running()));
            }
        }
    }
    assert!(failures.is_empty(), "not converged: {failures:?}");
}

// Guards against a stopped process that accuses all its peers when it resumes, because it takes its
// own pause for their silence. One agent is stopped for 20 s while its peers continue.
#[test]
fn paused_member_accuses_nobody() {
    let mut rig = settled_fleet(4, SERVICES, 7);
    rig.nodes[6].paused = true;
    rig.run(20 * SECOND);
    rig.publish(rig_text(SERVICES, 4, 1));
    rig.run(3 * SECOND);
    rig.nodes[6].paused = false;
    rig.run(10 * SECOND);
    assert_eq!(rig.nodes[6].member.view().revision().0, 2);
    for node in &rig.nodes {
        let status = node.member.status(rig.now);
        let own = rig.nodes[6].member.settings().control;
        let others: Vec<_> = status
            .suspected
            .iter()
            .filter(|&&agent| agent != own)
            .collect();
        assert!(others.is_empty(), "{others:?}");
        assert!(status.lost_zones.is_empty());
    }
}

// Guards against one process replacing the content of a revision in the whole fleet: the digest is
// not compared, or a peer's content is preferred to the platform's. One member holds revision 1
// with a content that the platform never published.
#[test]
fn other_content_under_the_same_revision_does_not_spread() {
    let mut rig = settled_fleet(4, SERVICES, 7);
    rig.platform.state = PlatformState::Down;
    let odd = rig.add_member(rig_address(4_000), "zone-0".parse().unwrap(), None);
    let now = rig.now;
    let list = rig.platform.list.clone();
    let member = &mut rig.nodes[odd].member;
    member.accept_config(
        lovagelatch_domain::ConfigRevision(1),
        &rig_text(SERVICES, 4, 1),
        now,
    );
    member.accept_instances(&list, now);
    rig.run(10 * SECOND);
    let texts = rig.platform.texts.clone();
    let valid = rig
        .nodes
        .iter()
        .filter(|node| is_valid_view(node.member.view(), &texts));
    assert_eq!(valid.count(), rig.running() - 1);
}
