//! Load pattern: a zone is evacuated, or several, while new flows come at their usual rate.

use std::time::Duration;

use lovagelatch_catalog::{Catalog, EvacuatedZone, PublishedTarget};
use lovagelatch_domain::AgentAddress;
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

/// Flows that each case offers.
const FLOWS: u16 = 200;

/// A target in one of four zones: hall-a, hall-b, hall-c, hall-d.
fn zoned(number: u8) -> PublishedTarget {
    let zone = ["hall-d", "hall-a", "hall-b", "hall-c"][usize::from(number % 4)];
    PublishedTarget {
        zone: zone.parse().expect("a zone"),
        ..target(number, "claims")
    }
}

/// Targets beside agents 1 to `count`, with these zones evacuated by `revision`.
fn evacuated(count: u8, zones: &[&str], revision: u64) -> Catalog {
    let zones = zones
        .iter()
        .map(|zone| EvacuatedZone(zone.parse().expect("a zone")));
    Catalog {
        zones_revision: revision,
        evacuated: zones.collect::<Vec<_>>().into(),
        ..catalog((1..=count).map(zoned).collect())
    }
}

fn evacuated_view(count: u8, zones: &[&str], revision: u64) -> FlowView {
    view_of(evacuated(count, zones, revision))
}

fn zone_number(agent: AgentAddress) -> u8 {
    agent.0.ip().octets()[3] % 4
}

fn notice(revision: u64, evacuated: bool) -> ZoneNotice {
    ZoneNotice {
        revision,
        evacuated,
        age: Duration::from_millis(40),
    }
}

fn offer(revision: u64, rest: &[u8]) -> PacketFrame {
    PacketFrame {
        zones_revision: revision,
        ..frame(FramePurpose::Offer, rest)
    }
}

struct ZoneCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    /// The remainders of the agents' numbers that may get flows.
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
        name: "one that no target is in",
        evacuated: &["hall-x"],
        open: &[0, 1, 2, 3],
    },
];

// Symptom: targets of an evacuated zone get new flows until they are switched off. Sequence: the operator
// evacuates a zone; clients open flows, and some first offers stay unanswered. Cause: nothing read the
// operator's word. Every way to a target is gone through: the first choice, those who are tried next by
// agents, the offer that is made when nobody answers, and the client's own copy.
#[test]
fn no_way_leads_a_new_flow_to_an_evacuated_zone() {
    for case in CASES {
        let view = evacuated_view(28, case.evacuated, 7);
        let decisions = FlowBalancer::new(balancer());
        let check = |to: AgentAddress, frame: &PacketFrame| {
            let rest = frame.rest.iter().map(|next| next.agent);
            for agent in rest.chain([to]) {
                let zone = zone_number(agent);
                assert!(case.open.contains(&zone), "{}: {agent}", case.name);
            }
            assert_eq!(frame.zones_revision, 7);
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

// Symptom: clients wait for their deadlines. Sequence: every zone with targets is evacuated. Cause: their
// flows were held, or offered in vain. And a flow was refused although a target was left: only the sixteen
// that follow the flow's point were looked at.
#[test]
fn a_flow_is_refused_at_once_where_every_zone_is_evacuated_and_only_there() {
    let decisions = FlowBalancer::new(balancer());
    let all = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let view = evacuated_view(28, &all, 7);
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        assert_eq!(step, BalancerStep::Reset(RefusalReason::Evacuated));
    }
    // Forty targets, of which one is not in an evacuated zone.
    let mut few = evacuated(40, &all[..3], 8);
    let mut targets: Vec<_> = (1..=40).filter(|n| n % 4 != 0).map(zoned).collect();
    targets.push(zoned(4));
    few.targets = catalog(targets).targets;
    let view = view_of(few);
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(5_000));
        assert_eq!(sent(step).0, agent(4));
    }
}

// Symptom: a zone that has been evacuated for a minute gets flows for some milliseconds. Sequence: all
// processes are killed; a balancer that starts learns the routes and targets before the zones. Cause: it
// took "not told" for "none".
#[test]
fn nothing_is_placed_before_the_evacuated_zones_are_known() {
    let decisions = FlowBalancer::new(balancer());
    let untold = evacuated_view(4, &[], 0);
    let step = decisions.handle_packet(&opening(flow(1)), b"syn", &untold, at(0));
    assert_eq!(step, BalancerStep::Hold);
    let told = evacuated_view(4, &["hall-a"], 1);
    let step = decisions.handle_packet(&opening(flow(1)), b"syn", &told, at(10));
    assert_ne!(zone_number(sent(step).0), 1);
}

#[test]
fn open_flows_stay_in_an_evacuated_zone_and_it_takes_new_ones_when_it_is_back() {
    let mut builder = builder();
    let decisions = FlowBalancer::new(balancer());
    builder.take(&evacuated(4, &[], 1), at(0));
    let view = builder.build(at(0));
    let mut homes = Vec::new();
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        let (to, _) = sent(step);
        decisions.handle_flow_update(&flow_update(flow(port), to, FlowEvent::Answered), at(1));
        decisions.handle_flow_update(&flow_update(flow(port), to, FlowEvent::Opened), at(2));
        homes.push(to);
    }
    builder.take(&evacuated(4, &["hall-a", "hall-b"], 2), at(10));
    let view = builder.build(at(10));
    for (port, home) in (0..).zip(&homes) {
        let step = decisions.handle_packet(&data(flow(port)), b"data", &view, at(11));
        assert_eq!(sent(step).0, *home);
    }
    assert!(homes.iter().any(|home| zone_number(*home) == 1));
    // One comes back while another goes.
    builder.take(&evacuated(4, &["hall-c"], 3), at(20));
    let view = builder.build(at(20));
    let placed = (FLOWS..2 * FLOWS).map(|port| {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(3_000));
        zone_number(sent(step).0)
    });
    let placed: Vec<_> = placed.collect();
    assert!(placed.contains(&1) && placed.contains(&2) && !placed.contains(&3));
}

// Symptom: a target gets a flow in a zone that is evacuated. Sequence: a target answers a first packet; its
// zone is evacuated; its agent is started anew; the client's late copy comes and goes where the flow was
// offered. Cause: the balancer vouched for the zone with its newest revision. A reset would be wrong as
// well: the flow may be open.
#[test]
fn a_late_copy_vouches_for_no_zone() {
    let decisions = FlowBalancer::new(balancer());
    let view = evacuated_view(1, &[], 1);
    let (to, _) = sent(decisions.handle_packet(&opening(flow(1)), b"syn", &view, at(0)));
    decisions.handle_flow_update(&flow_update(flow(1), to, FlowEvent::Answered), at(1));
    let view = evacuated_view(1, &["hall-a"], 2);
    let (to, copy) = sent(decisions.handle_packet(&opening(flow(1)), b"syn", &view, at(200)));
    assert_eq!((to, copy.zones_revision), (agent(1), 0));

    let mut knows = informed_agent();
    delivered(
        knows
            .handle_frame(offer(1, &[]), &opening(flow(1)), at(0))
            .0,
    );
    knows.handle_target_packet(&answer(flow(1)), at(1));
    knows.handle_zone_notice(&notice(2, true), at(0));
    delivered(
        knows
            .handle_frame(copy.clone(), &opening(flow(1)), at(200))
            .0,
    );

    let mut restarted = restarted_agent();
    restarted.handle_zone_notice(&notice(2, true), at(0));
    let (step, note) = restarted.handle_frame(copy, &opening(flow(1)), at(200));
    assert_eq!(step, AgentStep::Drop(DropReason::ZoneEvacuated));
    assert_eq!(note, None);
}

/// What an agent hears, in order.
enum Heard {
    /// A balancer's word.
    Notice(u64, bool),
    /// An offer of a balancer that knows the zones up to this revision; whether the target is given it.
    Offer(u64, bool),
}

struct AgentCase {
    name: &'static str,
    heard: &'static [Heard],
}

const AGENT_CASES: [AgentCase; 6] = [
    AgentCase {
        name: "one that knows nothing goes by the offer",
        heard: &[Heard::Offer(5, true)],
    },
    AgentCase {
        name: "a balancer that has not heard",
        heard: &[Heard::Notice(6, true), Heard::Offer(5, false)],
    },
    AgentCase {
        name: "a balancer that has heard as much, and errs",
        heard: &[Heard::Notice(6, true), Heard::Offer(6, false)],
    },
    AgentCase {
        name: "the zone was taken back, and the offer says so first",
        heard: &[
            Heard::Notice(6, true),
            Heard::Offer(9, true),
            Heard::Notice(6, true),
            Heard::Offer(9, true),
        ],
    },
    AgentCase {
        name: "an old word of an evacuation that is over",
        heard: &[
            Heard::Notice(9, false),
            Heard::Notice(6, true),
            Heard::Offer(8, true),
        ],
    },
    AgentCase {
        name: "evacuated, taken back, evacuated",
        heard: &[
            Heard::Notice(6, true),
            Heard::Notice(8, false),
            Heard::Offer(8, true),
            Heard::Notice(9, true),
            Heard::Offer(8, false),
        ],
    },
];

// Symptom: a target of an evacuated zone gets flows from one balancer alone. Sequence: that balancer cannot
// reach the others, and has not heard of the evacuation; the agents have. Cause: the agent took every offer.
#[test]
fn the_agent_has_the_last_word_by_the_newest_revision() {
    for case in AGENT_CASES {
        let mut decisions = informed_agent();
        for (port, heard) in (1..).zip(case.heard) {
            match *heard {
                Heard::Notice(revision, evacuated) => {
                    decisions.handle_zone_notice(&notice(revision, evacuated), at(0));
                }
                Heard::Offer(revision, taken) => {
                    let offered = offer(revision, &[2]);
                    let (step, _) = decisions.handle_frame(offered, &opening(flow(port)), at(0));
                    if taken {
                        delivered(step);
                    } else {
                        assert_eq!(forwarded(step).0, 2, "{}", case.name);
                    }
                }
            }
        }
    }
    // Nobody is left: refused at once, and the balancer is told.
    let mut decisions = informed_agent();
    assert!(
        decisions
            .handle_zone_notice(&notice(6, true), at(0))
            .is_some()
    );
    let (step, note) = decisions.handle_frame(offer(5, &[]), &opening(flow(1)), at(0));
    assert_eq!(step, AgentStep::Reset);
    assert_eq!(note.expect("a word").1.event, FlowEvent::Refused);
}

#[test]
fn an_offer_that_is_passed_on_keeps_what_its_balancer_knew() {
    let mut decisions = informed_agent();
    decisions.handle_zone_notice(&notice(6, true), at(0));
    let (step, _) = decisions.handle_frame(offer(5, &[2]), &opening(flow(1)), at(0));
    let AgentStep::Forward { frame, .. } = step else {
        panic!("not passed on: {step:?}");
    };
    assert_eq!(frame.zones_revision, 5);
}

fn report(number: u8, revision: u64, evacuated: bool) -> LoadReport {
    LoadReport {
        zones_revision: revision,
        evacuated,
        ..idle_load(agent(number))
    }
}

// Symptom: an agent learns of an evacuation from nobody. Cause: agents read no catalog. A balancer tells
// those whose reports show that they lag, and nobody in calm.
#[test]
fn agents_that_lag_are_told_and_no_others() {
    let decisions = FlowBalancer::new(balancer());
    let view = evacuated_view(4, &["hall-a"], 7);
    let told = |number, revision| {
        let report = report(number, revision, false);
        let notice = decisions.zone_notice(&report, &view, at(50));
        notice.map(|notice| (notice.revision, notice.evacuated))
    };
    assert_eq!(told(1, 0), Some((7, true)));
    assert_eq!(told(2, 6), Some((7, false)));
    assert_eq!(told(1, 7), None);
    assert_eq!(told(1, 8), None);
    assert_eq!(told(9, 0), None, "an agent that no list names");
    let mut decisions = informed_agent();
    decisions.handle_zone_notice(&notice(7, true), at(0));
    let load = decisions.handle_probe(balancer(), at(0));
    assert_eq!((load.zones_revision, load.evacuated), (7, true));
}

// Symptom: a balancer that lags offers flows to agents that have told it better, and each costs a way more.
#[test]
fn a_balancer_goes_by_an_agents_later_word() {
    let decisions = FlowBalancer::new(balancer());
    let view = evacuated_view(2, &[], 5);
    decisions.record_load(&report(1, 6, true), at(0));
    for port in 0..FLOWS {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(0));
        let (to, frame) = sent(step);
        assert_eq!((to, frame.rest.len()), (agent(2), 0));
    }
    // The zone is back by a later word than the agent has heard.
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

/// Guards against new flows in an evacuated zone, where a balancer that cannot have heard of the evacuation meets an
/// agent that has just started and has heard nothing at all.
#[test]
fn a_fresh_agent_takes_no_offer_of_a_balancer_that_is_cut_off() {
    struct CutOffCase {
        name: &'static str,
        cut_off: bool,
        /// The agent's last word about its zone.
        told: Option<ZoneNotice>,
        /// Whether the target is given the flow.
        taken: bool,
    }
    let cases = [
        CutOffCase {
            name: "in touch",
            cut_off: false,
            told: None,
            taken: true,
        },
        CutOffCase {
            name: "cut off, and the agent has heard nothing",
            cut_off: true,
            told: None,
            taken: false,
        },
        CutOffCase {
            name: "cut off, and the agent knows that its zone takes flows",
            cut_off: true,
            told: Some(notice(4, false)),
            taken: true,
        },
        CutOffCase {
            name: "cut off, and the agent knows of the evacuation",
            cut_off: true,
            told: Some(notice(6, true)),
            taken: false,
        },
    ];
    for case in cases {
        let mut builder = builder();
        builder.set_cut_off(case.cut_off);
        builder.take(&evacuated(1, &[], 5), at(0));
        let view = builder.build(at(0));
        let decisions = FlowBalancer::new(balancer());
        let mut agent = restarted_agent();
        if let Some(notice) = &case.told {
            agent.handle_zone_notice(notice, at(0));
        }
        // What the balancer answers to the agent's first report.
        let report = agent.handle_probe(balancer(), at(1));
        if let Some(notice) = decisions.zone_notice(&report, &view, at(1)) {
            agent.handle_zone_notice(&notice, at(1));
        }
        let step = decisions.handle_packet(&opening(flow(1)), b"syn", &view, at(2));
        let (_, offer) = sent(step);
        let (step, _) = agent.handle_frame(offer, &opening(flow(1)), at(2));
        let taken = matches!(step, AgentStep::Deliver { .. });
        assert_eq!(taken, case.taken, "{}: {step:?}", case.name);
    }
}

/// Guards against an agent that learns of its zone's evacuation from nobody, because the one balancer that knows of it
/// is cut off.
#[test]
fn a_balancer_that_is_cut_off_tells_of_evacuations_alone() {
    let mut builder = builder();
    builder.set_cut_off(true);
    builder.take(&evacuated(4, &["hall-a"], 7), at(0));
    let view = builder.build(at(0));
    let decisions = FlowBalancer::new(balancer());
    let told = |number| {
        let report = report(number, 0, false);
        let notice = decisions.zone_notice(&report, &view, at(50));
        notice.map(|notice| (notice.revision, notice.evacuated))
    };
    assert_eq!(told(1), Some((7, true)));
    assert_eq!(told(2), None);
}
