//! Flows that this balancer does not know: another balancer placed them, or its memory is gone.
//!
//! First the flow's candidates are asked, all at once and with the packet itself. The one that holds
//! it delivers the packet and says so; the others say that they do not. At the few targets of a
//! service that costs some datagrams for the first packet of a flow that moved, and a dead agent
//! among them delays nothing.
//!
//! What goes wrong if the search merely ended in silence: after a power loss every client goes on
//! sending on flows that no longer exist, and each loses a request to its deadline before it
//! opens a new one. So when the candidates have all said no, or do not answer, the packet is shown
//! to everybody else, and when everybody who could hold the flow has said no, it is reset. The
//! second step also finds a flow whose target is no candidate any more, since many others have
//! joined meanwhile.
//!
//! A search goes on by itself ([`FlowBalancer::due_searches`]). What went wrong while it waited for
//! the client's next packet: a client repeats itself after 200 ms, then 400 and 800 more, so each
//! step that was not due yet at one packet cost its request most of the time that it had.
//!
//! ```text
//! candidates asked --all say no--> everybody asked --all say no--> lost
//!        |                               |
//!        +--- some silent for 150 ms ----+--> silent ones asked again --every 250 ms--> lost, if
//!                                                  none of them can still hold it and be reached
//! ```
//!
//! Who is silent is learned once and shared by all searches ([`FlowBalancer::drop_silent`]). The more
//! agents are asked, the more likely one of them is away, so each search would wait for it anew.
//!
//! While the view may lack targets, that everybody said no proves nothing. Their words stay good: a
//! flow that is open does not come to a target that does not hold it. So the search waits for the view
//! to be complete, asks whoever is new in it, and ends.

use std::sync::atomic::Ordering;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, Moment};

use super::asking::{self, AskedList};
use super::entry::{EntryState, FlowEntry, FlowSearch, SearchStep};
use super::loss::{GONE_SPAN, UNREACHABLE_SPAN};
use super::search_frames::{FrameMaker, SearchFrames, errand_bytes};
use super::{BalancerStep, COPY_SPAN, FlowBalancer, FlowReset, FlowShard, LossReason};
use crate::frame::{ErrandWord, FlowNote};
use crate::packet::{FlowKey, FlowPacket};
use crate::view::FlowView;

/// Answers to a search that are older than this count no more.
const SEARCH_SPAN: Duration = Duration::from_secs(2);

/// While a search is that young, packets without data are not worth another one: a client in the
/// middle of a download sends dozens, each acknowledges all before it, and each search costs a
/// datagram to every agent. Without this bound an agent saw a thousand of them a second after a
/// power loss.
const REPEAT_SPAN: Duration = Duration::from_millis(30);

/// How long those who were asked may take to answer before the search goes on without them. One
/// that is dead never does; a calm answer takes some milliseconds.
const ANSWER_SPAN: Duration = Duration::from_millis(150);

/// While so many or fewer of a flow's candidates have not answered, the second step waits for them as long as
/// the others took several times over, and no longer: one that has just stopped never answers, and the
/// flow may live elsewhere. After a restart of all processes beside living targets two thirds of the
/// searches of a fleet of 136 had such a one among their candidates, and waited 150 ms for it.
const FEW_SILENT: usize = 4;

/// See [`FEW_SILENT`]: four times what the slowest of the others took.
const PATIENCE: u32 = 4;

/// See [`FEW_SILENT`]: at least this, ten times a calm round trip between availability zones.
const LEAST_PATIENCE: Duration = Duration::from_millis(20);

/// How long an agent whose target the store no longer lists may stay silent after it was asked for
/// the second time, until it counts as gone. A living one answers within some milliseconds, and
/// two datagrams are not lost by chance. Without this bound a search waited for targets that had
/// left, and for as long as any had left within three seconds, no flow was known to be lost.
const SILENT_SPAN: Duration = Duration::from_millis(250);

/// When a flow is searched for again after everybody has said no and that proved nothing, because
/// the view may lack targets: the flow's own may be in the view by then. Less than the 200 ms after
/// which a client repeats itself; a client in the middle of a download sends dozens of packets in
/// that time.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(150);

/// How often a search that everybody has answered looks whether the view is complete by now, so that
/// their answers prove something. A tenth of what a client waits before it repeats itself; the
/// searches of a moment are looked at together.
const DOUBT_PAUSE: Duration = Duration::from_millis(25);

/// When a search that has no budget to ask everybody tries again.
const BUDGET_PAUSE: Duration = Duration::from_millis(40);

/// What a search that waits for answers does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DueSearch {
    /// Its packet is shown to more agents, or once more to silent ones.
    Ask {
        /// The flow.
        flow: FlowKey,
        /// The client's packet.
        bytes: Box<[u8]>,
        /// To whom, in which frames.
        frames: SearchFrames,
    },
    /// Nobody holds the flow.
    Lost(FlowReset),
    /// So many may hold it that one search may not ask them all: whether it is lost stays unknown.
    Abandoned {
        /// The flow.
        flow: FlowKey,
        /// How many agents would have to be asked.
        holders: usize,
    },
}

/// Whether everybody could be asked.
enum Widening {
    Asked(AskedList),
    /// The budget is used up for now.
    Later,
    /// So many agents are more than one search may ask.
    Never(usize),
}

impl FlowBalancer {
    /// Asks those who may hold the packet's flow, but for `except`, who does not.
    pub(super) fn search(
        &self,
        packet: &FlowPacket,
        bytes: &[u8],
        except: Option<AgentAddress>,
        view: &FlowView,
        now: Moment,
    ) -> BalancerStep {
        let Some(route) = view.route(&packet.flow) else {
            return BalancerStep::Drop;
        };
        let mut shard = self.shard(packet.flow.point()).lock();
        let known = shard.searches.get_mut(&packet.flow);
        let known = known.filter(|search| !is_over(search, now));
        if let Some(search) = known {
            if search.step == SearchStep::Exhausted {
                return BalancerStep::Drop;
            }
            if now.since(search.last) < REPEAT_SPAN && packet.data_bytes == 0 {
                return BalancerStep::Drop;
            }
            search.last = now;
            search.acknowledged = packet.acknowledged;
            let asked = self.ask_further(packet.flow, search, view, now);
            return self.search_step(packet.flow, search, asked, now);
        }
        let (mut search, asked) = asking::first_search(packet, bytes, except, route, view, now);
        self.drop_silent(&mut search, view, now);
        self.go_on_at(now + ANSWER_SPAN, packet.flow, &mut search);
        let step = self.search_step(packet.flow, &mut search, asked, now);
        shard.searches.insert(packet.flow, search, SEARCH_SPAN, now);
        step
    }

    fn search_step(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        asked: AskedList,
        now: Moment,
    ) -> BalancerStep {
        if asked.is_empty() {
            return BalancerStep::Drop;
        }
        BalancerStep::Search(self.search_frames(flow, search, asked, now))
    }

    /// The searches that go on now: to more agents, or to their end.
    pub fn due_searches(&self, view: &FlowView, now: Moment) -> Vec<DueSearch> {
        let complete = view.is_complete();
        if complete != self.complete.swap(complete, Ordering::Relaxed) && complete {
            self.resume_repeated(now);
        }
        let mut due = Vec::new();
        loop {
            let next = self.schedule.lock().pop_due(now);
            let Some(flow) = next else {
                return due;
            };
            due.extend(self.go_on(flow, view, now));
        }
    }

    /// Lets the searches that wait for silent agents go on at once: the view has become complete, and says
    /// which of these agents' targets are gone.
    fn resume_repeated(&self, now: Moment) {
        for shard in &self.shards {
            shard.lock().searches.visit(|flow, search| {
                let waits = search.step == SearchStep::Repeated && now < search.due;
                if waits && now.since(search.asked_at) >= SILENT_SPAN {
                    self.go_on_at(now, *flow, search);
                }
            });
        }
    }

    /// Only the last time that was set for a search counts: it may have been set anew meanwhile.
    fn go_on_at(&self, due: Moment, flow: FlowKey, search: &mut FlowSearch) {
        search.due = due;
        self.schedule.lock().push(flow, due);
    }

    fn go_on(&self, flow: FlowKey, view: &FlowView, now: Moment) -> Option<DueSearch> {
        let mut shard = self.shard(flow.point()).lock();
        let search = shard.searches.get_mut(&flow)?;
        if now < search.due || is_stale(search, now) {
            return None;
        }
        if search.step == SearchStep::Exhausted {
            if !view.is_complete() {
                self.go_on_at(now + DOUBT_PAUSE, flow, search);
                return None;
            }
            search.resume();
        }
        self.drop_silent(search, view, now);
        let asked = match search.step {
            SearchStep::Candidates => match self.widen(flow, search, view, now) {
                Widening::Asked(asked) => asked,
                Widening::Later => {
                    self.go_on_at(now + BUDGET_PAUSE, flow, search);
                    return None;
                }
                Widening::Never(holders) => {
                    search.step = SearchStep::Abandoned;
                    return Some(DueSearch::Abandoned { flow, holders });
                }
            },
            SearchStep::Everybody => {
                search.step = SearchStep::Repeated;
                unanswered(search)
            }
            SearchStep::Repeated => {
                search
                    .open
                    .retain(|open| view.may_live_beside(open.candidate.agent));
                self.heard_since_asked(search)
            }
            SearchStep::Exhausted | SearchStep::Abandoned => return None,
        };
        if search.open.is_empty() {
            return self.end_search(&mut shard, flow, now).map(DueSearch::Lost);
        }
        let wait = if search.step == SearchStep::Repeated {
            SILENT_SPAN
        } else {
            ANSWER_SPAN
        };
        self.go_on_at(now + wait, flow, search);
        if asked.is_empty() {
            return None;
        }
        search.asked_at = now;
        let frames = self.search_frames(flow, search, asked, now);
        let bytes = search.bytes.clone();
        Some(DueSearch::Ask {
            flow,
            bytes,
            frames,
        })
    }

    fn search_frames(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        asked: AskedList,
        now: Moment,
    ) -> SearchFrames {
        let mut loads = self.loads.lock();
        let mut maker = FrameMaker {
            own: self.own,
            loads: &loads,
            budget: &mut self.budget.lock(),
            now,
        };
        let frames = maker.make(flow, search, asked);
        for open in search.open.iter().filter(|open| open.through.is_none()) {
            loads.note_sent(open.candidate.agent, open.candidate.service, now);
        }
        frames
    }

    /// Does not wait for those who are known not to answer: asked long ago, probed twice since, and not
    /// heard, while others were. The same ends the flows that are known to be at such a target. A search
    /// by itself waits 400 ms and more to learn it, and did so anew for each lost flow.
    ///
    /// Where the store lists the target no more, or the agent said that it stops, that is proof. Where
    /// it does, the flow is told to be out of reach, if its requests may be run again. That buys 1.2 s of a
    /// fleet's requests on kept flows after a loss of power: machines that never come back stay listed for
    /// three heartbeats (3.6 s), and until then no lost flow was told.
    fn drop_silent(&self, search: &mut FlowSearch, view: &FlowView, now: Moment) {
        let loads = self.loads.lock();
        let FlowSearch {
            open,
            idempotent,
            unreachable,
            ..
        } = search;
        open.retain(|open| {
            let agent = open.candidate.agent;
            if loads.is_gone(agent, GONE_SPAN, now) && !view.may_live_beside(agent) {
                return false;
            }
            let is_away = *idempotent && loads.is_silent(agent, UNREACHABLE_SPAN, now);
            *unreachable |= is_away;
            !is_away
        });
    }

    /// Those who have not answered and were heard again since they were asked: processes that were
    /// started anew, and know nothing of the ask.
    fn heard_since_asked(&self, search: &FlowSearch) -> AskedList {
        let loads = self.loads.lock();
        let open = search.open.iter().map(|open| open.candidate);
        open.filter(|candidate| {
            let load = loads.load(candidate.agent);
            load.is_some_and(|load| load.heard > search.asked_at)
        })
        .collect()
    }

    /// When a search need not wait any longer for candidates that have not answered: at once where all of
    /// them already owe answers, to this search or to another.
    fn second_step_due(&self, search: &FlowSearch, now: Moment) -> Moment {
        let loads = self.loads.lock();
        let mut open = search.open.iter();
        if open.all(|open| loads.is_overdue(open.candidate.agent, ANSWER_SPAN, now)) {
            return now;
        }
        if search.open.len() > FEW_SILENT {
            return search.due;
        }
        let others_took = now.since(search.started);
        search.started + (others_took * PATIENCE).max(LEAST_PATIENCE)
    }

    /// Whom to show another packet of a flow that is being searched for: those who have not
    /// answered, or, when they have had their time, those who were not asked yet as well.
    fn ask_further(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> AskedList {
        let waits = !search.open.is_empty() && now.since(search.started) < ANSWER_SPAN;
        if waits || search.step != SearchStep::Candidates {
            return unanswered(search);
        }
        match self.widen(flow, search, view, now) {
            Widening::Asked(asked) => asked,
            Widening::Later | Widening::Never(_) => unanswered(search),
        }
    }

    /// Adds everybody who was not asked yet; whom to ask now, those who have not answered among them.
    fn widen(
        &self,
        flow: FlowKey,
        search: &mut FlowSearch,
        view: &FlowView,
        now: Moment,
    ) -> Widening {
        let mut all = asking::possible_holders(view, now);
        if let Some(route) = view.route(&flow) {
            search.leave_out(&mut all, route, view, now);
        }
        let bytes = errand_bytes(all.len(), search.bytes.len());
        let mut budget = self.budget.lock();
        if !budget.allows(bytes) {
            return Widening::Never(all.len());
        }
        if !budget.has(bytes, now) {
            return Widening::Later;
        }
        drop(budget);
        search.step = SearchStep::Everybody;
        let unanswered = unanswered(search);
        let unasked = search.unasked(all);
        let mut asked = search.ask(unasked.into_iter(), now);
        asked.extend(unanswered);
        self.drop_silent(search, view, now);
        Widening::Asked(asked)
    }

    /// Takes an agent's word that it does not hold a flow; a reset when nobody does.
    pub(super) fn note_absent(&self, note: &FlowNote, now: Moment) -> Option<FlowReset> {
        let agent = note.load.agent;
        let mut shard = self.shard(note.flow.point()).lock();
        let held = shard.flows.get(&note.flow);
        if held.is_some_and(|entry| entry.agent == agent && entry.state != EntryState::Lost) {
            shard.flows.remove(&note.flow);
        }
        let search = shard.searches.get_mut(&note.flow)?;
        search.open.retain(|open| open.candidate.agent != agent);
        self.search_answered(&mut shard, note.flow, now)
    }

    /// Takes the end of an errand: all that it covered but the silent ones said no.
    pub(super) fn note_errand_end(&self, word: &ErrandWord, now: Moment) -> Option<FlowReset> {
        let mut shard = self.shard(word.flow.point()).lock();
        let search = shard.searches.get_mut(&word.flow)?;
        let through = Some(word.delegate);
        search
            .open
            .retain(|open| open.through != through || word.silent.contains(&open.candidate.agent));
        let mut loads = self.loads.lock();
        for open in search.open.iter().filter(|open| open.through == through) {
            loads.note_sent(open.candidate.agent, open.candidate.service, now);
        }
        drop(loads);
        self.search_answered(&mut shard, word.flow, now)
    }

    /// Ends a search that everybody has answered, or goes on to those not asked yet.
    fn search_answered(
        &self,
        shard: &mut FlowShard,
        flow: FlowKey,
        now: Moment,
    ) -> Option<FlowReset> {
        let search = shard.searches.get_mut(&flow)?;
        if search.step == SearchStep::Candidates {
            let due = self.second_step_due(search, now);
            if due < search.due {
                self.go_on_at(due, flow, search);
            }
            return None;
        }
        self.end_search(shard, flow, now)
    }

    /// Ends a search for a flow that nobody holds; `None` while that is not known.
    fn end_search(&self, shard: &mut FlowShard, flow: FlowKey, now: Moment) -> Option<FlowReset> {
        let search = shard.searches.get_mut(&flow)?;
        if !search.open.is_empty() || !search.has_asked_everybody() {
            return None;
        }
        if !search.certain || search.withheld {
            search.step = SearchStep::Exhausted;
            self.go_on_at(now + DOUBT_PAUSE, flow, search);
            return None;
        }
        let reason = if search.unreachable {
            LossReason::AgentSilent
        } else {
            LossReason::Unheld
        };
        Some(shard.note_lost(flow, reason, now))
    }
}

/// Whether the flow's next packet begins another search.
fn is_over(search: &FlowSearch, now: Moment) -> bool {
    let again = search.step == SearchStep::Exhausted && now.since(search.last) >= EXHAUSTED_PAUSE;
    again || is_stale(search, now)
}

/// Whether a search is so old that its answers count no more.
fn is_stale(search: &FlowSearch, now: Moment) -> bool {
    now.since(search.started) >= SEARCH_SPAN
}

fn unanswered(search: &FlowSearch) -> AskedList {
    search.open.iter().map(|open| open.candidate).collect()
}

impl FlowSearch {
    /// Goes on in a view that is complete, after everybody in an earlier one has said no.
    fn resume(&mut self) {
        self.certain = true;
        self.step = SearchStep::Candidates;
    }

    fn has_asked_everybody(&self) -> bool {
        !matches!(self.step, SearchStep::Candidates | SearchStep::Abandoned)
    }
}

impl FlowShard {
    /// Notes that nobody holds a flow that was searched for.
    fn note_lost(&mut self, flow: FlowKey, reason: LossReason, now: Moment) -> FlowReset {
        let search = self.searches.remove(&flow);
        let acknowledged = search.map_or(0, |search| search.acknowledged);
        let mut entry = FlowEntry::lost(now);
        entry.acknowledged = acknowledged;
        self.flows.insert(flow, entry, COPY_SPAN * 10, now);
        FlowReset {
            flow,
            acknowledged,
            reason,
        }
    }
}
