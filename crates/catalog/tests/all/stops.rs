//! Load pattern: agents are restarted as planned, and tell only the balancers that sent to them lately.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use lovagelatch_catalog::{
    AgentStop, CatalogAction, CatalogMember, CatalogMessage, MemberSettings, RESTART_SPAN,
};
use lovagelatch_domain::{AgentAddress, Moment};
use smallvec::smallvec;

use crate::support::{Group, address};

/// After this much silence of an agent that said nothing open flows are reset.
const SILENCE_SPAN: Duration = Duration::from_secs(1);

fn agent(number: u8) -> AgentAddress {
    AgentAddress(SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7_720))
}

fn stop(number: u8, age: Duration) -> AgentStop {
    AgentStop {
        agent: agent(number),
        age,
    }
}

fn tell(group: &mut Group, balancer: u8, stops: &[AgentStop]) {
    let now = group.now;
    group.node(balancer).member.note_stops(stops, now);
}

fn fresh_member(number: u8, now: Moment) -> CatalogMember {
    let settings = MemberSettings {
        own: address(number),
        seeds: smallvec![address(1)],
    };
    CatalogMember::new(settings, number.into(), now)
}

fn sent_to(actions: &[CatalogAction], number: u8) -> Vec<CatalogMessage> {
    let messages = actions.iter().filter_map(|action| match action {
        CatalogAction::Send { to, message } if *to == address(number) => Some(message.clone()),
        _ => None,
    });
    messages.collect()
}

/// How many balancers other balancers have told of an agent's stop.
fn told_count(group: &Group, number: u8) -> usize {
    let told = group.nodes.values();
    told.filter(|node| node.stops.iter().any(|stop| stop.agent == agent(number)))
        .count()
}

struct SpreadCase {
    balancers: u8,
    /// Those whom the agent tells itself.
    told: &'static [u8],
    /// How many agents stop at once.
    agents: u8,
}

/// Guards against balancers that take a planned restart, which only others were told of, for a lasting silence.
#[test]
fn a_stop_is_known_to_all_balancers_before_its_silence_counts() {
    let cases = [
        SpreadCase {
            balancers: 2,
            told: &[1],
            agents: 1,
        },
        SpreadCase {
            balancers: 13,
            told: &[4],
            agents: 40,
        },
        SpreadCase {
            balancers: 60,
            told: &[3, 9, 27],
            agents: 1,
        },
    ];
    for case in cases {
        let mut group = Group::settled(case.balancers, Duration::from_secs(8));
        let stops: Vec<_> = (1..=case.agents)
            .map(|number| stop(number, Duration::ZERO))
            .collect();
        for &balancer in case.told {
            tell(&mut group, balancer, &stops);
        }
        group.run(SILENCE_SPAN);
        let others = usize::from(case.balancers) - case.told.len();
        for number in 1..=case.agents {
            let known = told_count(&group, number);
            assert_eq!(known, others, "{} balancers", case.balancers);
        }
    }
}

/// Guards against a balancer that starts during a restart and was told nothing of it.
#[test]
fn a_balancer_that_starts_during_a_restart_is_told_of_it() {
    let mut group = Group::settled(4, Duration::from_secs(3));
    tell(&mut group, 2, &[stop(1, Duration::ZERO)]);
    group.run(Duration::from_secs(2));
    group.add(5);
    group.run(Duration::from_millis(300));
    let told = group.node(5).stops.clone();
    assert_eq!(told.len(), 1, "{told:?}");
    assert!(told[0].age >= Duration::from_secs(2), "{told:?}");
}

/// Guards against a fresh balancer that takes itself to know of every stop because nobody told it of one.
#[test]
fn a_balancer_knows_of_every_stop_since_its_own_start_or_that_of_one_that_told_it() {
    struct CoverCase {
        name: &'static str,
        /// How long the others have run when it starts.
        others_ran: Duration,
        /// Whether it knows of the stops before its start.
        expected: bool,
    }
    let cases = [
        CoverCase {
            name: "all start together",
            others_ran: Duration::ZERO,
            expected: false,
        },
        CoverCase {
            name: "the others have run for longer than a restart takes",
            others_ran: RESTART_SPAN * 2,
            expected: true,
        },
    ];
    for case in cases {
        let mut group = Group::new(4);
        group.run(case.others_ran);
        group.add(5);
        let start = group.now;
        group.run(Duration::from_millis(400));
        let since = group.node(5).member.stops_since();
        assert_eq!(since < start, case.expected, "{}", case.name);
    }
}

/// Guards against a fresh balancer that takes a part of what another one knows for all of it.
#[test]
fn what_is_passed_on_covers_no_stop_that_it_does_not_name() {
    struct PartCase {
        name: &'static str,
        /// How many agents stop, one each 10 ms.
        agents: u8,
        /// Whether the word is the answer to a balancer that has just started.
        greeted: bool,
        /// Whether it covers the stops before those that it names.
        expected: bool,
    }
    let cases = [
        PartCase {
            name: "passed on",
            agents: 1,
            greeted: false,
            expected: false,
        },
        PartCase {
            name: "all of them",
            agents: 40,
            greeted: true,
            expected: true,
        },
        PartCase {
            name: "more than a message takes",
            agents: 200,
            greeted: true,
            expected: false,
        },
    ];
    for case in cases {
        let mut group = Group::settled(2, RESTART_SPAN * 2);
        for number in 1..=case.agents {
            tell(&mut group, 1, &[stop(number, Duration::ZERO)]);
            group.now = group.now + Duration::from_millis(10);
        }
        let now = group.now;
        let one = &mut group.node(1).member;
        let actions = if case.greeted {
            let mut fresh = fresh_member(3, now);
            let hello = sent_to(&fresh.advance(now), 1).remove(0);
            one.accept(hello, now)
        } else {
            one.advance(now)
        };
        let told = sent_to(&actions, if case.greeted { 3 } else { 2 });
        let news = told.iter().find_map(|message| match message {
            CatalogMessage::Stops(news) => Some(news),
            _ => None,
        });
        let covers = news.expect("a word").covers;
        assert_eq!(covers >= RESTART_SPAN, case.expected, "{}", case.name);
    }
}

/// Guards against a word that is passed on for ever, and against a late one that hides a lasting silence.
#[test]
fn a_stop_is_passed_on_once_and_not_after_its_time() {
    struct LateCase {
        name: &'static str,
        /// How old the word is when it is told.
        age: Duration,
        /// Whether the same word comes again, a little older.
        again: bool,
        expected: usize,
    }
    let cases = [
        LateCase {
            name: "new",
            age: Duration::ZERO,
            again: false,
            expected: 1,
        },
        LateCase {
            name: "said again while the agent stops",
            age: Duration::ZERO,
            again: true,
            expected: 1,
        },
        LateCase {
            name: "as old as a restart may take",
            age: RESTART_SPAN,
            again: false,
            expected: 0,
        },
    ];
    for case in cases {
        let mut group = Group::settled(3, Duration::from_secs(3));
        tell(&mut group, 1, &[stop(1, case.age)]);
        if case.again {
            group.run(Duration::from_millis(250));
            tell(&mut group, 1, &[stop(1, Duration::ZERO)]);
        }
        group.run(RESTART_SPAN * 2);
        let told = group.node(2).stops.len();
        assert_eq!(told, case.expected, "{}", case.name);
    }
}
