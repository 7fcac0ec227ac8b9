//! Measures how joins, failures and partitions propagate, with members in one process.

use std::time::Duration;

use lovagelatch_capacity::{MemberRig, rig_text};
use lovagelatch_domain::ZoneName;
use lovagelatch_membership::TargetStanding;

use crate::fleet_costs::{format_seconds, settled_rig};
use crate::report::CapacityReport;

/// 40 balancers and 44 services of 10 targets in 12 zones: 480 members.
const FLEET: (u32, u32, u32, u32) = (40, 44, 10, 12);

const SERVICES: u32 = 44;

const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Agents that fail together when a rack is lost.
const RACK_MEMBERS: usize = 8;

/// How long the two halves of the zones are partitioned from each other.
const CUT_DURATION: Duration = Duration::from_secs(120);

pub(crate) fn measure(report: &mut CapacityReport) {
    report.start_table(
        "480 members in 12 zones: events",
        &[
            "event",
            "known to all concerned after",
            "sent and received in that time and 10 s after, B/s: p50",
            "max",
            "platform calls a second in that time",
        ],
    );
    for (name, event) in EVENTS {
        let mut rig = settled_rig(FLEET, 23);
        report.add_row(row(name, &mut rig, event));
    }
}

type EventScenario = fn(&mut MemberRig) -> Option<Duration>;

const EVENTS: [(&str, EventScenario); 7] = [
    ("nothing, for comparison", idle),
    ("one fresh member", join_member),
    ("an agent leaves: on all balancers", leave_agent),
    (
        "a rack of 8 agents lost: suspected on all balancers",
        fail_rack,
    ),
    ("a zone of 40 lost: suspected on all balancers", fail_zone),
    ("a zone of 40 starts anew at once: all ready", restart_zone),
    (
        "six zones cut off for 120 s with 40 changes: caught up",
        partition_region,
    ),
];

fn row(name: &str, rig: &mut MemberRig, event: EventScenario) -> Vec<String> {
    rig.reset_counts();
    let known = event(rig);
    rig.run(Duration::from_secs(10));
    let counted = rig.now.since(rig.counted_since);
    let calls = rig.platform.calls as f64 / counted.as_secs_f64();
    let rates = rig.rates();
    let both = &rates["both"];
    vec![
        name.to_owned(),
        known.map_or("not in 60 s".to_owned(), format_seconds),
        format!("{:.0}", both[both.len() / 2]),
        format!("{:.0}", both[both.len() - 1]),
        format!("{calls:.1}"),
    ]
}

fn idle(rig: &mut MemberRig) -> Option<Duration> {
    rig.run(Duration::from_secs(10));
    Some(Duration::ZERO)
}

fn join_member(rig: &mut MemberRig) -> Option<Duration> {
    let balancer = rig.platform.list.balancers[0].clone();
    let number = rig.add_member(balancer.control, balancer.zone, None);
    rig.run_until(EVENT_TIMEOUT, |rig| rig.nodes[number].member.is_ready())
}

fn leave_agent(rig: &mut MemberRig) -> Option<Duration> {
    let target = rig.platform.list.targets[17].clone();
    let number = rig.index_of(target.agent)?;
    let now = rig.now;
    rig.nodes[number].member.set_leaving(now);
    rig.run_until(EVENT_TIMEOUT, |rig| {
        all_balancers_satisfy(rig, |view| {
            let targets = view.targets(target.service.id());
            let mut targets = targets.iter().filter(|held| held.id == target.id);
            targets.all(|held| held.standing == TargetStanding::Leaving)
        })
    })
}

fn fail_rack(rig: &mut MemberRig) -> Option<Duration> {
    let targets: Vec<_> = rig
        .platform
        .list
        .targets
        .iter()
        .step_by(12)
        .take(RACK_MEMBERS)
        .cloned()
        .collect();
    for target in &targets {
        let number = rig.index_of(target.agent)?;
        rig.nodes[number].running = false;
    }
    rig.run_until(EVENT_TIMEOUT, |rig| {
        all_balancers_satisfy(rig, |view| {
            targets.iter().all(|lost| {
                let held = view.targets(lost.service.id()).iter();
                held.filter(|held| held.id == lost.id)
                    .all(|held| held.standing == TargetStanding::Suspected)
            })
        })
    })
}

fn fail_zone(rig: &mut MemberRig) -> Option<Duration> {
    let zone: ZoneName = "zone-5".parse().ok()?;
    for node in &mut rig.nodes {
        node.running = node.zone != zone;
    }
    let lost: Vec<_> = rig
        .platform
        .list
        .targets
        .iter()
        .filter(|target| target.zone == zone)
        .cloned()
        .collect();
    rig.run_until(EVENT_TIMEOUT, |rig| {
        all_balancers_satisfy(rig, |view| {
            lost.iter().all(|lost| {
                let held = view.targets(lost.service.id()).iter();
                held.filter(|held| held.id == lost.id)
                    .all(|held| held.standing == TargetStanding::Suspected)
            })
        })
    })
}

fn restart_zone(rig: &mut MemberRig) -> Option<Duration> {
    let zone: ZoneName = "zone-5".parse().ok()?;
    let members: Vec<_> = rig
        .nodes
        .iter()
        .filter(|node| node.zone == zone)
        .map(|node| {
            let settings = node.member.settings();
            (settings.control, settings.service)
        })
        .collect();
    for (own, service) in members {
        rig.add_member(own, zone.clone(), service);
    }
    rig.run_until(EVENT_TIMEOUT, |rig| {
        rig.nodes.iter().all(|node| node.member.is_ready())
    })
}

fn partition_region(rig: &mut MemberRig) -> Option<Duration> {
    let zones: Vec<ZoneName> = (0..12)
        .filter_map(|n| format!("zone-{n}").parse().ok())
        .collect();
    let (near, far) = zones.split_at(6);
    for a in near {
        for b in far {
            rig.cuts.push((a.clone(), b.clone()));
            rig.cuts.push((b.clone(), a.clone()));
        }
    }
    rig.platform_cuts = far.to_vec();
    let mut revision = 0;
    for change in 1..=40 {
        revision = rig.publish(rig_text(SERVICES, 4, change));
        rig.run(CUT_DURATION / 40);
    }
    rig.cuts.clear();
    rig.platform_cuts.clear();
    rig.reset_counts();
    rig.run_until(EVENT_TIMEOUT, |rig| {
        rig.members_at(revision) == rig.running()
    })
}

fn all_balancers_satisfy(
    rig: &MemberRig,
    condition: impl Fn(&lovagelatch_membership::FleetView) -> bool,
) -> bool {
    let balancers = rig
        .nodes
        .iter()
        .filter(|node| node.member.settings().service.is_none());
    balancers
        .filter(|node| node.running)
        .all(|node| condition(node.member.view()))
}
