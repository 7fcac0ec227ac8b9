//! Evacuation of zones while new flows keep arriving.

use std::time::Duration;

use lovagelatch_catalog::{Catalog, EvacuatedZone, PublishedTarget};
use lovagelatch_domain::{AgentAddress, StoreEra, StorePosition};
use lovagelatch_flows::{
    AgentStep, BalancerStep, DropReason, FlowBalancer, FlowEvent, FlowView, FramePurpose,
    LoadReport, PacketFrame, RefusalReason, ZoneNotice,
};

use crate::agent::{answer, delivered, forwarded, frame, informed_agent, restarted_agent};
use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, builder, catalog, claims, data, flow, flow_update, idle_load, opening,
    target, view_of,
};

/// How many new flows arrive in each case.
const FLOWS: u16 = 200;

/// Returns a target in one of four zones: hall-a, hall-b, hall-c, hall-d.
fn target_in_zone(number: u8) -> PublishedTarget {
    let zone = ["hall-d", "hall-a", "hall-b", "hall-c"][usize::from(number % 4)];
    PublishedTarget {
        zone: zone.parse().expect("a zone"),
        ..target(number, "claims")
    }
}

/// Returns a catalog of targets beside agents 1 to `count`, with these zones evacuated at
/// `revision`.
fn evacuated(count: u8, zones: &[&str], revision: impl Into<StorePosition>) -> Catalog {
    let zones = zones
        .iter()
        .map(|zone| EvacuatedZone(zone.parse().expect("a zone")));
    Catalog {
        zones_revision: revision.into(),
        evacuated: zones.collect::<Vec<_>>().into(),
        ..catalog((1..=count).map(target_in_zone).collect())
    }
}

fn evacuated_view(count: u8, zones: &[&str], revision: impl Into<StorePosition>) -> FlowView {
    view_of(evacuated(count, zones, revision))
}

fn zone_number(agent: AgentAddress) -> u8 {
    agent.0.ip().octets()[3] % 4
}

fn notice(revision: impl Into<StorePosition>, evacuated: bool) -> ZoneNotice {
    ZoneNotice {
        revision: revision.into(),
        evacuated,
        age: Duration::from_millis(40),
    }
}

fn offer(revision: impl Into<StorePosition>, rest: &[u8]) -> PacketFrame {
    PacketFrame {
        zones_revision: revision.into(),
        ..frame(FramePurpose::Offer, rest)
    }
}

struct ZoneCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    /// The zone numbers that may get flows.
    open: &'static [u8],
}

const CASES: [ZoneCase; 4] = [
    ZoneCase {
        name: "none",
        evacuated: &[],
        open: &[0, 1, 2, 3],
    },
    ZoneCase {
        name: "one",
        evacuated: &["hall-a"],
        open: &[0, 2, 3],
    },
    ZoneCase {
        name: "all but one",
        evacuated: &["hall-a", "hall-b", "hall-d"],
        open: &[3],
    },
    ZoneCase {
        name: "a zone without targets",
        evacuated: &["hall-x"],
        open: &[0, 1, 2, 3],
    },
];

// Guards against targets of an evacuated zone that get new flows until they are shut down. Covers
// every way in which a flow reaches a target: the balancer's first choice, the agents that are
// tried next, the repeated offer after no answer, and the client's retransmission.
#[test]
fn new_flows_never_reach_an_evacuated_zone() {
    for case in CASES {
        let view = evacuated_view(28, case.evacuated, 7);
        let decisions = FlowBalancer::new(balancer());
        let check = |to: AgentAddress, frame: &PacketFrame| {
            let rest = frame.rest.iter().map(|next| next.agent);
            for agent in rest.chain([to]) {
                let zone = zone_number(agent);
                assert!(case.open.contains(&zone), "{}: {agent}", case.name);
            }
            assert_eq!(frame.zones_revision, 7.into());
        };
        let mut used = [0; 4];
        for port in 0..FLOWS {
            let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
            let (to, frame) = sent(step);
            check(to, &frame);
            used[usize::from(zone_number(to))] += 1;
        }
        for due in decisions.due_offers(&view, at(100)) {
            check(due.to, &due.frame);
        }
        for port in 0..FLOWS {
            let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(200));
            let (to, frame) = sent(step);
            check(to, &frame);
        }
        for &zone in case.open {
            assert!(used[usize::from(zone)] > 0, "{}: {used:?}", case.name);
        }
    }
}

// Guards against two faults. Clients run into their deadlines when every zone with targets is
// evacuated, because their flows are held or offered in vain. Flows are refused although a usable
// target is left, because only the sixteen targets that follow the flow's point are considered.
#[test]
fn a_flow_is_refused_only_if_every_zone_is_evacuated() {
    let decisions = FlowBalancer::new(balancer());
    let all = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let view = evacuated_view(28, &all, 7);
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        assert_eq!(step, BalancerStep::Reset(RefusalReason::Evacuated));
    }
    // Of these targets, only one is not in an evacuated zone.
    let mut few = evacuated(40, &all[..3], 8);
    let mut targets: Vec<_> = (1..=40)
        .filter(|n| n % 4 != 0)
        .map(target_in_zone)
        .collect();
    targets.push(target_in_zone(4));
    few.targets = catalog(targets).targets;
    let view = view_of(few);
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(5_000));
        assert_eq!(sent(step).0, agent(4));
    }
}

// Guards against an evacuated zone that gets flows for some milliseconds after all processes were
// killed: a balancer that starts learns the routes and targets before the zones, and must not treat
// unknown zones as zones that are not evacuated.
#[test]
fn nothing_is_placed_before_the_evacuated_zones_are_known() {
    let decisions = FlowBalancer::new(balancer());
    let unknown = evacuated_view(4, &[], 0);
    let step = decisions.handle_packet(&opening(flow(1)), b"syn", &unknown, at(0));
    assert_eq!(step, BalancerStep::Hold);
    let known = evacuated_view(4, &["hall-a"], 1);
    let step = decisions.handle_packet(&opening(flow(1)), b"syn", &known, at(10));
    assert_ne!(zone_number(sent(step).0), 1);
}

#[test]
fn an_evacuated_zone_keeps_open_flows_and_gets_new_ones_after_restoration() {
    let mut builder = builder();
    let decisions = FlowBalancer::new(balancer());
    builder.apply(&evacuated(4, &[], 1), at(0));
    let view = builder.build(at(0));
    let mut homes = Vec::new();
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        let (to, _) = sent(step);
        decisions.handle_flow_update(&flow_update(flow(port), to, FlowEvent::Answered), at(1));
        decisions.handle_flow_update(&flow_update(flow(port), to, FlowEvent::Opened), at(2));
        homes.push(to);
    }
    builder.apply(&evacuated(4, &["hall-a", "hall-b"], 2), at(10));
    let view = builder.build(at(10));
    for (port, home) in (0..).zip(&homes) {
        let step = decisions.handle_packet(&data(flow(port)), b"data", &view, at(11));
        assert_eq!(sent(step).0, *home);
    }
    assert!(homes.iter().any(|home| zone_number(*home) == 1));
    // Two zones are restored while another is evacuated.
    builder.apply(&evacuated(4, &["hall-c"], 3), at(20));
    let view = builder.build(at(20));
    let placed = (FLOWS..2 * FLOWS).map(|port| {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(3_000));
        zone_number(sent(step).0)
    });
    let placed: Vec<_> = placed.collect();
    assert!(placed.contains(&1) && placed.contains(&2) && !placed.contains(&3));
}

// Guards against a new flow in an evacuated zone: a target answers a first packet, its zone is
// evacuated, its agent restarts, and a late retransmission of the client is sent to where the flow
// was offered. The balancer must not send its newest zones revision with it. A reset would be wrong
// too, because the flow may be open.
#[test]
fn a_late_retransmission_carries_no_zones_revision() {
    let decisions = FlowBalancer::new(balancer());
    let view = evacuated_view(1, &[], 1);
    let (to, _) = sent(decisions.handle_packet(&opening(flow(1)), b"syn", &view, at(0)));
    decisions.handle_flow_update(&flow_update(flow(1), to, FlowEvent::Answered), at(1));
    let view = evacuated_view(1, &["hall-a"], 2);
    let (to, copy) = sent(decisions.handle_packet(&opening(flow(1)), b"syn", &view, at(200)));
    assert_eq!((to, copy.zones_revision), (agent(1), 0.into()));

    let mut informed = informed_agent();
    delivered(
        informed
            .handle_frame(offer(1, &[]), &opening(flow(1)), at(0))
            .0,
    );
    informed.handle_target_packet(&answer(flow(1)), at(1));
    informed.handle_zone_notice(&notice(2, true), at(0));
    delivered(
        informed
            .handle_frame(copy.clone(), &opening(flow(1)), at(200))
            .0,
    );

    let mut restarted = restarted_agent();
    restarted.handle_zone_notice(&notice(2, true), at(0));
    let (step, update) = restarted.handle_frame(copy, &opening(flow(1)), at(200));
    assert_eq!(step, AgentStep::Drop(DropReason::ZoneEvacuated));
    assert_eq!(update, None);
}

/// A message that an agent receives.
enum AgentInput {
    /// A zone notice with this revision, and whether the zone is evacuated.
    Notice(u64, bool),
    /// An offer from a balancer that knows the zones up to this revision, and whether the target
    /// gets it.
    Offer(u64, bool),
}

struct AgentCase {
    name: &'static str,
    inputs: &'static [AgentInput],
}

const AGENT_CASES: [AgentCase; 6] = [
    AgentCase {
        name: "an agent without a notice accepts the offer",
        inputs: &[AgentInput::Offer(5, true)],
    },
    AgentCase {
        name: "the balancer does not know of the evacuation",
        inputs: &[AgentInput::Notice(6, true), AgentInput::Offer(5, false)],
    },
    AgentCase {
        name: "the balancer knows the revision and offers in error",
        inputs: &[AgentInput::Notice(6, true), AgentInput::Offer(6, false)],
    },
    AgentCase {
        name: "the zone was restored, and the offer arrives first",
        inputs: &[
            AgentInput::Notice(6, true),
            AgentInput::Offer(9, true),
            AgentInput::Notice(6, true),
            AgentInput::Offer(9, true),
        ],
    },
    AgentCase {
        name: "a stale notice of an evacuation that is over",
        inputs: &[
            AgentInput::Notice(9, false),
            AgentInput::Notice(6, true),
            AgentInput::Offer(8, true),
        ],
    },
    AgentCase {
        name: "evacuated, restored, evacuated",
        inputs: &[
            AgentInput::Notice(6, true),
            AgentInput::Notice(8, false),
            AgentInput::Offer(8, true),
            AgentInput::Notice(9, true),
            AgentInput::Offer(8, false),
        ],
    },
];

// Guards against a target of an evacuated zone that gets flows from a single balancer: that
// balancer is isolated and does not know of the evacuation, but the agent does and must refuse the
// offers.
#[test]
fn an_agent_refuses_offers_by_the_newest_zones_revision() {
    for case in AGENT_CASES {
        let mut decisions = informed_agent();
        for (port, input) in (1..).zip(case.inputs) {
            match *input {
                AgentInput::Notice(revision, evacuated) => {
                    decisions.handle_zone_notice(&notice(revision, evacuated), at(0));
                }
                AgentInput::Offer(revision, accepted) => {
                    let offered = offer(revision, &[2]);
                    let (step, _) = decisions.handle_frame(offered, &opening(flow(port)), at(0));
                    if accepted {
                        delivered(step);
                    } else {
                        assert_eq!(forwarded(step).0, 2, "{}", case.name);
                    }
                }
            }
        }
    }
    // No target is left: the flow is refused at once, and the balancer is notified.
    let mut decisions = informed_agent();
    assert!(
        decisions
            .handle_zone_notice(&notice(6, true), at(0))
            .is_some()
    );
    let (step, update) = decisions.handle_frame(offer(5, &[]), &opening(flow(1)), at(0));
    assert_eq!(step, AgentStep::Reset);
    assert_eq!(update.expect("an update").1.event, FlowEvent::Refused);
}

// Guards against an agent that ignores the word that its zone is evacuated, or is not any more,
// because the store counts from a large number.
#[test]
fn an_agent_follows_notices_whatever_number_the_store_counts_from() {
    let counters = [
        (0, (1 << 40) - 1),
        (0, 1 << 53),
        (0, u64::MAX - 2),
        ((1 << 24) - 1, 9),
        (u64::MAX, 1 << 40),
    ];
    for (era, first) in counters {
        let position = |after| StorePosition::new(StoreEra(era), first + after);
        let mut decisions = informed_agent();
        for (after, evacuated) in [(0, true), (1, false), (0, true)] {
            decisions.handle_zone_notice(&notice(position(after), evacuated), at(0));
        }
        let offered = offer(position(1), &[2]);
        let (step, _) = decisions.handle_frame(offered, &opening(flow(1)), at(0));
        delivered(step);
        decisions.handle_zone_notice(&notice(position(2), true), at(0));
        let offered = offer(position(1), &[2]);
        let (step, _) = decisions.handle_frame(offered, &opening(flow(2)), at(0));
        assert_eq!(forwarded(step).0, 2, "{era}, {first}");
    }
}

#[test]
fn a_forwarded_offer_keeps_its_zones_revision() {
    let mut decisions = informed_agent();
    decisions.handle_zone_notice(&notice(6, true), at(0));
    let (step, _) = decisions.handle_frame(offer(5, &[2]), &opening(flow(1)), at(0));
    let AgentStep::Forward { frame, .. } = step else {
        panic!("not forwarded: {step:?}");
    };
    assert_eq!(frame.zones_revision, 5.into());
}

fn report(number: u8, revision: u64, evacuated: bool) -> LoadReport {
    LoadReport {
        zones_revision: revision.into(),
        evacuated,
        ..idle_load(agent(number))
    }
}

// Guards against agents that never learn of an evacuation, because they read no catalog: a balancer
// notifies those agents whose load reports show an older revision, and no others.
#[test]
fn only_agents_with_an_older_zones_revision_are_notified() {
    let decisions = FlowBalancer::new(balancer());
    let view = evacuated_view(4, &["hall-a"], 7);
    let notice_for = |number, revision| {
        let report = report(number, revision, false);
        let notice = decisions.zone_notice(&report, &view, at(50));
        notice.map(|notice| (notice.revision, notice.evacuated))
    };
    assert_eq!(notice_for(1, 0), Some((7.into(), true)));
    assert_eq!(notice_for(2, 6), Some((7.into(), false)));
    assert_eq!(notice_for(1, 7), None);
    assert_eq!(notice_for(1, 8), None);
    assert_eq!(
        notice_for(9, 0),
        None,
        "an agent that is not in the catalog"
    );
    let mut decisions = informed_agent();
    decisions.handle_zone_notice(&notice(7, true), at(0));
    let load = decisions.handle_probe(balancer(), at(0));
    assert_eq!((load.zones_revision, load.evacuated), (7.into(), true));
}

// Guards against a balancer with an older revision that offers flows to agents that have reported
// their zone as evacuated. Each such offer costs an extra hop.
#[test]
fn a_balancer_follows_a_newer_zones_revision_of_an_agent() {
    let decisions = FlowBalancer::new(balancer());
    let view = evacuated_view(2, &[], 5);
    decisions.record_load(&report(1, 6, true), at(0));
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        let (to, frame) = sent(step);
        assert_eq!((to, frame.rest.len()), (agent(2), 0));
    }
    // The zone was restored at a later revision than the agent knows.
    let view = evacuated_view(2, &[], 8);
    let back = (FLOWS..2 * FLOWS).any(|port| {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        sent(step).0 == agent(1)
    });
    assert!(back);
    assert_eq!(
        view.service(claims()).map(|ring| ring.targets().len()),
        Some(2)
    );
}

// Guards against new flows in an evacuated zone when an isolated balancer, which may not know of
// the evacuation, makes offers to an agent that has just started and knows nothing about the zones.
#[test]
fn a_restarted_agent_refuses_offers_of_an_isolated_balancer() {
    struct CutOffCase {
        name: &'static str,
        cut_off: bool,
        /// The last notice that the agent received.
        notice: Option<ZoneNotice>,
        /// Whether the target gets the flow.
        accepted: bool,
    }
    let cases = [
        CutOffCase {
            name: "connected",
            cut_off: false,
            notice: None,
            accepted: true,
        },
        CutOffCase {
            name: "isolated, and the agent has no notice",
            cut_off: true,
            notice: None,
            accepted: false,
        },
        CutOffCase {
            name: "isolated, and the agent knows that its zone accepts flows",
            cut_off: true,
            notice: Some(notice(4, false)),
            accepted: true,
        },
        CutOffCase {
            name: "isolated, and the agent knows of the evacuation",
            cut_off: true,
            notice: Some(notice(6, true)),
            accepted: false,
        },
    ];
    for case in cases {
        let mut builder = builder();
        builder.set_cut_off(case.cut_off);
        builder.apply(&evacuated(1, &[], 5), at(0));
        let view = builder.build(at(0));
        let decisions = FlowBalancer::new(balancer());
        let mut agent = restarted_agent();
        if let Some(notice) = &case.notice {
            agent.handle_zone_notice(notice, at(0));
        }
        // The balancer's reply to the agent's first load report.
        let report = agent.handle_probe(balancer(), at(1));
        if let Some(notice) = decisions.zone_notice(&report, &view, at(1)) {
            agent.handle_zone_notice(&notice, at(1));
        }
        let step = decisions.handle_packet(&opening(flow(1)), b"syn", &view, at(2));
        let (_, offer) = sent(step);
        let (step, _) = agent.handle_frame(offer, &opening(flow(1)), at(2));
        let accepted = matches!(step, AgentStep::Deliver { .. });
        assert_eq!(accepted, case.accepted, "{}: {step:?}", case.name);
    }
}

// Guards against an agent that never learns of its zone's evacuation, because the only balancer
// that knows of it is isolated.
#[test]
fn an_isolated_balancer_sends_notices_of_evacuated_zones_only() {
    let mut builder = builder();
    builder.set_cut_off(true);
    builder.apply(&evacuated(4, &["hall-a"], 7), at(0));
    let view = builder.build(at(0));
    let decisions = FlowBalancer::new(balancer());
    let notice_for = |number| {
        let report = report(number, 0, false);
        let notice = decisions.zone_notice(&report, &view, at(50));
        notice.map(|notice| (notice.revision, notice.evacuated))
    };
    assert_eq!(notice_for(1), Some((7.into(), true)));
    assert_eq!(notice_for(2), None);
}

struct RestoredZoneCase {
    name: &'static str,
    /// Zones evacuated in the era before.
    before: &'static [&'static str],
    /// What the store lists after its return, with the time in milliseconds after it.
    after: &'static [(u64, &'static [&'static str])],
    /// Whether hall-b is evacuated, by time in milliseconds after the return.
    expected: &'static [(u64, bool)],
}

// Guards against new flows in an evacuated zone: the store comes back from a copy that was made
// before the order, and the operator writes it again a moment later.
#[test]
fn an_evacuation_outlives_the_return_of_the_store_from_a_copy() {
    let cases = [
        RestoredZoneCase {
            name: "the order is written again",
            before: &["hall-b"],
            after: &[(0, &[]), (1_200, &["hall-b"])],
            expected: &[(0, true), (1_000, true), (1_300, true), (9_000, true)],
        },
        RestoredZoneCase {
            name: "the order is not written again",
            before: &["hall-b"],
            after: &[(0, &[])],
            expected: &[(0, true), (1_900, true), (2_000, false), (9_000, false)],
        },
        RestoredZoneCase {
            name: "it is written again and taken back",
            before: &["hall-b"],
            after: &[(0, &[]), (300, &["hall-b"]), (600, &[])],
            expected: &[(0, true), (400, true), (600, false)],
        },
        RestoredZoneCase {
            name: "the copy has the order that was taken back",
            before: &[],
            after: &[(0, &["hall-b"]), (900, &[])],
            expected: &[(0, true), (900, false)],
        },
        RestoredZoneCase {
            name: "another zone is evacuated meanwhile",
            before: &["hall-c"],
            after: &[(0, &[]), (500, &["hall-b"])],
            expected: &[(0, false), (2_000, true), (9_000, true)],
        },
    ];
    let position = |era, revision| {
        let era = StoreEra(era);
        StorePosition { era, revision }
    };
    for case in cases {
        let mut builder = builder();
        builder.apply(&evacuated(4, case.before, position(1, 50)), at(0));
        let back = 10_000;
        let mut writes = (40..).zip(case.after).peekable();
        for &(time, expected) in case.expected {
            while let Some((revision, (written, zones))) =
                writes.next_if(|(_, (written, _))| *written <= time)
            {
                let catalog = evacuated(4, zones, position(2, revision));
                builder.apply(&catalog, at(back + written));
            }
            let now = at(back + time);
            let view = builder.build(now);
            let zones = &view.zones;
            let target = view.service(claims()).expect("a ring").targets();
            let target = target.iter().find(|target| target.agent == agent(2));
            let held = zones.is_evacuated(target.expect("a target in hall-b").zone);
            assert_eq!(held, expected, "{}, {time} ms", case.name);
            let due = builder.next_change(now);
            assert!(due.is_none_or(|due| due > now), "{}: {due:?}", case.name);
        }
    }
}
