//! The way of a configuration from the platform into force on every process.
//!
//! The members, their messages and the platform's answers are those of the rig that measures
//! what control costs; here each fault strikes before each step of an operator.

use std::time::Duration;

use lovagelatch_capacity::{MemberRig, PlatformState, RigNetwork, rig_address, rig_list, rig_text};
use lovagelatch_domain::Moment;
use lovagelatch_membership::FleetView;
use lovagelatch_settings::ServiceText;

use crate::history::{MatrixEvent, MatrixHistory};
use crate::plan::FaultPlan;

const BALANCERS: u32 = 4;
const SERVICES: u32 = 2;
const TARGETS: u32 = 8;
const ZONES: u32 = 4;
const ADDRESSES: u32 = 2;

/// The zone that a partition cuts off, and the others.
const CUT_ZONE: &str = "zone-3";
const OTHER_ZONES: [&str; 3] = ["zone-0", "zone-1", "zone-2"];

/// The member that sleeps or starts anew.
const SLEEPER: usize = 2;

const INVALID: &str = "[service service-0]\naddress = nowhere\n";
const SETTLE: Duration = Duration::from_secs(8);
const STEP_TIME: Duration = Duration::from_secs(3);
const END_TIME: Duration = Duration::from_secs(11);
const LOOK: Duration = Duration::from_millis(200);

/// Steps that a fault lasts: one, or long enough that the limit on spreading ends under it.
const SHORT: usize = 1;
const LONG: usize = 4;

/// What goes wrong with a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// The platform answers nothing.
    PlatformDown,
    /// The platform answers with the first revision, and some ask again.
    PlatformStale,
    /// Three of ten datagrams are lost.
    LostFrames,
    /// Nearly all datagrams come twice.
    DoubledFrames,
    /// Most datagrams come up to a second late.
    LateFrames,
    /// A zone is cut off from all others and from the platform.
    ZoneCutOff,
    /// A zone hears all others, and neither they nor the platform hear it.
    ZoneCutOneWay,
    /// Half of the zones do not reach the platform.
    HalfCutFromPlatform,
    /// A member stops, and wakes when the fault ends.
    MemberSleeps,
    /// A member is replaced by a fresh one.
    MemberFresh,
    /// Three members that read the platform die.
    ReadersKilled,
    /// An invalid text is published besides.
    InvalidBetween,
}

/// All of them.
pub const CONFIG_FAULTS: [ConfigFault; 12] = [
    ConfigFault::PlatformDown,
    ConfigFault::PlatformStale,
    ConfigFault::LostFrames,
    ConfigFault::DoubledFrames,
    ConfigFault::LateFrames,
    ConfigFault::ZoneCutOff,
    ConfigFault::ZoneCutOneWay,
    ConfigFault::HalfCutFromPlatform,
    ConfigFault::MemberSleeps,
    ConfigFault::MemberFresh,
    ConfigFault::ReadersKilled,
    ConfigFault::InvalidBetween,
];

/// What operators do, step by step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigStep {
    /// A change is published.
    Publish,
    /// A text with faults is published.
    PublishInvalid,
    /// Two changes are published at once.
    PublishTwice,
    /// Nothing; gossip goes on.
    Spread,
    /// One more change is published.
    PublishAgain,
}

/// All of them, in order.
pub const CONFIG_STEPS: [ConfigStep; 5] = [
    ConfigStep::Publish,
    ConfigStep::PublishInvalid,
    ConfigStep::PublishTwice,
    ConfigStep::Spread,
    ConfigStep::PublishAgain,
];

/// Plays an operator's steps under the faults of a plan.
#[must_use]
pub fn play_configuration(plan: &FaultPlan<ConfigFault, ConfigStep>) -> MatrixHistory {
    let mut run = ConfigRun::new(plan.seed);
    let lasts = if plan.seed.is_multiple_of(2) {
        SHORT
    } else {
        LONG
    };
    let mut ends: Vec<(usize, ConfigFault)> = Vec::new();
    for (number, step) in CONFIG_STEPS.into_iter().enumerate() {
        for fault in plan.faults_at(step) {
            run.start(fault, step);
            ends.push((number + lasts, fault));
        }
        run.take_step(step);
        run.watch(STEP_TIME);
        ends.retain(|(end, fault)| {
            let over = *end <= number + 1;
            if over {
                run.end(*fault);
            }
            !over
        });
    }
    // What lasts longer is watched until its spreading is due, then ends.
    if !ends.is_empty() {
        run.watch(END_TIME);
    }
    for (_, fault) in ends {
        run.end(fault);
    }
    run.watch(END_TIME);
    run.history
}

struct ConfigRun {
    rig: MemberRig,
    history: MatrixHistory,
    starts: Vec<u64>,
    held: Vec<u64>,
    /// Since when nothing has changed in what should be in force and who can be reached.
    steady_since: Moment,
    newest: u64,
}

impl ConfigRun {
    fn new(seed: u64) -> Self {
        let list = rig_list(BALANCERS, SERVICES, TARGETS, ZONES);
        let mut rig = MemberRig::new(list, rig_text(SERVICES, ADDRESSES, 0), seed);
        rig.run(SETTLE);
        let count = rig.nodes.len();
        let mut run = Self {
            steady_since: rig.now,
            rig,
            history: MatrixHistory::default(),
            starts: vec![1; count],
            held: vec![0; count],
            newest: 0,
        };
        run.look();
        run
    }

    fn note(&mut self, event: MatrixEvent) {
        self.history.note(self.rig.now, event);
    }

    fn take_step(&mut self, step: ConfigStep) {
        match step {
            ConfigStep::Publish | ConfigStep::PublishAgain => self.publish(),
            ConfigStep::PublishInvalid => self.publish_invalid(),
            ConfigStep::PublishTwice => {
                self.publish();
                self.publish();
            }
            ConfigStep::Spread => {}
        }
    }

    fn publish(&mut self) {
        let change = u32::try_from(self.rig.platform.texts.len()).unwrap_or(0);
        let text = rig_text(SERVICES, ADDRESSES, change);
        let revision = self.rig.publish(text);
        self.note(MatrixEvent::Published {
            revision,
            valid: true,
        });
    }

    fn publish_invalid(&mut self) {
        let revision = self.rig.publish(INVALID.to_owned());
        self.note(MatrixEvent::Published {
            revision,
            valid: false,
        });
    }

    fn start(&mut self, fault: ConfigFault, step: ConfigStep) {
        self.note(MatrixEvent::Fault(format!("{fault:?} at {step:?}")));
        self.steady_since = self.rig.now;
        let rig = &mut self.rig;
        let zone = |name: &str| name.parse().expect("a valid name");
        match fault {
            ConfigFault::PlatformDown => rig.set_platform(PlatformState::Down),
            ConfigFault::PlatformStale => {
                rig.set_platform(PlatformState::Stale(1));
                let now = rig.now;
                for node in rig.nodes.iter_mut().step_by(3) {
                    node.member.resync(now);
                }
            }
            ConfigFault::LostFrames => rig.network.drop = 0.3,
            ConfigFault::DoubledFrames => rig.network.duplicate = 0.9,
            ConfigFault::LateFrames => rig.network.late = 0.7,
            ConfigFault::ZoneCutOff | ConfigFault::ZoneCutOneWay => {
                for other in OTHER_ZONES {
                    rig.cuts.push((zone(CUT_ZONE), zone(other)));
                    if fault == ConfigFault::ZoneCutOff {
                        rig.cuts.push((zone(other), zone(CUT_ZONE)));
                    }
                }
                rig.platform_cuts.push(zone(CUT_ZONE));
                rig.complete_watches();
            }
            ConfigFault::HalfCutFromPlatform => {
                rig.platform_cuts.push(zone(OTHER_ZONES[0]));
                rig.platform_cuts.push(zone(OTHER_ZONES[1]));
                rig.complete_watches();
            }
            ConfigFault::MemberSleeps => rig.nodes[SLEEPER].paused = true,
            ConfigFault::MemberFresh => {
                let zone = rig.nodes[SLEEPER].zone.clone();
                let address = u32::try_from(SLEEPER).unwrap_or(0);
                rig.add_member(rig_address(address), zone, None);
                self.starts[SLEEPER] += 1;
                self.held[SLEEPER] = 0;
            }
            ConfigFault::ReadersKilled => {
                let now = rig.now;
                let readers = rig.nodes.iter_mut().filter(|node| node.running);
                let readers = readers.filter(|node| node.member.status(now).reader);
                for node in readers.skip(3).take(3) {
                    node.running = false;
                }
            }
            ConfigFault::InvalidBetween => self.publish_invalid(),
        }
    }

    fn end(&mut self, fault: ConfigFault) {
        self.steady_since = self.rig.now;
        let rig = &mut self.rig;
        match fault {
            ConfigFault::PlatformDown | ConfigFault::PlatformStale => {
                rig.set_platform(PlatformState::Up);
            }
            ConfigFault::LostFrames | ConfigFault::DoubledFrames | ConfigFault::LateFrames => {
                rig.network = RigNetwork::default();
            }
            ConfigFault::ZoneCutOff
            | ConfigFault::ZoneCutOneWay
            | ConfigFault::HalfCutFromPlatform => {
                rig.cuts.clear();
                rig.platform_cuts.clear();
            }
            ConfigFault::MemberSleeps => rig.nodes[SLEEPER].paused = false,
            ConfigFault::MemberFresh | ConfigFault::ReadersKilled | ConfigFault::InvalidBetween => {
            }
        }
    }

    /// Lets time pass and looks at every member again and again.
    fn watch(&mut self, time: Duration) {
        let end = self.rig.now + time;
        while self.rig.now < end {
            self.rig.run(LOOK);
            self.look();
        }
    }

    fn look(&mut self) {
        for node in 0..self.rig.nodes.len() {
            let view = self.rig.nodes[node].member.view();
            let revision = view.revision().0;
            if !self.rig.nodes[node].running || revision == self.held[node] {
                continue;
            }
            let sound = is_sound(view, &self.rig.platform.texts);
            self.held[node] = revision;
            let start = self.starts[node];
            self.note(MatrixEvent::InForce {
                node,
                start,
                revision,
                sound,
            });
        }
        self.check_spread();
    }

    fn reachable(&self, node: usize) -> bool {
        let node = &self.rig.nodes[node];
        let cut = self
            .rig
            .cuts
            .iter()
            .any(|(from, to)| *from == node.zone || *to == node.zone);
        let cut_zone = node.zone.as_str() == CUT_ZONE && cut;
        node.running && !node.paused && !cut_zone
    }

    /// The newest valid revision that anybody who can be reached holds or can read.
    fn newest(&self) -> u64 {
        let nodes = (0..self.held.len()).filter(|node| self.reachable(*node));
        let held = nodes.map(|node| self.held[node]).max().unwrap_or(0);
        if self.rig.platform.state != PlatformState::Up {
            return held;
        }
        let mut texts = self.rig.platform.texts.iter();
        let valid = texts.rposition(|text| ServiceText::parse(text).is_ok());
        valid.map_or(0, |at| at as u64 + 1).max(held)
    }

    fn check_spread(&mut self) {
        let newest = self.newest();
        if newest != self.newest {
            self.newest = newest;
            self.steady_since = self.rig.now;
        }
        let reachable_for = self.rig.now.since(self.steady_since);
        if reachable_for < crate::promise::SPREAD_LIMIT {
            return;
        }
        let nodes = (0..self.held.len()).filter(|node| self.reachable(*node));
        let missing = nodes.filter(|node| self.held[*node] != newest).count();
        self.note(MatrixEvent::SpreadDue {
            revision: newest,
            missing,
            reachable_for,
        });
    }
}

/// Whether a view holds what was published under its revision, and that is valid.
fn is_sound(view: &FleetView, texts: &[String]) -> bool {
    let number = usize::try_from(view.revision().0).unwrap_or(0);
    let Some(published) = number.checked_sub(1).and_then(|at| texts.get(at)) else {
        return number == 0;
    };
    let Ok(parsed) = ServiceText::parse(published) else {
        return false;
    };
    parsed.services.iter().all(|service| {
        let held = view.text().service(service.name.as_str());
        held.is_some_and(|held| held.once == service.once)
    })
}
