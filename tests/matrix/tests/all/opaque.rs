//! Flows of opaque packets under every fault at every step.

use std::sync::atomic::{AtomicUsize, Ordering};

use lovagelatch_matrix::opaque::{
    OPAQUE_FAULTS, OPAQUE_STEPS, OpaqueFault, OpaqueFleet, OpaqueMechanisms, OpaqueStep,
    run_opaque, run_opaque_busy, run_opaque_fleet,
};
use lovagelatch_matrix::{FaultPlan, MatrixReport, RunHistory};

const SEEDS: u64 = 3;
/// Overridden by the environment variable `MATRIX_PAIRS`.
const PAIRS: u64 = 500;
const DISABLED_PAIRS: u64 = 150;
/// Number of plans that are run twice.
const REPEATED_PAIRS: u64 = 300;
/// For mechanisms that matter in only few of the pairs.
const RARE_PAIRS: u64 = 600;

#[test]
fn without_a_fault_every_request_is_served() {
    for seed in 0..20 {
        let plan = FaultPlan {
            faults: Vec::new(),
            seed,
        };
        let (served, failed) = run_opaque(&plan, OpaqueMechanisms::default()).outcomes();
        assert_eq!(failed, 0, "seed {seed}");
        assert!(served > 150, "seed {seed}: {served}");
    }
}

// Guards against open feeds that are reset, stay silent or reach another service, against new
// flows to a leaving target and against refused requests that ran, because a decision depends on
// remembered state or a view alone. One fault is injected before each step.
#[test]
fn every_fault_at_every_step() {
    let mut report = MatrixReport::new("opaque flow, one fault");
    report.run_single_faults(&OPAQUE_FAULTS, &OPAQUE_STEPS, 0..SEEDS, |plan| {
        run_opaque(plan, OpaqueMechanisms::default())
    });
    report.assert_no_violations();
}

/// Clients beside the first three that make requests wait.
const BUSY_CLIENTS: u8 = 24;

// Guards against the same failures while requests wait at the agents: whichever process fails, a
// held packet must not lead to a reset, reach another target or make a request run twice.
#[test]
fn every_fault_while_requests_wait() {
    let held = AtomicUsize::new(0);
    let mut report = MatrixReport::new("opaque flow, one fault while requests wait");
    report.run_single_faults(&OPAQUE_FAULTS, &OPAQUE_STEPS, 0..1, |plan| {
        let history = run_opaque_busy(plan, BUSY_CLIENTS);
        held.fetch_add(history.held(), Ordering::Relaxed);
        history
    });
    report.assert_no_violations();
    let held = held.into_inner();
    assert!(held > 1_000, "only {held} packets were held");
}

// Guards against the same failures under two faults, or under one fault twice.
#[test]
fn two_faults_at_once() {
    let requested = std::env::var("MATRIX_PAIRS").ok();
    let pairs = requested
        .and_then(|text| text.parse().ok())
        .unwrap_or(PAIRS);
    let mut report = MatrixReport::new("opaque flow, two faults");
    report.run_fault_pairs(&OPAQUE_FAULTS, &OPAQUE_STEPS, pairs, |plan| {
        run_opaque(plan, OpaqueMechanisms::default())
    });
    report.assert_no_violations();
}

// Guards against open flows of a service that the configuration no longer names: a process that
// starts afterwards does not know that the service had any, and resets its flows.
#[test]
fn a_dropped_service_keeps_its_flows_under_every_fault() {
    for dropped_at in [OpaqueStep::Response, OpaqueStep::LaterRequest] {
        let mut report = MatrixReport::new("opaque flow, its service dropped, and one more fault");
        report.run_single_faults(&OPAQUE_FAULTS, &OPAQUE_STEPS, 0..SEEDS, |plan| {
            let mut plan = plan.clone();
            plan.faults
                .insert(0, (OpaqueFault::ServiceDropped, dropped_at));
            run_opaque(&plan, OpaqueMechanisms::default())
        });
        report.assert_no_violations();
    }
}

struct FleetCase {
    fleet: OpaqueFleet,
    faults: &'static [OpaqueFault],
    steps: &'static [OpaqueStep],
}

// Guards against fleets of hundreds of processes in which lost flows are not reset within four
// seconds after a power loss, or open flows are reset, because a decision counts entries of the
// store or requires a reply from every agent. Such fleets search for flows in two phases, by
// delegation to other agents, and the store lists former starts beside the current ones.
#[test]
fn fleets_of_any_size_keep_the_guarantees() {
    use OpaqueFault as Fault;
    let cases = [
        FleetCase {
            fleet: OpaqueFleet {
                claims: 20,
                vault: 9,
                ..OpaqueFleet::default()
            },
            faults: &OPAQUE_FAULTS,
            steps: &OPAQUE_STEPS,
        },
        FleetCase {
            fleet: OpaqueFleet {
                claims: 240,
                vault: 60,
                ..OpaqueFleet::default()
            },
            faults: &[Fault::PowerLost, Fault::AllProcessesKilled],
            steps: &[OpaqueStep::LaterRequest],
        },
        FleetCase {
            fleet: OpaqueFleet {
                claims: 1_600,
                vault: 400,
                ..OpaqueFleet::default()
            },
            faults: &[Fault::PowerLost],
            steps: &[OpaqueStep::LaterRequest],
        },
    ];
    for case in cases {
        let mut report = MatrixReport::new("opaque flow, a larger fleet");
        report.run_single_faults(case.faults, case.steps, 0..1, |plan| {
            run_opaque_fleet(plan, OpaqueMechanisms::default(), case.fleet)
        });
        report.assert_no_violations();
    }
}

struct LossCase {
    name: &'static str,
    /// The fault of the network beside the loss of power.
    network: Option<OpaqueFault>,
    /// Limit on the balancers' frames for a flow, on average.
    frames: usize,
    /// Limit on the queries for a flow on average, in multiples of the number of agents.
    queries: usize,
}

// Guards against balancers that are busy with searches for seconds after a total loss: all machines
// and half of the targets lose power, and what is sent for each lost flow grows with the copies of its
// client's packets, with answers that are late or lost, and with the time until the balancers know all
// targets.
#[test]
fn searches_after_a_loss_of_half_of_the_targets_are_bounded() {
    let fleet = OpaqueFleet {
        claims: 30,
        vault: 12,
        clients: 150,
    };
    let agents = usize::from(fleet.claims + fleet.vault);
    let cases = [
        LossCase {
            name: "normal network",
            network: None,
            frames: 10,
            queries: 2,
        },
        LossCase {
            name: "a third of the datagrams are lost",
            network: Some(OpaqueFault::Drop),
            frames: 30,
            queries: 4,
        },
        LossCase {
            name: "datagrams are late",
            network: Some(OpaqueFault::Delay),
            frames: 16,
            queries: 5,
        },
    ];
    for (case, seed) in cases
        .iter()
        .flat_map(|case| (0..2).map(move |seed| (case, seed)))
    {
        let faults = [Some(OpaqueFault::HalfPowerLost), case.network];
        let faults = faults.into_iter().flatten();
        let plan = FaultPlan {
            faults: faults
                .map(|fault| (fault, OpaqueStep::LaterRequest))
                .collect(),
            seed,
        };
        let history = run_opaque_fleet(&plan, OpaqueMechanisms::default(), fleet);
        let violations = history.violations();
        let costs = history.search_costs();
        let flows = costs.len();
        let frames: usize = costs.iter().map(|cost| cost.frames).sum();
        let queries: usize = costs.iter().map(|cost| cost.queries).sum();
        assert!(violations.is_empty(), "{}: {violations:?}", case.name);
        // Some clients open new flows before a search for their lost one begins.
        assert!(flows >= 100, "{}: {flows} flows", case.name);
        assert!(
            frames <= case.frames * flows,
            "{}: {frames} frames",
            case.name
        );
        let most = case.queries * flows * agents;
        assert!(queries <= most, "{}: {queries} queries", case.name);
    }
}

struct RegressionPlan {
    cause: &'static str,
    faults: [(OpaqueFault, OpaqueStep); 2],
    seed: u64,
}

// Guards against regressions: each plan once violated a guarantee, for the cause beside it.
#[test]
fn plans_that_failed_once_pass() {
    use OpaqueFault as Fault;
    use OpaqueStep as Step;
    let cases = [
        RegressionPlan {
            cause: "a search among the new service of a moved route was treated as proof",
            faults: [
                (Fault::RouteMoved, Step::Response),
                (Fault::BalancerStopped, Step::Request),
            ],
            seed: 36,
        },
        RegressionPlan {
            cause: "the same, after all balancers restarted",
            faults: [
                (Fault::AllBalancersKilled, Step::LaterRequest),
                (Fault::RouteMoved, Step::Opening),
            ],
            seed: 253,
        },
        RegressionPlan {
            cause: "a new balancer did not know of the store failure",
            faults: [
                (Fault::EntriesExpired, Step::LaterRequest),
                (Fault::RouterRehashed, Step::LaterRequest),
            ],
            seed: 3_553,
        },
        RegressionPlan {
            cause: "a late duplicate of a first packet was refused because its route was dropped",
            faults: [
                (Fault::RouteRemoved, Step::OpeningReply),
                (Fault::Delay, Step::Opening),
            ],
            seed: 1_359,
        },
        RegressionPlan {
            cause: "a flow offered twice was assumed to be at the target that had responded",
            faults: [
                (Fault::TargetLeaving, Step::Opening),
                (Fault::LinkCut, Step::OpeningReply),
            ],
            seed: 1_433,
        },
    ];
    for case in cases {
        let plan = FaultPlan {
            faults: case.faults.to_vec(),
            seed: case.seed,
        };
        let violations = run_opaque(&plan, OpaqueMechanisms::default()).violations();
        assert!(violations.is_empty(), "{}: {violations:?}", case.cause);
    }
}

// Guards against a new flow in a zone that was evacuated 1.6 s ago: an agent that was paused
// meanwhile resumes and takes an offer that was sent before the evacuation.
#[test]
fn a_resumed_agent_takes_no_offer_from_before_an_evacuation() {
    let plan = FaultPlan {
        faults: vec![
            (OpaqueFault::ZoneEvacuated, OpaqueStep::Opening),
            (OpaqueFault::AgentPaused, OpaqueStep::Opening),
        ],
        seed: 10_336,
    };
    let violations = run_opaque(&plan, OpaqueMechanisms::default()).violations();
    assert!(violations.is_empty(), "{violations:?}");
}

struct DisabledMechanism {
    mechanism: &'static str,
    mechanisms: OpaqueMechanisms,
    /// The faults that the mechanism handles.
    faults: &'static [OpaqueFault],
    /// How many pairs of faults are run.
    pairs: u64,
    guarantee: &'static str,
}

fn disabled_mechanisms() -> [DisabledMechanism; 8] {
    use OpaqueFault as Fault;
    let on = OpaqueMechanisms::default();
    [
        DisabledMechanism {
            mechanism: "search of all possible holders",
            mechanisms: OpaqueMechanisms {
                search: false,
                ..on
            },
            faults: &[Fault::AllBalancersKilled, Fault::RouterRehashed],
            pairs: DISABLED_PAIRS,
            guarantee: "not_recovered",
        },
        DisabledMechanism {
            mechanism: "offering packets of unknown flows",
            mechanisms: OpaqueMechanisms {
                trial_delivery: false,
                ..on
            },
            faults: &[Fault::AllProcessesKilled, Fault::AgentKilled],
            pairs: DISABLED_PAIRS,
            guarantee: "open_flow_reset",
        },
        DisabledMechanism {
            mechanism: "service check",
            mechanisms: OpaqueMechanisms {
                service_check: false,
                ..on
            },
            faults: &[Fault::AddressReused, Fault::StaleView],
            pairs: RARE_PAIRS,
            guarantee: "wrong_service",
        },
        DisabledMechanism {
            mechanism: "acknowledgement number check",
            mechanisms: OpaqueMechanisms {
                acknowledgement_check: false,
                ..on
            },
            faults: &[Fault::Reorder, Fault::AgentPaused, Fault::Duplicate],
            pairs: DISABLED_PAIRS,
            guarantee: "open_flow_reset",
        },
        DisabledMechanism {
            mechanism: "leaving targets",
            mechanisms: OpaqueMechanisms {
                leaving: false,
                ..on
            },
            faults: &[Fault::TargetLeaving],
            pairs: DISABLED_PAIRS,
            guarantee: "new_flow_after_leaving",
        },
        DisabledMechanism {
            mechanism: "resets of lost flows",
            mechanisms: OpaqueMechanisms {
                resets: false,
                ..on
            },
            faults: &[Fault::PowerLost, Fault::MachinePowerLost],
            pairs: DISABLED_PAIRS,
            guarantee: "not_recovered",
        },
        DisabledMechanism {
            mechanism: "doubt during store failures",
            mechanisms: OpaqueMechanisms {
                store_doubt: false,
                ..on
            },
            faults: &[Fault::EntriesExpired, Fault::AllBalancersKilled],
            pairs: DISABLED_PAIRS,
            guarantee: "open_flow_reset",
        },
        DisabledMechanism {
            mechanism: "evacuated zones",
            mechanisms: OpaqueMechanisms {
                evacuation: false,
                ..on
            },
            faults: &[Fault::ZoneEvacuated, Fault::PowerLost],
            pairs: DISABLED_PAIRS,
            guarantee: "new_flow_in_evacuated_zone",
        },
    ]
}

// Guards against checks that cannot fail: with any one mechanism disabled, the guarantee that
// depends on it must be violated.
#[test]
fn each_disabled_mechanism_is_detected() {
    for case in disabled_mechanisms() {
        let mut report = MatrixReport::new("opaque flow, one mechanism off");
        report.run_fault_pairs(case.faults, &OPAQUE_STEPS, case.pairs, |plan| {
            run_opaque(plan, case.mechanisms)
        });
        report.assert_violated(case.mechanism, case.guarantee);
    }
}

// Guards against runs that their seed does not determine, which no regression test can repeat.
#[test]
fn a_run_is_determined_by_its_plan() {
    for seed in 0..REPEATED_PAIRS {
        let pick = |number: u64| OPAQUE_FAULTS[(number % OPAQUE_FAULTS.len() as u64) as usize];
        let step = OPAQUE_STEPS[(seed % OPAQUE_STEPS.len() as u64) as usize];
        let plan = FaultPlan {
            faults: vec![(pick(seed), step), (pick(seed * 7 + 3), step)],
            seed,
        };
        let [first, second] = [0, 1].map(|_| {
            let history = run_opaque(&plan, OpaqueMechanisms::default());
            history.tail(usize::MAX)
        });
        let mut lines = first.lines().zip(second.lines());
        let difference = lines.find(|(first, second)| first != second);
        assert_eq!(difference, None, "{plan:?}");
        assert_eq!(first.len(), second.len(), "{plan:?}");
    }
}
