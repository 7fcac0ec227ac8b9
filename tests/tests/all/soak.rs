//! Short runs of the fault soak, which injects faults into the real programs with opaque packets.

use std::process::Command;

use crate::launcher::program_path;

struct SoakCase {
    /// Seed of the fault plan, so that every run injects the same faults.
    seed: &'static str,
    /// Minutes during which faults are injected.
    minutes: &'static str,
    /// Number of processes of the system.
    processes: &'static str,
    /// Whether targets also crash and restart under the same name, and other writers add entries.
    further: bool,
    /// Additional arguments of the soak.
    arguments: &'static [&'static str],
}

impl SoakCase {
    /// Runs the plan and asserts that every guarantee holds.
    fn run(&self) {
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
        let stdout = String::from_utf8_lossy(&output.stdout);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "{stdout}{stderr}logs in {}",
            keep.display()
        );
        let sound = format!("seed {}: sound", self.seed);
        assert!(stdout.contains(&sound), "{stdout}");
        // A run without violations leaves an empty directory.
        let _removed = std::fs::remove_dir(&keep);
    }
}

/// Guards against any violated guarantee, and against a process that ends by itself, under a plan
/// of single and simultaneous faults drawn from a seed. The findings name the cause.
#[test]
fn a_short_soak_keeps_every_promise() {
    let case = SoakCase {
        seed: "1",
        minutes: "0.15",
        processes: "9",
        further: false,
        arguments: &[],
    };
    case.run();
}

/// Guards against open flows that get no response for 2.5 s because a search that found no holder
/// was kept and did not query a target that was listed later. Two balancers restart as planned and
/// read a list with a malformed entry for the flows' target, which is valid again one second later.
#[test]
fn a_target_that_is_listed_late_keeps_its_flows() {
    let case = SoakCase {
        seed: "204",
        minutes: "0.4",
        processes: "12",
        further: false,
        arguments: &[],
    };
    case.run();
}

/// Guards against any violated guarantee when, among other faults, targets crash and restart under
/// the same name, with and without their agents, and entries of another writer appear and remain.
/// The findings name the cause.
#[test]
fn reborn_targets_and_foreign_entries_break_no_promise() {
    let case = SoakCase {
        seed: "301",
        minutes: "0.15",
        processes: "9",
        further: true,
        arguments: &[],
    };
    case.run();
}

/// Guards against new flows that reach a target after it announced that it is leaving. The target
/// makes the announcement while its entry is unreadable, and the restored entry said that it is
/// ready: the stand-in withdrew the announcement, which no real target does.
#[test]
fn a_restored_entry_has_the_state_of_its_target() {
    let case = SoakCase {
        seed: "303",
        minutes: "0.3",
        processes: "12",
        further: false,
        arguments: &[],
    };
    case.run();
}

/// Guards against flows that open by an old configuration, or at a target that announced long ago
/// that it is leaving, after the store came back from a copy and gave revisions out again.
#[test]
fn a_store_that_comes_back_from_a_copy_breaks_no_promise() {
    let case = SoakCase {
        seed: "7001",
        minutes: "0.3",
        processes: "12",
        further: false,
        arguments: &[
            "--only",
            "RestoreStore",
            "--only",
            "MoveRoute",
            "--only",
            "ReplaceTarget",
        ],
    };
    case.run();
}

/// Guards against open flows that are reset because all balancers are new and take a list for whole
/// that the store has just restored from a copy, which lacks the flows' targets.
#[test]
fn a_new_fleet_after_a_restore_resets_no_open_flow() {
    let case = SoakCase {
        seed: "8310",
        minutes: "0.3",
        processes: "24",
        further: false,
        arguments: &[
            "--only",
            "RestoreStore",
            "--only",
            "MoveRoute",
            "--only",
            "ReplaceTarget",
            "--only",
            "LosePower",
            "--only",
            "KillBalancers",
            "--only",
            "StoreLapse",
            "--only",
            "ReuseAddress",
        ],
    };
    case.run();
}

/// Guards against a process that ends without a log line when SIGHUP announces a change of settings
/// a few milliseconds after its start, and that stays down until it is restarted. SIGHUP ends a
/// process until it watches its settings, which takes 2 to 5 ms on a busy machine and longer on a
/// slow one.
#[test]
fn a_process_that_is_starting_outlives_a_change_of_settings() {
    let case = SoakCase {
        seed: "404",
        minutes: "0.3",
        processes: "12",
        further: true,
        arguments: &[],
    };
    case.run();
}

/// Guards against entries of dead targets that never expire, which let balancers place flows on a
/// target that is leaving under another name.
#[test]
fn the_entry_of_each_dead_target_expires() {
    let case = SoakCase {
        seed: "930",
        minutes: "0.3",
        processes: "12",
        further: true,
        arguments: &[],
    };
    case.run();
}

/// Guards against a starting process that ends because of a change of settings although its
/// supervisor starts it with SIGHUP ignored.
#[test]
fn a_process_that_starts_with_sighup_ignored_survives_a_change_of_settings() {
    let case = SoakCase {
        seed: "404",
        minutes: "0.3",
        processes: "12",
        further: true,
        arguments: &["--hangup-ignored"],
    };
    case.run();
}

/// Guards against resets of open flows whose agents are away for longer than the silence timeout
/// during a planned restart, by balancers that did not learn that the agents stop.
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
        case.run();
    }
}

/// Guards against resets of open flows that were idle before a planned restart of their agents, by
/// balancers that the agents no longer knew.
#[test]
fn a_planned_restart_resets_no_idle_flow() {
    let case = SoakCase {
        seed: "1",
        minutes: "0.3",
        processes: "12",
        further: false,
        arguments: &[
            "--request-pause-ms=6500",
            "--agent-restart-ms=1500",
            "--only=RollAgents",
            "--only=StopAgent",
        ],
    };
    case.run();
}

/// Guards against resets of open flows whose service left the configuration, by balancers that
/// started afterwards or while the change arrived.
#[test]
fn a_dropped_service_keeps_its_open_flows() {
    let case = SoakCase {
        seed: "5101",
        minutes: "0.15",
        processes: "9",
        further: false,
        arguments: &[
            "--only=DropService",
            "--only=RollBalancers",
            "--only=KillBalancer",
            "--only=KillBalancers",
            "--only=StopBalancer",
            "--only=StopAgent",
            "--only=ChangeConfig",
        ],
    };
    case.run();
}

/// Guards against new flows at a leaving target because of the entry of a crashed one at its address.
#[test]
fn a_former_entry_sends_no_flows_to_a_leaving_successor() {
    let case = SoakCase {
        seed: "3008",
        minutes: "0.3",
        processes: "12",
        further: true,
        arguments: &[],
    };
    case.run();
}

/// Guards against requests that are held, doubled or lost when priorities are exchanged and targets
/// slow down while requests run, at targets of limited capacity and different speeds.
#[test]
fn priorities_and_speeds_may_change_while_requests_run() {
    let case = SoakCase {
        seed: "11",
        minutes: "0.1",
        processes: "9",
        further: false,
        arguments: &["--only=ExchangePriorities", "--only=SlowTarget"],
    };
    case.run();
}

/// Guards against any violated guarantee when more requests and flows arrive than the targets can
/// take, among other faults. The findings name the cause.
#[test]
fn a_short_soak_under_hard_load_keeps_every_promise() {
    let case = SoakCase {
        seed: "1",
        minutes: "0.1",
        processes: "9",
        further: false,
        arguments: &["--hard-load"],
    };
    case.run();
}

/// Guards against requests that are lost or run twice because the agent that holds them is killed
/// in a rush.
#[test]
fn an_agent_may_die_while_requests_wait() {
    let case = SoakCase {
        seed: "14",
        minutes: "0.1",
        processes: "9",
        further: false,
        arguments: &["--only=Rush", "--only=KillAgent"],
    };
    case.run();
}

/// Guards against flows that are counted or opened twice because a balancer is killed between the
/// offer and its answer in a rush.
#[test]
fn a_balancer_may_die_between_offer_and_answer() {
    let case = SoakCase {
        seed: "12",
        minutes: "0.1",
        processes: "9",
        further: false,
        arguments: &["--only=Rush", "--only=KillBalancer"],
    };
    case.run();
}

/// Guards against wrong limits and lost requests when the targets of a service change in a rush
/// while the store does not answer.
#[test]
fn targets_may_change_in_a_rush_while_the_store_is_silent() {
    let case = SoakCase {
        seed: "13",
        minutes: "0.1",
        processes: "9",
        further: false,
        arguments: &[
            "--only=Rush",
            "--only=StoreRefuses",
            "--only=StoreLapse",
            "--only=ReplaceTarget",
            "--only=CrashTarget",
        ],
    };
    case.run();
}
