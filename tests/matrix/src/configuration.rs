//! Propagation of a configuration from the platform to every process.
//!
//! The members, their messages and the platform's responses are those of the rig that measures the
//! cost of the control plane. Here each fault is injected before each step of an operator.

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

/// The zone that a partition isolates.
const PARTITIONED_ZONE: &str = "zone-3";

/// The zones on the other side of the partition.
const OTHER_ZONES: [&str; 3] = ["zone-0", "zone-1", "zone-2"];

/// The member that is paused or replaced.
const AFFECTED_MEMBER: usize = 2;

const INVALID_TEXT: &str = "[service service-0]\naddress = nowhere\n";
const SETTLE_TIME: Duration = Duration::from_secs(8);
const STEP_DURATION: Duration = Duration::from_secs(3);
const RECOVERY_TIME: Duration = Duration::from_secs(11);
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of steps that a short fault lasts.
const SHORT_FAULT_STEPS: usize = 1;

/// Number of steps that a long fault lasts: longer than [`crate::PROPAGATION_TIMEOUT`].
const LONG_FAULT_STEPS: usize = 4;

/// A fault in the propagation of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigFault {
    /// The platform does not respond.
    PlatformDown,
    /// The platform responds with the first revision, and a third of the members resync.
    PlatformStale,
    /// 30% of the datagrams are lost.
    LostFrames,
    /// 90% of the datagrams are duplicated.
    DuplicatedFrames,
    /// 70% of the datagrams are delayed by up to one second.
    DelayedFrames,
    /// A zone is partitioned from all others and from the platform.
    ZonePartitioned,
    /// A zone receives from all others, but neither they nor the platform receive from it.
    ZonePartitionedOneWay,
    /// Half of the zones cannot reach the platform.
    PlatformPartitioned,
    /// A member is paused until the fault ends.
    MemberPaused,
    /// A member is replaced by one without state.
    MemberReplaced,
    /// Three of the members that read the platform are killed.
    ReadersKilled,
    /// An additional, invalid text is published.
    InvalidPublished,
}

/// All configuration faults.
pub const CONFIG_FAULTS: [ConfigFault; 12] = [
    ConfigFault::PlatformDown,
    ConfigFault::PlatformStale,
    ConfigFault::LostFrames,
    ConfigFault::DuplicatedFrames,
    ConfigFault::DelayedFrames,
    ConfigFault::ZonePartitioned,
    ConfigFault::ZonePartitionedOneWay,
    ConfigFault::PlatformPartitioned,
    ConfigFault::MemberPaused,
    ConfigFault::MemberReplaced,
    ConfigFault::ReadersKilled,
    ConfigFault::InvalidPublished,
];

/// A step of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigStep {
    /// Publishes a change.
    Publish,
    /// Publishes an invalid text.
    PublishInvalid,
    /// Publishes two changes at once.
    PublishTwice,
    /// Publishes nothing while gossip continues.
    Propagate,
    /// Publishes another change.
    PublishAgain,
}

/// All steps of the operator, in order.
pub const CONFIG_STEPS: [ConfigStep; 5] = [
    ConfigStep::Publish,
    ConfigStep::PublishInvalid,
    ConfigStep::PublishTwice,
    ConfigStep::Propagate,
    ConfigStep::PublishAgain,
];

/// Runs the operator's steps with the faults of a plan.
#[must_use]
pub fn run_configuration(plan: &FaultPlan<ConfigFault, ConfigStep>) -> MatrixHistory {
    let mut run = ConfigRun::new(plan.seed);
    let fault_steps = if plan.seed.is_multiple_of(2) {
        SHORT_FAULT_STEPS
    } else {
        LONG_FAULT_STEPS
    };
    let mut ends: Vec<(usize, ConfigFault)> = Vec::new();
    for (number, step) in CONFIG_STEPS.into_iter().enumerate() {
        for fault in plan.faults_at(step) {
            run.start_fault(fault, step);
            ends.push((number + fault_steps, fault));
        }
        run.execute_step(step);
        run.run_for(STEP_DURATION);
        ends.retain(|(end, fault)| {
            let has_ended = *end <= number + 1;
            if has_ended {
                run.end_fault(*fault);
            }
            !has_ended
        });
    }
    // Longer faults end once propagation under them has been checked.
    if !ends.is_empty() {
        run.run_for(RECOVERY_TIME);
    }
    for (_, fault) in ends {
        run.end_fault(fault);
    }
    run.run_for(RECOVERY_TIME);
    run.history
}

struct ConfigRun {
    rig: MemberRig,
    history: MatrixHistory,
    starts: Vec<u64>,
    applied: Vec<u64>,
    /// When the expected revision or the set of reachable members last changed.
    stable_since: Moment,
    newest: u64,
}

impl ConfigRun {
    fn new(seed: u64) -> Self {
        let list = rig_list(BALANCERS, SERVICES, TARGETS, ZONES);
        let mut rig = MemberRig::new(list, rig_text(SERVICES, ADDRESSES, 0), seed);
        rig.run(SETTLE_TIME);
        let count = rig.nodes.len();
        let mut run = Self {
            stable_since: rig.now,
            rig,
            history: MatrixHistory::default(),
            starts: vec![1; count],
            applied: vec![0; count],
            newest: 0,
        };
        run.observe();
        run
    }

    fn record(&mut self, event: MatrixEvent) {
        self.history.record(self.rig.now, event);
    }

    fn execute_step(&mut self, step: ConfigStep) {
        match step {
            ConfigStep::Publish | ConfigStep::PublishAgain => self.publish(),
            ConfigStep::PublishInvalid => self.publish_invalid(),
            ConfigStep::PublishTwice => {
                self.publish();
                self.publish();
            }
            ConfigStep::Propagate => {}
        }
    }

    fn publish(&mut self) {
        let change = u32::try_from(self.rig.platform.texts.len()).unwrap_or(0);
        let text = rig_text(SERVICES, ADDRESSES, change);
        let revision = self.rig.publish(text);
        self.record(MatrixEvent::Published {
            revision,
            valid: true,
        });
    }

    fn publish_invalid(&mut self) {
        let revision = self.rig.publish(INVALID_TEXT.to_owned());
        self.record(MatrixEvent::Published {
            revision,
            valid: false,
        });
    }

    fn start_fault(&mut self, fault: ConfigFault, step: ConfigStep) {
        self.record(MatrixEvent::Fault(format!("{fault:?} at {step:?}")));
        self.stable_since = self.rig.now;
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
            ConfigFault::DuplicatedFrames => rig.network.duplicate = 0.9,
            ConfigFault::DelayedFrames => rig.network.late = 0.7,
            ConfigFault::ZonePartitioned | ConfigFault::ZonePartitionedOneWay => {
                for other in OTHER_ZONES {
                    rig.cuts.push((zone(PARTITIONED_ZONE), zone(other)));
                    if fault == ConfigFault::ZonePartitioned {
                        rig.cuts.push((zone(other), zone(PARTITIONED_ZONE)));
                    }
                }
                rig.platform_cuts.push(zone(PARTITIONED_ZONE));
                rig.complete_watches();
            }
            ConfigFault::PlatformPartitioned => {
                rig.platform_cuts.push(zone(OTHER_ZONES[0]));
                rig.platform_cuts.push(zone(OTHER_ZONES[1]));
                rig.complete_watches();
            }
            ConfigFault::MemberPaused => rig.nodes[AFFECTED_MEMBER].paused = true,
            ConfigFault::MemberReplaced => {
                let zone = rig.nodes[AFFECTED_MEMBER].zone.clone();
                let address = u32::try_from(AFFECTED_MEMBER).unwrap_or(0);
                rig.add_member(rig_address(address), zone, None);
                self.starts[AFFECTED_MEMBER] += 1;
                self.applied[AFFECTED_MEMBER] = 0;
            }
            ConfigFault::ReadersKilled => {
                let now = rig.now;
                let readers = rig.nodes.iter_mut().filter(|node| node.running);
                let readers = readers.filter(|node| node.member.status(now).reader);
                for node in readers.skip(3).take(3) {
                    node.running = false;
                }
            }
            ConfigFault::InvalidPublished => self.publish_invalid(),
        }
    }

    fn end_fault(&mut self, fault: ConfigFault) {
        self.stable_since = self.rig.now;
        let rig = &mut self.rig;
        match fault {
            ConfigFault::PlatformDown | ConfigFault::PlatformStale => {
                rig.set_platform(PlatformState::Up);
            }
            ConfigFault::LostFrames
            | ConfigFault::DuplicatedFrames
            | ConfigFault::DelayedFrames => {
                rig.network = RigNetwork::default();
            }
            ConfigFault::ZonePartitioned
            | ConfigFault::ZonePartitionedOneWay
            | ConfigFault::PlatformPartitioned => {
                rig.cuts.clear();
                rig.platform_cuts.clear();
            }
            ConfigFault::MemberPaused => rig.nodes[AFFECTED_MEMBER].paused = false,
            ConfigFault::MemberReplaced
            | ConfigFault::ReadersKilled
            | ConfigFault::InvalidPublished => {}
        }
    }

    /// Advances the simulation and observes the members at every interval.
    fn run_for(&mut self, time: Duration) {
        let end = self.rig.now + time;
        while self.rig.now < end {
            self.rig.run(CHECK_INTERVAL);
            self.observe();
        }
    }

    fn observe(&mut self) {
        for node in 0..self.rig.nodes.len() {
            let view = self.rig.nodes[node].member.view();
            let revision = view.revision().0;
            if !self.rig.nodes[node].running || revision == self.applied[node] {
                continue;
            }
            let valid = is_as_published(view, &self.rig.platform.texts);
            self.applied[node] = revision;
            let start = self.starts[node];
            self.record(MatrixEvent::ConfigApplied {
                node,
                start,
                revision,
                valid,
            });
        }
        self.check_propagation();
    }

    fn is_reachable(&self, node: usize) -> bool {
        let node = &self.rig.nodes[node];
        let partitioned = self
            .rig
            .cuts
            .iter()
            .any(|(from, to)| *from == node.zone || *to == node.zone);
        let isolated = node.zone.as_str() == PARTITIONED_ZONE && partitioned;
        node.running && !node.paused && !isolated
    }

    /// The newest valid revision that a reachable member has applied or can read from the platform.
    fn newest_reachable(&self) -> u64 {
        let nodes = (0..self.applied.len()).filter(|node| self.is_reachable(*node));
        let applied = nodes.map(|node| self.applied[node]).max().unwrap_or(0);
        if self.rig.platform.state != PlatformState::Up {
            return applied;
        }
        let mut texts = self.rig.platform.texts.iter();
        let valid = texts.rposition(|text| ServiceText::parse(text).is_ok());
        valid.map_or(0, |at| at as u64 + 1).max(applied)
    }

    fn check_propagation(&mut self) {
        let newest = self.newest_reachable();
        if newest != self.newest {
            self.newest = newest;
            self.stable_since = self.rig.now;
        }
        let reachable_for = self.rig.now.since(self.stable_since);
        if reachable_for < crate::guarantee::PROPAGATION_TIMEOUT {
            return;
        }
        let nodes = (0..self.applied.len()).filter(|node| self.is_reachable(*node));
        let missing = nodes.filter(|node| self.applied[*node] != newest).count();
        self.record(MatrixEvent::PropagationDue {
            revision: newest,
            missing,
            reachable_for,
        });
    }
}

/// Whether a view has the content of the text published as its revision, and that text is valid.
fn is_as_published(view: &FleetView, texts: &[String]) -> bool {
    let number = usize::try_from(view.revision().0).unwrap_or(0);
    let Some(published) = number.checked_sub(1).and_then(|at| texts.get(at)) else {
        return number == 0;
    };
    let Ok(parsed) = ServiceText::parse(published) else {
        return false;
    };
    parsed.services.iter().all(|service| {
        let applied = view.text().service(service.name.as_str());
        applied.is_some_and(|applied| applied.once == service.once)
    })
}
