//! Load pattern: targets are cold, because they were added, started again or came back with their zone, while
//! many clients open flows at once. Each bears so many new flows a second.

use std::num::NonZeroU32;
use std::time::Duration;

use lovagelatch_catalog::{Catalog, PublishedTarget, WarmupRule};
use lovagelatch_domain::Moment;
use lovagelatch_flows::{
    AgentStep, FlowAgent, FlowBalancer, FlowEvent, FlowView, FramePurpose, LoadReport, PacketFrame,
    SilenceReason, WarmupLimit, ZoneNotice,
};

use crate::agent::{answer, frame, old_agent, passed, restarted_agent, returned, settings};
use crate::balancer::sent;
use crate::support::{
    agent, at, balancer, builder, catalog, claims_address, data, flow, idle_load, opening, route,
    target,
};

/// How long a target is cold in these tests, in milliseconds.
const SPAN_MS: u32 = 2_000;

/// What the target runs at once in these tests, and so is given at once.
const SLOTS: usize = 3;

/// What the users allow in a second: half as many as it bears more, and five.
fn allowed(rate: f32) -> usize {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = (rate * 1.5 + 5.0) as usize;
    allowed
}

fn rule(rate: f32) -> WarmupRule {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rate = (rate * 1_000.0) as u32;
    WarmupRule {
        span_ms: SPAN_MS,
        rate_milli: NonZeroU32::new(rate).expect("a rate"),
    }
}

fn limit(rate: f32, left_ms: u64) -> Option<WarmupLimit> {
    Some(WarmupLimit::new(
        &rule(rate),
        Duration::from_millis(left_ms),
    ))
}

fn offer(limit: Option<WarmupLimit>, rest: &[u8]) -> PacketFrame {
    PacketFrame {
        warmup: limit,
        zones_revision: 1,
        ..frame(FramePurpose::Offer, rest)
    }
}

/// The target sends something on a flow that it has.
fn hear(agent: &mut FlowAgent, now: Moment) {
    agent.take_target_packet(&data(flow(60_000)), now);
}

/// It does so every tenth of a second.
fn hear_between(agent: &mut FlowAgent, from: u64, to: u64) {
    for millis in (from..=to).step_by(100) {
        hear(agent, at(millis));
    }
}

/// An agent that has been beside its target for so long that it knows what it let in.
fn settled_agent() -> FlowAgent {
    let begun = at(0) - Duration::from_secs(60);
    let mut agent = FlowAgent::new(settings(true), begun);
    for tenth in 1..=600 {
        hear(&mut agent, begun + Duration::from_millis(100) * tenth);
    }
    agent
}

/// Offers a flow that nobody else could take; the target answers it if it is given it.
fn gives(agent: &mut FlowAgent, port: u16, limit: Option<WarmupLimit>, now: Moment) -> AgentStep {
    let (step, _) = agent.take_frame(offer(limit, &[]), &opening(flow(port)), now);
    if is_given(&step) {
        agent.note_sent(now);
        agent.take_target_packet(&answer(flow(port)), now);
    }
    step
}

fn is_given(step: &AgentStep) -> bool {
    matches!(step, AgentStep::Deliver { .. })
}

/// How many of `count` flows that are offered at once the target is given.
fn given(agent: &mut FlowAgent, count: u16, limit: Option<WarmupLimit>, millis: u64) -> usize {
    let first = u16::try_from(millis % 10_000).unwrap_or(0) * 5;
    let given =
        (first..first + count).filter(|&port| is_given(&gives(agent, port, limit, at(millis))));
    given.count()
}

struct RateCase {
    rate: f32,
    /// Flows are offered this far apart, in milliseconds.
    gap: u64,
}

// Symptom: requests take seconds at targets that were added a moment ago. Sequence: a burst comes while
// they are cold. Cause: nothing bounded what a cold target was given. In any second, not only in those that
// a clock begins.
#[test]
fn a_cold_target_gets_no_more_than_it_bears_in_any_second() {
    let cases = [
        RateCase { rate: 0.5, gap: 40 },
        RateCase { rate: 12.0, gap: 3 },
        RateCase { rate: 20.0, gap: 1 },
        RateCase { rate: 40.0, gap: 7 },
        RateCase {
            rate: 300.0,
            gap: 1,
        },
    ];
    for case in cases {
        let mut decisions = settled_agent();
        let mut given = Vec::new();
        for (port, millis) in (0..6_000).zip((0..).map(|step| step * case.gap)) {
            let step = gives(&mut decisions, port, limit(case.rate, 60_000), at(millis));
            if is_given(&step) {
                given.push(millis);
            }
        }
        for (index, &first) in given.iter().enumerate() {
            let within = |span| {
                let later = given[index..].iter();
                later.take_while(|at| **at < first + span).count()
            };
            assert!(within(1_000) <= allowed(case.rate), "rate {}", case.rate);
            // Evenly: what it runs at once, and what the tenth of a second brings.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let paced = SLOTS + (case.rate / 10.0).ceil() as usize;
            assert!(within(100) <= paced, "rate {}: {}", case.rate, within(100));
        }
        // The bound is used, not only kept.
        #[allow(clippy::cast_precision_loss)]
        let seconds = (6_000 * case.gap) as f32 / 1_000.0;
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

// Symptom: a cold target falls over, is back, and is cold for longer than its agent takes it to be. Sequence: it returns
// the packets of its flows; for a second nobody tries it; it is back, and answers. Cause: the span was counted
// from when it ended.
#[test]
fn a_target_that_fell_over_is_cold_from_when_it_is_heard_again() {
    let mut decisions = settled_agent();
    let warm = limit(20.0, 0);
    decisions.take_target_packet(&returned(&data(flow(60_000)), 0), at(0));
    // However long it is away.
    assert_eq!(given(&mut decisions, 1, warm, 3_000), 1);
    hear_between(&mut decisions, 3_100, 4_900);
    assert_eq!(given(&mut decisions, 100, warm, 4_900), SLOTS);
    hear_between(&mut decisions, 5_000, 5_100);
    assert_eq!(given(&mut decisions, 100, warm, 5_100), 100);
}

// Symptom: a target that started a moment ago gets a rush. Sequence: its zone is evacuated, so nothing is sent there; it
// ends and starts again, while the store is away and nobody can read its new entry; the zone comes back. Cause: what
// is not sent to cannot return anything, and silence was taken for health.
#[test]
fn a_target_that_was_quiet_may_have_started_again() {
    let mut decisions = settled_agent();
    let warm = limit(20.0, 0);
    assert_eq!(given(&mut decisions, 100, warm, 0), 100);
    // One that nobody has sent anything to yet is not quiet.
    let mut first = FlowAgent::new(settings(true), at(0) - Duration::from_secs(60));
    assert_eq!(given(&mut first, 100, warm, 0), 100);
    // It was heard half a second ago, and then not for a second.
    assert_eq!(given(&mut decisions, 100, warm, 500), 100);
    assert_eq!(given(&mut decisions, 100, warm, 1_700), SLOTS);
    // Cold for a span from when it is heard again.
    hear_between(&mut decisions, 1_800, 3_600);
    assert_eq!(given(&mut decisions, 100, warm, 3_600), SLOTS);
    hear_between(&mut decisions, 3_700, 3_800);
    assert_eq!(given(&mut decisions, 100, warm, 3_800), 100);
}

// Symptom: a cold target with many slots gets more in a second than the users allow. Sequence: the bound is lower than
// what it runs at once. Cause: it was given as many at once as it runs.
#[test]
fn a_target_of_many_slots_gets_no_more_than_the_users_allow() {
    let mut decisions = settled_agent();
    let given = (0..40).filter(|&port| {
        let offered = PacketFrame {
            slots: 30,
            ..offer(limit(2.0, 60_000), &[])
        };
        is_given(&decisions.take_frame(offered, &opening(flow(port)), at(0)).0)
    });
    assert_eq!(given.count(), allowed(2.0));
}

#[test]
fn what_exceeds_the_bound_goes_to_others_or_is_refused_at_once() {
    let mut decisions = settled_agent();
    let cold = limit(4.0, 60_000);
    for port in 0..3 {
        let (step, _) = decisions.take_frame(offer(cold, &[2]), &opening(flow(port)), at(0));
        assert!(is_given(&step), "{step:?}");
    }
    let (step, _) = decisions.take_frame(offer(cold, &[2]), &opening(flow(9)), at(0));
    assert_eq!(passed(step).0, 2);
    let (step, note) = decisions.take_frame(offer(cold, &[]), &opening(flow(30)), at(0));
    assert_eq!(step, AgentStep::Reset);
    assert_eq!(note.expect("a word").1.event, FlowEvent::Refused);
}

struct BoundCase {
    name: &'static str,
    limit: Option<WarmupLimit>,
    /// What happens before, at 0 ms.
    before: fn(&mut FlowAgent),
    /// Of a hundred flows at 1,200 ms the target gets so many.
    given: usize,
}

// Symptom: a cold target gets a rush, though its agent knows the bound. Cause: the agent waited for the
// target's entry to say that it is cold, or took its own ignorance for proof that it is not.
#[test]
fn a_target_counts_as_cold_while_it_may_be() {
    let warm = limit(20.0, 0);
    let cases = [
        BoundCase {
            name: "no bound is named",
            limit: None,
            before: |_| {},
            given: 100,
        },
        BoundCase {
            name: "warm",
            limit: warm,
            before: |_| {},
            given: 100,
        },
        BoundCase {
            name: "cold by its entry",
            limit: limit(20.0, 300),
            before: |_| {},
            given: SLOTS,
        },
        BoundCase {
            name: "another balancer said so a moment ago",
            limit: warm,
            before: |agent| {
                assert!(is_given(&gives(agent, 900, limit(20.0, 2_000), at(0))));
            },
            given: SLOTS,
        },
        BoundCase {
            name: "its zone came back, and its entry does not say yet that it is cold",
            limit: warm,
            before: |agent| {
                for (revision, evacuated) in [(2, true), (3, false)] {
                    let notice = ZoneNotice {
                        revision,
                        evacuated,
                        age: Duration::ZERO,
                    };
                    agent.take_zone(&notice, at(0));
                }
            },
            given: SLOTS,
        },
        BoundCase {
            name: "it returned a packet of an open flow: it was reborn under its name",
            limit: warm,
            before: |agent| {
                agent.take_target_packet(&returned(&data(flow(60_000)), 0), at(0));
            },
            given: SLOTS,
        },
        BoundCase {
            name: "it returned a first packet though it had nothing to do: it fell over",
            limit: warm,
            before: |agent| {
                let (step, _) = agent.take_frame(offer(None, &[]), &opening(flow(900)), at(0));
                let AgentStep::Deliver { tag } = step else {
                    panic!("not delivered: {step:?}");
                };
                agent.take_target_packet(&returned(&opening(flow(900)), tag), at(1));
            },
            given: SLOTS,
        },
        BoundCase {
            name: "nobody listened where it should",
            limit: warm,
            before: |agent| agent.take_refusal(at(0)),
            given: SLOTS,
        },
    ];
    for case in cases {
        let mut decisions = settled_agent();
        (case.before)(&mut decisions);
        hear_between(&mut decisions, 100, 1_200);
        let given = given(&mut decisions, 100, case.limit, 1_200);
        assert_eq!(given, case.given, "{}", case.name);
    }
}

// Symptom: a cold target gets twice what it bears. Sequence: its agent is killed and starts anew 300 ms
// later. Cause: the new process knew nothing of what the one before had let in. Until it can know, a flow
// that nobody else can take is neither given nor refused: its client's next copy comes in time.
#[test]
fn an_agent_that_has_just_started_assumes_the_worst() {
    let cold = limit(20.0, 1_500);
    let mut decisions = restarted_agent();
    for millis in [0, 400, 1_000] {
        let (step, _) = decisions.take_frame(offer(cold, &[2]), &opening(flow(1)), at(millis));
        assert_eq!(passed(step).0, 2);
        let step = gives(&mut decisions, 1, cold, at(millis));
        assert_eq!(step, AgentStep::Silence(SilenceReason::Unwarmed));
    }
    assert_eq!(given(&mut decisions, 100, cold, 1_150), SLOTS);
    // Whether a target that its entry takes for warm has started with the agent is not known either...
    let warm = limit(20.0, 0);
    let mut decisions = restarted_agent();
    let step = gives(&mut decisions, 1, warm, at(0));
    assert_eq!(step, AgentStep::Silence(SilenceReason::Unwarmed));
    assert_eq!(given(&mut decisions, 100, warm, 1_150), SLOTS);
    hear_between(&mut decisions, 1_200, 3_300);
    assert_eq!(given(&mut decisions, 100, warm, 3_300), 100);
    // ... until it answers on a flow that it held before.
    let mut decisions = restarted_agent();
    decisions.take_target_packet(&data(flow(600)), at(10));
    assert_eq!(given(&mut decisions, 100, warm, 20), 100);
}

// Symptom and sequence: a process stands still after it has admitted flows and before it has sent them; when it
// goes on it lets in as many again. Cause: those were counted by when they were admitted.
#[test]
fn flows_count_by_when_they_were_sent() {
    for slots in [3, 30] {
        let mut decisions = settled_agent();
        let given = |decisions: &mut FlowAgent, ports: std::ops::Range<u16>, millis| {
            let given = ports.filter(|&port| {
                let offered = PacketFrame {
                    slots,
                    ..offer(limit(2.0, 60_000), &[])
                };
                is_given(
                    &decisions
                        .take_frame(offered, &opening(flow(port)), at(millis))
                        .0,
                )
            });
            given.count()
        };
        let most = usize::from(slots).min(allowed(2.0));
        assert_eq!(given(&mut decisions, 0..40, 0), most);
        decisions.note_sent(at(5_000));
        assert_eq!(given(&mut decisions, 100..140, 5_010), 0, "{slots} slots");
        assert!(given(&mut decisions, 200..240, 6_100) > 0, "{slots} slots");
    }
}

// Symptom: a cold target gets twice what it bears. Sequence: it falls over while it is given a rush; its clients
// send copies of their first packets, which come when it has started again. Cause: copies of what was given
// before were given without being counted against the bound.
#[test]
fn copies_of_what_the_target_has_not_answered_count() {
    let mut decisions = settled_agent();
    let cold = limit(20.0, 60_000);
    let offered = |decisions: &mut FlowAgent, port, millis| {
        let (step, _) = decisions.take_frame(offer(cold, &[]), &opening(flow(port)), at(millis));
        step
    };
    let given = (0..20).filter(|&port| is_given(&offered(&mut decisions, port, 0)));
    assert_eq!(given.count(), SLOTS);
    // One interval later it bears one of the copies.
    let later = (0..3).map(|port| offered(&mut decisions, port, 50));
    let (given, silent): (Vec<_>, Vec<_>) = later.partition(is_given);
    assert_eq!((given.len(), silent.len()), (1, 2));
    assert!(
        silent
            .iter()
            .all(|step| *step == AgentStep::Silence(SilenceReason::Unwarmed))
    );
}

// Symptom: a cold target gets twice what it bears. Sequence: it cannot take flows for a second, and returns a rush of
// first packets; then it can. Cause: what it had returned was not counted.
#[test]
fn a_first_packet_that_the_target_returned_counts() {
    let mut decisions = settled_agent();
    let cold = limit(20.0, 60_000);
    for port in 0..3 {
        let offered = offer(cold, &[]);
        let (step, _) = decisions.take_frame(offered, &opening(flow(port)), at(0));
        let AgentStep::Deliver { tag } = step else {
            panic!("not delivered: {step:?}");
        };
        if port % 2 == 0 {
            decisions.take_target_packet(&returned(&opening(flow(port)), tag), at(1));
        }
    }
    assert_eq!(given(&mut decisions, 100, cold, 10), 0);
}

fn ruled(targets: Vec<PublishedTarget>, rate: Option<f32>) -> Catalog {
    let mut ruled = catalog(targets);
    let mut with_rule = route(claims_address(), &[("claims", 1)]);
    with_rule.shares[0].warmup = rate.map(rule);
    ruled.routes = vec![with_rule].into();
    ruled
}

fn cold_target(number: u8, warming_ms: u32) -> PublishedTarget {
    PublishedTarget {
        warming_ms,
        ..target(number, "claims")
    }
}

/// What an offer to the only target says of its warm-up: flows a second, milliseconds left.
fn told(
    decisions: &FlowBalancer,
    view: &FlowView,
    port: u16,
    now: Moment,
) -> Option<(usize, u128)> {
    let (_, frame) = sent(decisions.handle_packet(&opening(flow(port)), b"syn", view, now));
    let limit = frame.warmup?;
    Some((limit.rate() as usize, limit.left().as_millis()))
}

// The age of a record is counted by this process's own clock from when it was taken: a moment too long is
// the safe side. A record that says anew that its target is cold is believed.
#[test]
fn offers_say_what_a_cold_target_bears_and_for_how_long() {
    let decisions = FlowBalancer::new(balancer());
    let mut views = builder();
    views.take(&ruled(vec![cold_target(1, 2_000)], Some(20.0)), at(0));
    let view = views.build(at(0));
    assert_eq!(told(&decisions, &view, 1, at(0)), Some((20, 2_000)));
    assert_eq!(told(&decisions, &view, 2, at(1_500)), Some((20, 500)));
    assert_eq!(told(&decisions, &view, 3, at(2_500)), Some((20, 0)));
    // The same list again, whose record may be old.
    views.take(&ruled(vec![cold_target(1, 2_000)], Some(20.0)), at(1_600));
    let view = views.build(at(1_600));
    assert_eq!(told(&decisions, &view, 4, at(1_600)), Some((20, 400)));
    // Cold again: its zone came back, or it started again.
    views.take(&ruled(vec![cold_target(1, 1_900)], Some(20.0)), at(9_000));
    let view = views.build(at(9_000));
    assert_eq!(told(&decisions, &view, 5, at(9_000)), Some((20, 1_900)));
    // The operator names no bound any more.
    views.take(&ruled(vec![cold_target(1, 1_900)], None), at(9_100));
    let view = views.build(at(9_100));
    assert_eq!(told(&decisions, &view, 6, at(9_100)), None);
}

// Symptom: targets of a zone that was taken back are swamped. Sequence: an evacuation ends and leaves them cold;
// their entries say so a second later. Cause: balancers went by the entries.
#[test]
fn targets_of_a_zone_that_comes_back_are_offered_as_cold() {
    let decisions = FlowBalancer::new(balancer());
    let mut views = builder();
    let mut evacuated = ruled(vec![target(1, "claims")], Some(20.0));
    views.take(&evacuated, at(0));
    let view = views.build(at(0));
    assert_eq!(told(&decisions, &view, 1, at(0)), Some((20, 0)));
    evacuated.zones_revision = 2;
    evacuated.evacuated = vec![lovagelatch_catalog::EvacuatedZone(
        "hall-a".parse().expect("a zone"),
    )]
    .into();
    views.take(&evacuated, at(100));
    evacuated.zones_revision = 3;
    evacuated.evacuated = Vec::new().into();
    views.take(&evacuated, at(8_000));
    let view = views.build(at(8_000));
    assert_eq!(told(&decisions, &view, 2, at(8_000)), Some((20, 2_000)));
    assert_eq!(told(&decisions, &view, 3, at(9_500)), Some((20, 500)));
}

// Symptom: agents of cold targets pass most offers on. Sequence: a few targets are added in a rush, and look
// idle. Cause: balancers did not know that they bear no more in this second.
#[test]
fn a_target_without_room_is_no_first_choice() {
    let decisions = FlowBalancer::new(balancer());
    let mut views = builder();
    let targets = vec![
        cold_target(1, 2_000),
        target(2, "claims"),
        target(3, "claims"),
    ];
    views.take(&ruled(targets, Some(20.0)), at(0));
    let view = views.build(at(0));
    let report = |number: u8, room, in_progress| LoadReport {
        room,
        in_progress,
        ..idle_load(agent(number))
    };
    decisions.record_load(&report(1, Some(3), 0), at(0));
    decisions.record_load(&report(2, None, 8), at(0));
    decisions.record_load(&report(3, None, 8), at(0));
    let placed = (0..60).map(|port| {
        let step = decisions.handle_packet(&opening(flow(port)), b"syn", &view, at(1));
        sent(step).0
    });
    let to_cold = placed.filter(|to| *to == agent(1)).count();
    assert_eq!(to_cold, 3);
    // Its agent's word is old: the agent decides.
    let step = decisions.handle_packet(&opening(flow(100)), b"syn", &view, at(1_100));
    assert_eq!(sent(step).0, agent(1));
}

#[test]
fn an_agent_tells_how_much_room_a_cold_target_has() {
    let mut decisions = settled_agent();
    assert_eq!(decisions.answer_probe(balancer(), at(0)).room, None);
    // What it bears until the next report, a quarter of a second later.
    assert_eq!(given(&mut decisions, 7, limit(20.0, 2_000), 0), SLOTS);
    assert_eq!(decisions.answer_probe(balancer(), at(10)).room, Some(5));
    hear_between(&mut decisions, 100, 2_100);
    assert_eq!(decisions.answer_probe(balancer(), at(2_100)).room, None);
    // A bound of another process's past: an agent that was offered nothing knows none.
    assert_eq!(old_agent().answer_probe(balancer(), at(0)).room, None);
}
