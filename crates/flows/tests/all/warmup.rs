//! Warm-up limits: targets are cold because they were added, restarted or came back with their
//! zone, while many clients open flows at once. Each can take a limited number of new flows per
//! second.

use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_catalog::{Catalog, PublishedTarget, WarmupRule};
use lovagelatch_domain::Moment;
use lovagelatch_flows::{
    AgentStep, DropReason, FlowAgent, FlowBalancer, FlowEvent, FlowView, FramePurpose, LoadReport,
    PacketFrame, WarmupLimit, ZoneNotice,
};

use crate::agent::{answer, forwarded, frame, informed_agent, restarted_agent, returned, settings};
use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, builder, catalog, claims_address, data, flow, idle_load, opening, route,
    target,
};

/// How long a target is cold in these tests.
const COLD_MS: u32 = 2_000;

/// How many requests the target runs at once in these tests, and so how many flows it is given at
/// once.
const SLOTS: usize = 3;

/// The maximum for one second: one and a half times the rate, plus five.
fn allowed(rate: f32) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = (rate * 1.5 + 5.0) as usize;
    allowed
}

fn rule(rate: f32) -> WarmupRule {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rate = (rate * 1_000.0) as u32;
    WarmupRule {
        span_ms: COLD_MS,
        rate_milli: NonZeroU32::new(rate).expect("a rate"),
    }
}

fn limit(rate: f32, remaining_ms: u64) -> Option<WarmupLimit> {
    Some(WarmupLimit::new(
        &rule(rate),
        Duration::from_millis(remaining_ms),
    ))
}

fn offer(limit: Option<WarmupLimit>, rest: &[u8]) -> PacketFrame {
    PacketFrame {
        warmup: limit,
        zones_revision: 1.into(),
        ..frame(FramePurpose::Offer, rest)
    }
}

/// The target sends a packet on a flow that it holds.
fn target_sends(agent: &mut FlowAgent, now: Moment) {
    agent.handle_target_packet(&data(flow(60_000)), now);
}

/// The target sends a packet every tenth of a second.
fn target_sends_between(agent: &mut FlowAgent, from: u64, to: u64) {
    for millis in (from..=to).step_by(100) {
        target_sends(agent, at(millis));
    }
}

/// An agent that has run beside its target for long enough to know what it has admitted.
fn settled_agent() -> FlowAgent {
    let started = at(0) - Duration::from_secs(60);
    let mut agent = FlowAgent::new(settings(true), started);
    for tenth in 1..=600 {
        target_sends(&mut agent, started + Duration::from_millis(100) * tenth);
    }
    agent
}

/// Offers a flow that no other agent could take. If the target is given it, it answers.
fn offer_flow(
    agent: &mut FlowAgent,
    port: u16,
    limit: Option<WarmupLimit>,
    now: Moment,
) -> AgentStep {
    let (step, _) = agent.handle_frame(offer(limit, &[]), &opening(flow(port)), now);
    if is_delivered(&step) {
        agent.record_sent(now);
        agent.handle_target_packet(&answer(flow(port)), now);
    }
    step
}

fn is_delivered(step: &AgentStep) -> bool {
    matches!(step, AgentStep::Deliver { .. })
}

/// Offers `count` flows at once. Returns how many of them the target is given.
fn delivered_count(
    agent: &mut FlowAgent,
    count: u16,
    limit: Option<WarmupLimit>,
    millis: u64,
) -> usize {
    let first = u16::try_from(millis % 10_000).unwrap_or(0) * 5;
    let delivered = (first..first + count)
        .filter(|&port| is_delivered(&offer_flow(agent, port, limit, at(millis))));
    delivered.count()
}

struct RateCase {
    rate: f32,
    /// Time between two offers, in milliseconds.
    interval_ms: u64,
}

// Guards against requests that take seconds at targets that were added a moment ago: a burst
// arrives while they are cold, and nothing limits what they are given. The limit holds in every
// sliding window of a second, not only in seconds aligned to a clock.
#[test]
fn a_cold_target_gets_no_more_than_its_limit_in_any_second() {
    let cases = [
        RateCase {
            rate: 0.5,
            interval_ms: 40,
        },
        RateCase {
            rate: 12.0,
            interval_ms: 3,
        },
        RateCase {
            rate: 20.0,
            interval_ms: 1,
        },
        RateCase {
            rate: 40.0,
            interval_ms: 7,
        },
        RateCase {
            rate: 300.0,
            interval_ms: 1,
        },
    ];
    for case in cases {
        let mut flow_agent = settled_agent();
        let mut given = Vec::new();
        for (port, millis) in (0..6_000).zip((0..).map(|step| step * case.interval_ms)) {
            let step = offer_flow(&mut flow_agent, port, limit(case.rate, 60_000), at(millis));
            if is_delivered(&step) {
                given.push(millis);
            }
        }
        for (index, &first) in given.iter().enumerate() {
            let within = |window_ms| {
                let later = given[index..].iter();
                later.take_while(|at| **at < first + window_ms).count()
            };
            assert!(within(1_000) <= allowed(case.rate), "rate {}", case.rate);
            // Evenly spaced: as many as it runs at once, plus the rate over a tenth of a second.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let paced = SLOTS + (case.rate / 10.0).ceil() as usize;
            assert!(within(100) <= paced, "rate {}: {}", case.rate, within(100));
        }
        // The limit is used up, not only respected.
        #[allow(clippy::cast_precision_loss)]
        let seconds = (6_000 * case.interval_ms) as f32 / 1_000.0;
        #[allow(clippy::cast_precision_loss)]
        let given = given.len() as f32;
        let least = (case.rate * seconds).min(6_000.0);
        assert!(
            given >= least * 0.9,
            "rate {}: {given} of {least}",
            case.rate
        );
    }
}

// Guards against a target that crashes, restarts, and is cold for longer than its agent assumes. It
// returns the packets of its flows; for a second no flow is offered to it; it is back, and answers.
// The cold period counts from when it is heard again, not from its end.
#[test]
fn a_crashed_target_is_cold_from_when_it_is_heard_again() {
    let mut flow_agent = settled_agent();
    let warm = limit(20.0, 0);
    flow_agent.handle_target_packet(&returned(&data(flow(60_000)), 0), at(0));
    // This holds however long it is down.
    assert_eq!(delivered_count(&mut flow_agent, 1, warm, 3_000), 1);
    target_sends_between(&mut flow_agent, 3_100, 4_900);
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 4_900), SLOTS);
    target_sends_between(&mut flow_agent, 5_000, 5_100);
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 5_100), 100);
}

// Guards against a rush at a target that has just started. Its zone is evacuated, so nothing is
// sent there; it restarts while the store is unavailable, so its new entry cannot be read; the zone
// comes back. A target that is sent nothing cannot return anything, so its silence is no sign of
// health.
#[test]
fn a_quiet_target_may_have_restarted() {
    let mut flow_agent = settled_agent();
    let warm = limit(20.0, 0);
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 0), 100);
    // A target that was never heard by this agent is not quiet.
    let mut first = FlowAgent::new(settings(true), at(0) - Duration::from_secs(60));
    assert_eq!(delivered_count(&mut first, 100, warm, 0), 100);
    // It was heard half a second ago, and then not for a second.
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 500), 100);
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 1_700), SLOTS);
    // It is cold for the full period from when it is heard again.
    target_sends_between(&mut flow_agent, 1_800, 3_600);
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 3_600), SLOTS);
    target_sends_between(&mut flow_agent, 3_700, 3_800);
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 3_800), 100);
}

// Guards against a cold target with many slots that gets more flows in a second than allowed: the
// limit is lower than the number of its slots, and it is given as many at once as it has slots.
#[test]
fn a_target_with_many_slots_gets_no_more_than_allowed() {
    let mut flow_agent = settled_agent();
    let given = (0..40).filter(|&port| {
        let offered = PacketFrame {
            slots: 30,
            ..offer(limit(2.0, 60_000), &[])
        };
        is_delivered(
            &flow_agent
                .handle_frame(offered, &opening(flow(port)), at(0))
                .0,
        )
    });
    assert_eq!(given.count(), allowed(2.0));
}

#[test]
fn offers_beyond_the_limit_are_forwarded_or_refused_at_once() {
    let mut flow_agent = settled_agent();
    let cold = limit(4.0, 60_000);
    for port in 0..3 {
        let (step, _) = flow_agent.handle_frame(offer(cold, &[2]), &opening(flow(port)), at(0));
        assert!(is_delivered(&step), "{step:?}");
    }
    let (step, _) = flow_agent.handle_frame(offer(cold, &[2]), &opening(flow(9)), at(0));
    assert_eq!(forwarded(step).0, 2);
    let (step, update) = flow_agent.handle_frame(offer(cold, &[]), &opening(flow(30)), at(0));
    assert_eq!(step, AgentStep::Reset);
    assert_eq!(update.expect("an update").1.event, FlowEvent::Refused);
}

struct LimitCase {
    name: &'static str,
    limit: Option<WarmupLimit>,
    /// What happens first, at 0 ms.
    before: fn(&mut FlowAgent),
    /// How many of a hundred flows at 1,200 ms the target gets.
    delivered: usize,
}

// Guards against a rush at a cold target whose agent knows the limit, but waits for the target's
// store entry to say that it is cold, or takes missing information as proof that it is not.
#[test]
fn a_target_counts_as_cold_while_it_may_be_cold() {
    let warm = limit(20.0, 0);
    let cases = [
        LimitCase {
            name: "no limit",
            limit: None,
            before: |_| {},
            delivered: 100,
        },
        LimitCase {
            name: "warm",
            limit: warm,
            before: |_| {},
            delivered: 100,
        },
        LimitCase {
            name: "cold according to its entry",
            limit: limit(20.0, 300),
            before: |_| {},
            delivered: SLOTS,
        },
        LimitCase {
            name: "another balancer reported it as cold a moment ago",
            limit: warm,
            before: |agent| {
                assert!(is_delivered(&offer_flow(
                    agent,
                    900,
                    limit(20.0, 2_000),
                    at(0)
                )));
            },
            delivered: SLOTS,
        },
        LimitCase {
            name: "its zone came back, and its entry does not say yet that it is cold",
            limit: warm,
            before: |agent| {
                for (revision, evacuated) in [(2, true), (3, false)] {
                    let notice = ZoneNotice {
                        revision: u64::into(revision),
                        evacuated,
                        age: Duration::ZERO,
                    };
                    agent.handle_zone_notice(&notice, at(0));
                }
            },
            delivered: SLOTS,
        },
        LimitCase {
            name: "it returned a packet of an open flow: it restarted under the same name",
            limit: warm,
            before: |agent| {
                agent.handle_target_packet(&returned(&data(flow(60_000)), 0), at(0));
            },
            delivered: SLOTS,
        },
        LimitCase {
            name: "it returned a first packet while it was idle: it crashed",
            limit: warm,
            before: |agent| {
                let (step, _) = agent.handle_frame(offer(None, &[]), &opening(flow(900)), at(0));
                let AgentStep::Deliver { tag } = step else {
                    panic!("not delivered: {step:?}");
                };
                agent.handle_target_packet(&returned(&opening(flow(900)), tag), at(1));
            },
            delivered: SLOTS,
        },
        LimitCase {
            name: "nothing listened at its address",
            limit: warm,
            before: |agent| agent.handle_connection_refused(at(0)),
            delivered: SLOTS,
        },
    ];
    for case in cases {
        let mut flow_agent = settled_agent();
        (case.before)(&mut flow_agent);
        target_sends_between(&mut flow_agent, 100, 1_200);
        let delivered = delivered_count(&mut flow_agent, 100, case.limit, 1_200);
        assert_eq!(delivered, case.delivered, "{}", case.name);
    }
}

// Guards against a cold target that gets twice its limit: its agent is killed and restarts 300 ms
// later, and the new process does not know what its predecessor admitted. Until it can know, it
// neither delivers nor refuses a flow that no other agent can take: its client's next copy arrives
// in time.
#[test]
fn an_agent_that_has_just_started_assumes_the_worst() {
    let cold = limit(20.0, 1_500);
    let mut flow_agent = restarted_agent();
    for millis in [0, 400, 1_000] {
        let (step, _) = flow_agent.handle_frame(offer(cold, &[2]), &opening(flow(1)), at(millis));
        assert_eq!(forwarded(step).0, 2);
        let step = offer_flow(&mut flow_agent, 1, cold, at(millis));
        assert_eq!(step, AgentStep::Drop(DropReason::ColdTarget));
    }
    assert_eq!(delivered_count(&mut flow_agent, 100, cold, 1_150), SLOTS);
    // A target that is warm according to its entry may have started with the agent ...
    let warm = limit(20.0, 0);
    let mut flow_agent = restarted_agent();
    let step = offer_flow(&mut flow_agent, 1, warm, at(0));
    assert_eq!(step, AgentStep::Drop(DropReason::ColdTarget));
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 1_150), SLOTS);
    target_sends_between(&mut flow_agent, 1_200, 3_300);
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 3_300), 100);
    // ... unless it sends a packet of a flow that it held before.
    let mut flow_agent = restarted_agent();
    flow_agent.handle_target_packet(&data(flow(600)), at(10));
    assert_eq!(delivered_count(&mut flow_agent, 100, warm, 20), 100);
}

// Guards against a cold target that gets twice its limit: its agent's process is paused after it
// has admitted flows and before it has sent them, and admits as many again when it resumes, because
// flows count by the time of their admission.
#[test]
fn flows_count_by_when_they_were_sent() {
    for slots in [3, 30] {
        let mut flow_agent = settled_agent();
        let offer_ports = |flow_agent: &mut FlowAgent, ports: std::ops::Range<u16>, millis| {
            let delivered = ports.filter(|&port| {
                let offered = PacketFrame {
                    slots,
                    ..offer(limit(2.0, 60_000), &[])
                };
                is_delivered(
                    &flow_agent
                        .handle_frame(offered, &opening(flow(port)), at(millis))
                        .0,
                )
            });
            delivered.count()
        };
        let expected = usize::from(slots).min(allowed(2.0));
        assert_eq!(offer_ports(&mut flow_agent, 0..40, 0), expected);
        flow_agent.record_sent(at(5_000));
        assert_eq!(
            offer_ports(&mut flow_agent, 100..140, 5_010),
            0,
            "{slots} slots"
        );
        assert!(
            offer_ports(&mut flow_agent, 200..240, 6_100) > 0,
            "{slots} slots"
        );
    }
}

// Guards against a cold target that gets twice its limit: it crashes during a rush, its clients
// send copies of their first packets, which arrive when it has restarted, and copies of packets
// that were delivered before do not count.
#[test]
fn copies_of_unanswered_first_packets_count() {
    let mut flow_agent = settled_agent();
    let cold = limit(20.0, 60_000);
    let offered = |flow_agent: &mut FlowAgent, port, millis| {
        let (step, _) = flow_agent.handle_frame(offer(cold, &[]), &opening(flow(port)), at(millis));
        step
    };
    let given = (0..20).filter(|&port| is_delivered(&offered(&mut flow_agent, port, 0)));
    assert_eq!(given.count(), SLOTS);
    // One interval later it can take one of the copies.
    let later = (0..3).map(|port| offered(&mut flow_agent, port, 50));
    let (delivered, dropped): (Vec<_>, Vec<_>) = later.partition(is_delivered);
    assert_eq!((delivered.len(), dropped.len()), (1, 2));
    assert!(
        dropped
            .iter()
            .all(|step| *step == AgentStep::Drop(DropReason::ColdTarget))
    );
}

// Guards against a cold target that gets twice its limit: it cannot take flows for a second and
// returns a rush of first packets, then it can, and returned packets do not count.
#[test]
fn a_first_packet_that_the_target_returned_counts() {
    let mut flow_agent = settled_agent();
    let cold = limit(20.0, 60_000);
    for port in 0..3 {
        let offered = offer(cold, &[]);
        let (step, _) = flow_agent.handle_frame(offered, &opening(flow(port)), at(0));
        let AgentStep::Deliver { tag } = step else {
            panic!("not delivered: {step:?}");
        };
        if port % 2 == 0 {
            flow_agent.handle_target_packet(&returned(&opening(flow(port)), tag), at(1));
        }
    }
    assert_eq!(delivered_count(&mut flow_agent, 100, cold, 10), 0);
}

fn catalog_with_rule(targets: Vec<PublishedTarget>, rate: Option<f32>) -> Catalog {
    let mut catalog = catalog(targets);
    let mut with_rule = route(claims_address(), &[("claims", 1)]);
    with_rule.shares[0].warmup = rate.map(rule);
    catalog.routes = vec![with_rule].into();
    catalog
}

fn cold_target(number: u8, warming_ms: u32) -> PublishedTarget {
    PublishedTarget {
        warming_ms,
        ..target(number, "claims")
    }
}

/// Returns the warm-up limit in an offer to the only target: flows per second and remaining
/// milliseconds.
fn offered_limit(
    flow_balancer: &FlowBalancer,
    view: &FlowView,
    port: u16,
    now: Moment,
) -> Option<(usize, u128)> {
    let (_, frame) = sent(flow_balancer.handle_packet(&opening(flow(port)), b"syn", view, now));
    let limit = frame.warmup?;
    Some((limit.rate() as usize, limit.remaining().as_millis()))
}

// Guards against a cold target that is offered as warm. The age of an entry is counted by this
// process's own clock from when it was read, which errs on the safe side; an entry that reports its
// target as cold again is trusted.
#[test]
fn offers_carry_the_warmup_limit_and_its_remaining_time() {
    let flow_balancer = FlowBalancer::new(balancer());
    let mut views = builder();
    views.apply(
        &catalog_with_rule(vec![cold_target(1, 2_000)], Some(20.0)),
        at(0),
    );
    let view = views.build(at(0));
    assert_eq!(
        offered_limit(&flow_balancer, &view, 1, at(0)),
        Some((20, 2_000))
    );
    assert_eq!(
        offered_limit(&flow_balancer, &view, 2, at(1_500)),
        Some((20, 500))
    );
    assert_eq!(
        offered_limit(&flow_balancer, &view, 3, at(2_500)),
        Some((20, 0))
    );
    // The same list again, whose entry may be stale.
    views.apply(
        &catalog_with_rule(vec![cold_target(1, 2_000)], Some(20.0)),
        at(1_600),
    );
    let view = views.build(at(1_600));
    assert_eq!(
        offered_limit(&flow_balancer, &view, 4, at(1_600)),
        Some((20, 400))
    );
    // Cold again: its zone came back, or it restarted.
    views.apply(
        &catalog_with_rule(vec![cold_target(1, 1_900)], Some(20.0)),
        at(9_000),
    );
    let view = views.build(at(9_000));
    assert_eq!(
        offered_limit(&flow_balancer, &view, 5, at(9_000)),
        Some((20, 1_900))
    );
    // The operator has removed the limit.
    views.apply(
        &catalog_with_rule(vec![cold_target(1, 1_900)], None),
        at(9_100),
    );
    let view = views.build(at(9_100));
    assert_eq!(offered_limit(&flow_balancer, &view, 6, at(9_100)), None);
}

// Guards against overloaded targets of a zone whose evacuation ends. The evacuation leaves them
// cold, and their entries say so a second later, so balancers must not rely on the entries alone.
#[test]
fn targets_of_a_zone_that_comes_back_are_offered_as_cold() {
    let flow_balancer = FlowBalancer::new(balancer());
    let mut views = builder();
    let mut evacuated = catalog_with_rule(vec![target(1, "claims")], Some(20.0));
    views.apply(&evacuated, at(0));
    let view = views.build(at(0));
    assert_eq!(
        offered_limit(&flow_balancer, &view, 1, at(0)),
        Some((20, 0))
    );
    evacuated.zones_revision = 2.into();
    evacuated.evacuated = vec![lovagelatch_catalog::EvacuatedZone(
        "hall-a".parse().expect("a zone"),
    )]
    .into();
    views.apply(&evacuated, at(100));
    evacuated.zones_revision = 3.into();
    evacuated.evacuated = Vec::new().into();
    views.apply(&evacuated, at(8_000));
    let view = views.build(at(8_000));
    assert_eq!(
        offered_limit(&flow_balancer, &view, 2, at(8_000)),
        Some((20, 2_000))
    );
    assert_eq!(
        offered_limit(&flow_balancer, &view, 3, at(9_500)),
        Some((20, 500))
    );
}

// Guards against agents of cold targets that forward most offers: a few targets are added in a rush
// and look idle, and balancers do not know that they have no room left in this second.
#[test]
fn a_target_without_room_is_no_first_choice() {
    let flow_balancer = FlowBalancer::new(balancer());
    let mut views = builder();
    let targets = vec![
        cold_target(1, 2_000),
        target(2, "claims"),
        target(3, "claims"),
    ];
    views.apply(&catalog_with_rule(targets, Some(20.0)), at(0));
    let view = views.build(at(0));
    let report = |number: u8, room, in_progress| LoadReport {
        room,
        in_progress,
        ..idle_load(agent(number))
    };
    flow_balancer.record_load(&report(1, Some(3), 0), at(0));
    flow_balancer.record_load(&report(2, None, 8), at(0));
    flow_balancer.record_load(&report(3, None, 8), at(0));
    let placed = (0..60).map(|port| {
        let step = flow_balancer.handle_packet(&opening(flow(port)), b"syn", &view, at(1));
        sent(step).0
    });
    let to_cold = placed.filter(|to| *to == agent(1)).count();
    assert_eq!(to_cold, 3);
    // Its agent's report is stale, so the agent decides.
    let step = flow_balancer.handle_packet(&opening(flow(100)), b"syn", &view, at(1_100));
    assert_eq!(sent(step).0, agent(1));
}

#[test]
fn an_agent_reports_the_room_of_a_cold_target() {
    let mut flow_agent = settled_agent();
    assert_eq!(flow_agent.handle_probe(balancer(), at(0)).room, None);
    // Its limit until the next report, a quarter of a second later.
    assert_eq!(
        delivered_count(&mut flow_agent, 7, limit(20.0, 2_000), 0),
        SLOTS
    );
    assert_eq!(flow_agent.handle_probe(balancer(), at(10)).room, Some(5));
    target_sends_between(&mut flow_agent, 100, 2_100);
    assert_eq!(flow_agent.handle_probe(balancer(), at(2_100)).room, None);
    // An agent that was offered nothing knows no limit.
    assert_eq!(informed_agent().handle_probe(balancer(), at(0)).room, None);
}
