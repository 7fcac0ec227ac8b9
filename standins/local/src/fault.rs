//! The faults that a run can inject, by name.

/// A fault that can be given on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultName {
    KillBalancer,
    AddBalancer,
    PauseBalancer,
    ReplaceBalancers,
    DrainTarget,
    ReplaceTargets,
    KillTarget,
    PauseTarget,
    ColdTarget,
    ConfigChange,
    ConfigInvalid,
    ConfigDown,
    ConfigStale,
    ListLag,
    PartitionZone,
    SilentFlows,
    CrossedAnswers,
    LoadMisleads,
    LostPackets,
}

/// A fault with its name on the command line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultEntry {
    pub(crate) name: FaultName,
    pub(crate) text: &'static str,
    /// Whether it is a planned operation of operators, which must not break flows.
    pub(crate) planned: bool,
}

const fn planned(name: FaultName, text: &'static str) -> FaultEntry {
    FaultEntry {
        name,
        text,
        planned: true,
    }
}

const fn unplanned(name: FaultName, text: &'static str) -> FaultEntry {
    FaultEntry {
        name,
        text,
        planned: false,
    }
}

/// All faults, in the order in which they are listed to the user.
pub(crate) const FAULTS: [FaultEntry; 19] = [
    unplanned(FaultName::KillBalancer, "kill-balancer"),
    planned(FaultName::AddBalancer, "add-balancer"),
    unplanned(FaultName::PauseBalancer, "pause-balancer"),
    planned(FaultName::ReplaceBalancers, "replace-balancers"),
    planned(FaultName::DrainTarget, "drain-target"),
    planned(FaultName::ReplaceTargets, "replace-targets"),
    unplanned(FaultName::KillTarget, "kill-target"),
    unplanned(FaultName::PauseTarget, "pause-target"),
    planned(FaultName::ColdTarget, "cold-target"),
    planned(FaultName::ConfigChange, "config-change"),
    planned(FaultName::ConfigInvalid, "config-invalid"),
    planned(FaultName::ConfigDown, "config-down"),
    planned(FaultName::ConfigStale, "config-stale"),
    planned(FaultName::ListLag, "list-lag"),
    unplanned(FaultName::PartitionZone, "partition-zone"),
    unplanned(FaultName::SilentFlows, "silent-flows"),
    unplanned(FaultName::CrossedAnswers, "crossed-answers"),
    unplanned(FaultName::LoadMisleads, "load-misleads"),
    unplanned(FaultName::LostPackets, "lost-packets"),
];

impl FaultName {
    /// Returns the fault with this name.
    pub(crate) fn find(text: &str) -> Option<Self> {
        let entry = FAULTS.iter().find(|entry| entry.text == text)?;
        Some(entry.name)
    }

    fn entry(self) -> FaultEntry {
        let found = FAULTS.iter().find(|entry| entry.name == self);
        *found.expect("every fault is in the table")
    }

    pub(crate) fn text(self) -> &'static str {
        self.entry().text
    }

    pub(crate) fn is_planned(self) -> bool {
        self.entry().planned
    }

    /// Whether the fault publishes configurations itself.
    pub(crate) fn is_config(self) -> bool {
        self.text().starts_with("config-")
    }
}
