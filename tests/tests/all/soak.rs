//! Short runs of the fault soak over the real programs on opaque packets.

use std::process::Command;

use crate::launcher::program_path;

struct SoakCase {
    /// Draws the faults, so that every run plays the same plan.
    seed: &'static str,
    /// Minutes for which faults strike.
    minutes: &'static str,
    /// Processes of the system.
    processes: &'static str,
    /// Whether targets are reborn, and entries of other writers come.
    further: bool,
    /// Further arguments.
    arguments: &'static [&'static str],
}

impl SoakCase {
    /// Plays the plan; every promise must be kept.
    fn play(&self) {
        let directory = format!("lovagelatch-soak-{}-{}", std::process::id(), self.seed);
        let keep = std::env::temp_dir().join(directory);
        let output = Command::new(program_path("lovagelatch-soak"))
            .args(["--seed", self.seed, "--minutes", self.minutes])
            .args(["--processes", self.processes])
            .args(self.further.then_some("--further"))
            .args(self.arguments)
            .arg("--keep")
            .arg(&keep)
            .output()
            .expect("the soak starts");
        let said = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "{said}{errors}logs in {}",
            keep.display()
        );
        let sound = format!("seed {}: sound", self.seed);
        assert!(said.contains(&sound), "{said}");
        // A sound run leaves an empty directory.
        let _removed = std::fs::remove_dir(&keep);
    }
}

// Symptom: any promise of the users broken, or a process that ends by itself. Sequence: a plan of
// faults drawn from a seed, one after the other and at once. Cause: whatever the findings name.
#[test]
fn a_short_soak_keeps_every_promise() {
    let case = SoakCase {
        seed: "1",
        minutes: "0.15",
        processes: "9",
        further: false,
        arguments: &[],
    };
    case.play();
}

// Symptom: two open flows are silent for 2.5 s. Sequence: two balancers are stopped as planned and
// start again; the list that they read has a garbage entry for the flows' target; the entry is
// whole again a second later. Cause: a search that had found nobody was kept, and did not ask the
// target that was listed since.
#[test]
fn a_target_that_is_listed_late_keeps_its_flows() {
    let case = SoakCase {
        seed: "204",
        minutes: "0.4",
        processes: "12",
        further: false,
        arguments: &[],
    };
    case.play();
}

// Symptom: any promise broken. Sequence: among other faults targets crash and start again under their
// names, with and without their agents, and entries of another writer come and stay. Cause: whatever
// the findings name.
#[test]
fn reborn_targets_and_foreign_entries_break_no_promise() {
    let case = SoakCase {
        seed: "301",
        minutes: "0.15",
        processes: "9",
        further: true,
        arguments: &[],
    };
    case.play();
}

// Symptom: new flows reach a target that has announced that it leaves. Sequence: its entry becomes unreadable;
// it announces that it leaves; its entry is whole again, and says that it is ready. Cause: the stand-in
// took the announcement back, which no target does.
#[test]
fn an_entry_that_is_whole_again_says_what_its_target_says() {
    let case = SoakCase {
        seed: "303",
        minutes: "0.3",
        processes: "12",
        further: false,
        arguments: &[],
    };
    case.play();
}

// Symptom: a process ends by itself, without a line in its log, and is away until it is started again.
// Sequence: its settings change, and every process is told by SIGHUP, some milliseconds after this one was
// started. Cause: until the settings are watched, SIGHUP ends a process; that takes two to five
// milliseconds from its start on a busy machine, more on a slow one.
#[test]
fn a_process_that_is_starting_outlives_a_change_of_settings() {
    let case = SoakCase {
        seed: "404",
        minutes: "0.3",
        processes: "12",
        further: true,
        arguments: &[],
    };
    case.play();
}

/// Guards against entries of dead targets that never expire, which lets balancers place flows at a target that
/// leaves under another name.
#[test]
fn the_entry_of_each_dead_target_expires() {
    let case = SoakCase {
        seed: "930",
        minutes: "0.3",
        processes: "12",
        further: true,
        arguments: &[],
    };
    case.play();
}

/// Guards against the end of a starting process by a change of settings, where its supervisor starts it with SIGHUP
/// ignored.
#[test]
fn a_process_that_starts_with_the_hangup_ignored_outlives_a_change_of_settings() {
    let case = SoakCase {
        seed: "404",
        minutes: "0.3",
        processes: "12",
        further: true,
        arguments: &["--hangup-ignored"],
    };
    case.play();
}

/// Guards against the reset of open flows whose agents are away for longer than a silence that counts, at
/// balancers that were not told that they stop.
#[test]
fn a_long_planned_restart_resets_no_open_flow() {
    let cases = [
        SoakCase {
            seed: "841",
            minutes: "0.15",
            processes: "15",
            further: false,
            arguments: &[
                "--agent-restart-ms=1700",
                "--only=RollAgents",
                "--only=KillBalancer",
                "--only=RollBalancers",
            ],
        },
        SoakCase {
            seed: "834",
            minutes: "0.15",
            processes: "12",
            further: false,
            arguments: &[
                "--agent-restart-ms=1600",
                "--only=RollAgents",
                "--only=KillBalancers",
            ],
        },
    ];
    for case in cases {
        case.play();
    }
}
