//! Relayed events while more of them arrive than a process relays.

use std::collections::BTreeMap;
use std::time::Duration;

use lovagelatch_capacity::{rig_address, rig_list, rig_text};
use lovagelatch_domain::{ConfigRevision, Incarnation, Moment, ServiceId};
use lovagelatch_membership::{
    ArrivalEvent, DepartureEvent, FleetMember, GossipHead, MemberAction, MemberEvent,
    MemberMessage, MemberSettings, TableHead, ZoneId,
};

/// Number of agents that announce themselves at once, as when a fleet is restarted.
const ARRIVALS: u32 = 2_000;

/// Rounds in which a departure must be relayed: with a fan-out of three, 12 sends.
const DEPARTURE_ROUNDS: usize = 4;

/// Time within which a departure must be known everywhere.
const DEPARTURE_KNOWN_WITHIN: Duration = Duration::from_secs(3);

fn settled_member(now: Moment) -> FleetMember {
    let zone = "zone-0".parse().expect("a zone");
    let settings = MemberSettings::new(rig_address(0), zone, Incarnation(1));
    let mut member = FleetMember::new(settings, 1, now);
    member.accept_config(ConfigRevision(1), &rig_text(2, 2, 0), now);
    member.accept_instances(&rig_list(20, 2, 40, 4), now);
    member
}

fn departure(number: u32) -> MemberEvent {
    MemberEvent::Departure(DepartureEvent {
        agent: rig_address(number),
        incarnation: Incarnation(1),
        refuted: false,
    })
}

fn arrival(number: u32) -> MemberEvent {
    MemberEvent::Arrival(ArrivalEvent {
        agent: rig_address(number),
        operations: rig_address(number).0,
        incarnation: Incarnation(1),
        service: ServiceId(1),
        zone: ZoneId::new(&"zone-0".parse().expect("a zone")),
        slots: 3,
    })
}

fn receive(member: &mut FleetMember, events: &[MemberEvent], now: Moment) {
    let head = GossipHead {
        sender: rig_address(1),
        config: TableHead::default(),
        list: TableHead::default(),
        platform_age: 0,
        events: events.iter().copied().collect(),
    };
    member.accept_message(MemberMessage::Head(head), now);
}

/// Counts the rounds in which the member relays each event during `time`. `each_step` is called
/// before each step.
fn relayed_rounds(
    member: &mut FleetMember,
    start: Moment,
    time: Duration,
    mut each_step: impl FnMut(&mut FleetMember, Moment),
) -> BTreeMap<String, usize> {
    let mut rounds = BTreeMap::new();
    let mut now = start;
    while now.since(start) < time {
        now = now + Duration::from_millis(20);
        each_step(member, now);
        member.advance(now);
        let mut events = Vec::new();
        for action in member.take_actions() {
            if let MemberAction::Send {
                message: MemberMessage::Head(head),
                ..
            } = action
            {
                events.extend(head.events.iter().map(|event| format!("{event:?}")));
            }
        }
        events.sort_unstable();
        events.dedup();
        for event in events {
            *rounds.entry(event).or_default() += 1;
        }
    }
    rounds
}

// Guards against departures that are never relayed because heads without events use up the budget.
#[test]
fn a_departure_is_relayed_while_a_fleet_restarts() {
    let start = Moment::from_millis(10_000);
    let departed_at = start + Duration::from_secs(2);
    let mut member = settled_member(start);
    let mut arrivals = (0..ARRIVALS).map(|number| arrival(10_000 + number));
    let mut pending = Some(departure(30));
    let time = Duration::from_secs(2) + DEPARTURE_KNOWN_WITHIN;
    let rounds = relayed_rounds(&mut member, start, time, |member, now| {
        let next: Vec<_> = arrivals.by_ref().take(30).collect();
        receive(member, &next, now);
        if now >= departed_at {
            receive(member, pending.take().as_slice(), now);
        }
    });
    assert!(rounds.contains_key(&format!("{:?}", departure(30))));
}

struct FullQueueCase {
    name: &'static str,
    /// Numbers of the agents whose departures the member relays.
    departures: std::ops::Range<u32>,
    /// Whether they arrive after the announcements rather than before.
    after: bool,
}

// Guards against departures that few processes learn of because announcements displace them.
#[test]
fn announcements_of_a_restarted_fleet_displace_no_departure() {
    let cases = [
        FullQueueCase {
            name: "one before",
            departures: 30..31,
            after: false,
        },
        FullQueueCase {
            name: "sixty before",
            departures: 30..90,
            after: false,
        },
        FullQueueCase {
            name: "sixty after",
            departures: 30..90,
            after: true,
        },
    ];
    for case in cases {
        let start = Moment::from_millis(10_000);
        let mut member = settled_member(start);
        let departures: Vec<_> = case.departures.clone().map(departure).collect();
        let mut arrivals = (0..ARRIVALS).map(|number| arrival(10_000 + number));
        if !case.after {
            receive(&mut member, &departures, start);
        }
        let mut pending = case.after.then_some(departures.clone());
        let rounds = relayed_rounds(
            &mut member,
            start,
            Duration::from_secs(20),
            |member, now| {
                let next: Vec<_> = arrivals.by_ref().take(30).collect();
                receive(member, &next, now);
                if now.since(start) >= Duration::from_millis(500)
                    && let Some(departures) = pending.take()
                {
                    receive(member, &departures, now);
                }
            },
        );
        for departure in departures {
            let name = format!("{departure:?}");
            let count = rounds.get(&name).copied().unwrap_or(0);
            assert_eq!(count, DEPARTURE_ROUNDS, "{}: {name}", case.name);
        }
    }
}
