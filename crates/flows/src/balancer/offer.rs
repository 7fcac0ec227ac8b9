//! New flows: which target gets the first offer, and which the next.

use std::num::NonZeroU32;

use lovagelatch_domain::{AgentAddress, Moment, ServiceId};
use smallvec::SmallVec;

use super::entry::{EntryState, FlowEntry, ServiceAgent};
use super::{BalancerStep, DueOffer, FlowBalancer, PendingOffer, PlacedFlow, RefusalReason};
use super::{LAST_RESORT_WINDOW, MAX_ALTERNATIVES, MAX_OFFERS, OFFER_TIMEOUT, RETRANSMIT_WINDOW};
use crate::frame::{Candidate, FramePurpose, PacketFrame};
use crate::load::{TargetLoad, excess_work_cost, score_target};
use crate::packet::{FlowKey, FlowPacket};
use crate::ring::{
    FlowStanding, FlowTarget, PLACEMENT_CANDIDATES, SEARCH_CANDIDATES, ServiceTargets,
};
use crate::view::{FlowRoute, FlowView};

impl FlowBalancer {
    pub(super) fn handle_opening(
        &self,
        packet: &FlowPacket,
        bytes: &[u8],
        view: &FlowView,
        now: Moment,
    ) -> BalancerStep {
        let flow = packet.flow;
        let point = flow.point();
        let mut shard = self.shard(point).lock();
        let before = shard.flows.get_mut(&flow);
        let before = before.filter(|entry| now.since(entry.created) < RETRANSMIT_WINDOW);
        let mut tried = SmallVec::new();
        if let Some(entry) = before {
            entry.last_packet = now;
            if entry.state != EntryState::Offered {
                return self.repeat_offer(entry);
            }
            tried.clone_from(&entry.offered);
        }
        self.remove_search(&mut shard, &flow);
        drop(shard);
        let Some(route) = view.route(&flow) else {
            return BalancerStep::Reset(RefusalReason::NoRoute);
        };
        let step = self.offer(&flow, route, &tried, view, now);
        let Some(step) = step.or_else(|| self.offer(&flow, route, &[], view, now)) else {
            return BalancerStep::Reset(refusal_reason(route, view));
        };
        self.schedule_reoffer(flow, SmallVec::from_slice(bytes), now);
        step
    }

    /// Offers a flow to the next target after an offer timed out.
    pub(super) fn reoffer(
        &self,
        pending: PendingOffer,
        view: &FlowView,
        now: Moment,
    ) -> Option<DueOffer> {
        let flow = pending.flow;
        let shard = self.shard(flow.point()).lock();
        let entry = shard.flows.get(&flow)?;
        if entry.state != EntryState::Offered {
            return None;
        }
        let (silent, service, tried) = (entry.agent, entry.service, entry.offered.clone());
        drop(shard);
        self.record_offer_timeout(silent, service, view, now);
        if tried.len() >= MAX_OFFERS {
            return None;
        }
        let route = view.route(&flow)?;
        let step = self.offer(&flow, route, &tried, view, now)?;
        let BalancerStep::Send {
            to,
            frame,
            placed: Some(placed),
            ..
        } = step
        else {
            return None;
        };
        self.schedule_reoffer(flow, pending.bytes.clone(), now);
        Some(DueOffer {
            flow,
            bytes: pending.bytes,
            silent,
            to,
            frame,
            placed,
        })
    }

    /// Repeats an offer that its target answered: the answer did not reach the client, and the same
    /// target repeats it.
    fn repeat_offer(&self, entry: &FlowEntry) -> BalancerStep {
        BalancerStep::Send {
            to: entry.agent,
            // Without a zone revision, since the target's zone may be evacuated by now.
            frame: PacketFrame::new(FramePurpose::Offer, entry.service, self.own_address),
            placed: None,
            relay: None,
        }
    }

    fn schedule_reoffer(&self, flow: FlowKey, bytes: SmallVec<[u8; 64]>, now: Moment) {
        let due = now + OFFER_TIMEOUT;
        let pending = PendingOffer { due, flow, bytes };
        self.pending.lock().push_back(pending);
    }

    /// Offers a flow to the best target that is not in `tried`.
    fn offer(
        &self,
        flow: &FlowKey,
        route: &FlowRoute,
        tried: &[ServiceAgent],
        view: &FlowView,
        now: Moment,
    ) -> Option<BalancerStep> {
        let point = flow.point();
        let service = route.service_for(point)?;
        let mut ranked = self.rank_targets(route, service, tried, view, point, now);
        ranked.truncate(1 + MAX_ALTERNATIVES);
        ranked.extend(self.fallback_targets(route, service, tried, view, point, now));
        let &(score, chosen) = ranked.first()?;
        let mut loads = self.loads.lock();
        let load_age = loads
            .load(chosen.agent)
            .map(|load| now.since(load.last_heard));
        loads.record_offer(chosen);
        loads.record_sent(chosen.agent, chosen.service, now);
        drop(loads);
        let rest = ranked.iter().skip(1);
        let rest = rest
            .map(|(_, target)| candidate_of(target, view, now))
            .collect();
        self.store_offer(flow, chosen, tried, now);
        // Another target may still answer an earlier offer, so an agent must not reset this one.
        let class = view.class_of(route, chosen.service);
        let class = class.filter(|_| tried.is_empty()).map(Box::new);
        Some(BalancerStep::Send {
            to: chosen.agent,
            frame: PacketFrame {
                slots: chosen.slots,
                warmup: view.warmup_of(chosen, now),
                class,
                zones_revision: view.zones.confirmed_revision(),
                rest,
                ..PacketFrame::new(FramePurpose::Offer, chosen.service, self.own_address)
            },
            placed: Some(PlacedFlow {
                agent: chosen.agent,
                service: chosen.service,
                score,
                choices: saturating_u16(ranked.len()),
                load_age,
                attempt: saturating_u16(tried.len()),
            }),
            relay: None,
        })
    }

    /// Returns the best target of each other service of the route, as a fallback when the targets
    /// of the selected service are all busy. A route may send most of its flows to the service with
    /// the fewest targets. Without the fallback, when all clients open flows at once after a power
    /// loss, that service refuses a tenth of them for seconds while the other one idles.
    fn fallback_targets<'v>(
        &self,
        route: &FlowRoute,
        selected: ServiceId,
        tried: &[ServiceAgent],
        view: &'v FlowView,
        point: u64,
        now: Moment,
    ) -> SmallVec<[(f32, &'v FlowTarget); 2]> {
        let services = route.shares.iter().map(|&(service, _)| service);
        let others = services.filter(|service| *service != selected);
        let best = others.filter_map(|service| {
            let ranked = self.rank_targets(route, service, tried, view, point, now);
            ranked.first().copied()
        });
        best.collect()
    }

    fn store_offer(
        &self,
        flow: &FlowKey,
        chosen: &FlowTarget,
        tried: &[ServiceAgent],
        now: Moment,
    ) {
        let mut shard = self.shard(flow.point()).lock();
        let before = shard.flows.get(flow).map(|entry| entry.created);
        let mut entry = FlowEntry::new(chosen.agent, chosen.service, EntryState::Offered, now);
        entry.offered = SmallVec::from_slice(tried);
        entry.offered.push(ServiceAgent::of(chosen));
        if !tried.is_empty() {
            entry.created = before.unwrap_or(now);
        }
        shard
            .flows
            .insert(*flow, entry, RETRANSMIT_WINDOW * 10, now);
    }

    /// Ranks the targets of a service that may get a flow, best first. Targets of a worse tier are
    /// left out as far as better ones exist.
    fn rank_targets<'v>(
        &self,
        route: &FlowRoute,
        service: ServiceId,
        tried: &[ServiceAgent],
        view: &'v FlowView,
        point: u64,
        now: Moment,
    ) -> SmallVec<[(f32, &'v FlowTarget); SEARCH_CANDIDATES]> {
        let Some(targets) = view.service(service) else {
            return SmallVec::new();
        };
        let loads = self.loads.lock();
        let mean = loads.service_mean(service);
        let max_flows = view.max_flows_of(service);
        let mut ranked: SmallVec<[RankedTarget; SEARCH_CANDIDATES]> = SmallVec::new();
        for target in targets.clockwise_from(point) {
            let is_known = ranked
                .iter()
                .any(|known| known.target.agent == target.agent);
            if is_known || tried.iter().any(|other| other.agent == target.agent) {
                continue;
            }
            if ranked.len() == PLACEMENT_CANDIDATES {
                break;
            }
            let load = loads.load(target.agent);
            if let Some(tier) = tier_of(target, route, view, load, max_flows, now) {
                let near = view.zones.is_near(target.zone);
                let random = tie_breaker(point, target);
                let (score, work) = score_target(target, load, mean, near, random, now);
                ranked.push(RankedTarget {
                    tier,
                    score,
                    work,
                    near,
                    target,
                });
            }
        }
        if mean.is_some() {
            add_excess_work(&mut ranked);
        }
        drop(loads);
        ranked.sort_by(|a, b| a.tier.cmp(&b.tier).then(a.score.total_cmp(&b.score)));
        // A leaving target is not a useful alternative: include only targets that may be chosen
        // now.
        let best = ranked.first().map_or(0, |first| first.tier);
        ranked
            .into_iter()
            .filter(|ranked| ranked.tier <= best.max(1))
            .map(|ranked| (ranked.score, ranked.target))
            .collect()
    }

    fn record_offer_timeout(
        &self,
        agent: AgentAddress,
        service: ServiceId,
        view: &FlowView,
        now: Moment,
    ) {
        let targets = view.service(service).map_or(&[][..], |ring| ring.targets());
        if let Some(target) = targets.iter().find(|target| target.agent == agent) {
            self.loads.lock().record_unanswered(target, now);
        }
    }
}

/// A target that may get a flow.
#[derive(Clone, Copy, Debug)]
struct RankedTarget<'v> {
    tier: u8,
    score: f32,
    /// The expected work of the target's open flows.
    work: f32,
    near: bool,
    target: &'v FlowTarget,
}

/// Adds the cost of excess work to the scores. Targets are compared within their zone only: whether
/// flows leave the zone depends on the expected wait there, not on how evenly its targets are used.
fn add_excess_work(ranked: &mut [RankedTarget<'_>]) {
    for near in [true, false] {
        let (mut count, mut sum, mut least) = (0.0, 0.0, f32::INFINITY);
        let first_choices = ranked.iter().filter(|known| known.tier == 0);
        for known in first_choices.filter(|known| known.near == near) {
            count += 1.0;
            sum += known.work;
            least = least.min(known.work);
        }
        if count == 0.0 {
            continue;
        }
        for known in ranked.iter_mut().filter(|known| known.near == near) {
            known.score += excess_work_cost(known.work, least, sum / count);
        }
    }
}

/// Saturates a small count to 16 bits.
fn saturating_u16(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Returns a target as an alternative in the frame of an offer.
fn candidate_of(target: &FlowTarget, view: &FlowView, now: Moment) -> Candidate {
    Candidate {
        agent: target.agent,
        service: target.service,
        slots: target.slots,
        warmup: view.warmup_of(target, now),
    }
}

/// Returns why no target accepts a new flow of a route.
fn refusal_reason(route: &FlowRoute, view: &FlowView) -> RefusalReason {
    let shares = route.shares.iter();
    let rings = shares.filter_map(|(service, _)| view.service(*service));
    let mut targets = rings.flat_map(ServiceTargets::targets);
    let is_evacuated = |target: &FlowTarget| {
        let serves =
            target.standing == FlowStanding::Serving && view.allows_new_flows(route, target);
        serves && view.zones.is_evacuated(target.zone)
    };
    if targets.any(is_evacuated) {
        RefusalReason::Evacuated
    } else {
        RefusalReason::NoTarget
    }
}

/// Returns the tier of a target for a new flow, 0 being the best; `None` if it must not get one.
fn tier_of(
    target: &FlowTarget,
    route: &FlowRoute,
    view: &FlowView,
    load: Option<&TargetLoad>,
    max_flows: Option<NonZeroU32>,
    now: Moment,
) -> Option<u8> {
    let zones = &view.zones;
    if !view.allows_new_flows(route, target) {
        return None;
    }
    let excluded = load.is_some_and(|load| {
        load.knows_evacuated(zones.revision) || load.is_reassigned(target, now)
    });
    if excluded || zones.is_evacuated(target.zone) || target.superseded || view.is_withheld(target)
    {
        return None;
    }
    let is_first_choice = load.is_none_or(|load| load.is_first_choice(max_flows, now));
    match target.standing {
        FlowStanding::Serving if is_first_choice => Some(0),
        FlowStanding::Serving | FlowStanding::Lapsed => Some(1),
        FlowStanding::Unreadable => None,
        FlowStanding::Leaving => {
            let recent = now.since(target.standing_since) < LAST_RESORT_WINDOW;
            (recent && target.listed).then_some(2)
        }
    }
}

/// Returns a number from 0 to 1 that differs between flows and targets.
#[allow(clippy::cast_precision_loss)]
fn tie_breaker(point: u64, target: &FlowTarget) -> f32 {
    let mixed = (point ^ target.key.0.rotate_left(17)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 40) as f32 / (1_u64 << 24) as f32
}
