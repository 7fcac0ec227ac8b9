//! The service time that an agent learns of its target.

use std::time::Duration;

use crate::fleet::{Fleet, FleetSettings, MEAN_WORK};

/// A fleet of one target with two slots and speed 1, at a share of its capacity.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn single_target(share: f64) -> Fleet {
    Fleet::new(FleetSettings {
        targets: vec![(1.0, "hall-a")],
        clients: (2.0 / MEAN_WORK * share) as usize,
        balancers: 1,
        ..FleetSettings::default()
    })
}

#[track_caller]
fn assert_learned(fleet: &mut Fleet, expected: f64, tolerance: f64, case: &str) {
    let learned = fleet.service_time(0).expect("a learned service time");
    let ratio = learned / expected;
    assert!(
        (1.0 - tolerance..=1.0 + tolerance).contains(&ratio),
        "{case}: learned {learned:.4} s instead of {expected:.4} s"
    );
}

struct LoadCase {
    name: &'static str,
    /// Load as a share of the capacity. Above 1, the target rejects the excess at once.
    share: f64,
}

// Guards against a service time that includes the wait in the target's queue, or that shrinks with
// the requests that the target rejects: balancers would take a busy target for a slow one, or an
// overloaded target for a fast one.
#[test]
fn the_service_time_does_not_depend_on_the_load() {
    let cases = [
        LoadCase {
            name: "low load",
            share: 0.3,
        },
        LoadCase {
            name: "high load",
            share: 0.9,
        },
        LoadCase {
            name: "overload with rejections",
            share: 2.0,
        },
        LoadCase {
            name: "overload with more rejections than answers",
            share: 4.0,
        },
    ];
    for case in cases {
        let mut fleet = single_target(case.share);
        let mut ratios = Vec::new();
        for _ in 0..10 {
            fleet.run(Duration::from_secs(10));
            let learned = fleet.service_time(0).expect("a learned service time");
            ratios.push(learned / MEAN_WORK);
        }
        let mean = ratios.iter().sum::<f64>() / 10.0;
        assert!((0.85..1.15).contains(&mean), "{}: {ratios:.2?}", case.name);
        let plausible = ratios.iter().all(|ratio| (0.7..1.5).contains(ratio));
        assert!(plausible, "{}: {ratios:.2?}", case.name);
    }
}

struct ChangeCase {
    name: &'static str,
    speed: f64,
    share: f64,
}

// Guards against a target that slows down and keeps getting the flows of a fast one.
#[test]
fn a_change_of_speed_is_learned_within_two_seconds_of_load() {
    let cases = [
        ChangeCase {
            name: "slower",
            speed: 0.5,
            share: 0.4,
        },
        ChangeCase {
            name: "slower, and thereby overloaded",
            speed: 0.5,
            share: 0.8,
        },
        ChangeCase {
            name: "faster",
            speed: 2.0,
            share: 0.4,
        },
        ChangeCase {
            name: "faster, after an overload",
            speed: 2.0,
            share: 1.2,
        },
    ];
    for case in cases {
        for settled in [30, 31, 32, 33] {
            let mut fleet = single_target(case.share);
            fleet.run(Duration::from_secs(settled));
            fleet.targets[0].speed = case.speed;
            fleet.run(Duration::from_secs(2));
            let expected = MEAN_WORK / case.speed;
            assert_learned(&mut fleet, expected, 0.3, case.name);
        }
    }
}

// Guards against a restarted target that is judged by the speed of its former start.
#[test]
fn a_restart_of_the_target_is_learned_again() {
    let mut fleet = single_target(0.5);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.service_time(0).is_some());
    let now = fleet.now;
    fleet.agents[0].handle_connection_refused(now);
    assert_eq!(fleet.service_time(0), None);
    fleet.targets[0].speed = 0.6;
    fleet.run(Duration::from_secs(2));
    assert_learned(&mut fleet, MEAN_WORK / 0.6, 0.3, "after a restart");
}

// Guards against changed placement in deployments that do not configure request policies.
#[test]
fn nothing_is_learned_without_a_request_policy() {
    let mut fleet = Fleet::new(FleetSettings {
        targets: vec![(1.0, "hall-a")],
        clients: 30,
        with_policy: false,
        ..FleetSettings::default()
    });
    fleet.run(Duration::from_secs(20));
    assert_eq!(fleet.service_time(0), None);
}
