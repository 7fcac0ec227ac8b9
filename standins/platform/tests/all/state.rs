//! What readers are shown while faults are on.

use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, InstanceList};
use lovagelatch_platform::{ConfigFault, FaultSettings, PlatformState};

struct ShownCase {
    fault: ConfigFault,
    shown: Option<u64>,
}

#[test]
fn shows_what_the_fault_allows() {
    let cases = [
        ShownCase {
            fault: ConfigFault::Ok,
            shown: Some(3),
        },
        ShownCase {
            fault: ConfigFault::Stale,
            shown: Some(2),
        },
        ShownCase {
            fault: ConfigFault::Down,
            shown: None,
        },
    ];
    for case in cases {
        let state = PlatformState::default();
        for text in ["one", "two", "three"] {
            state.publish_config(text.to_owned());
        }
        state.set_fault(FaultSettings {
            config: case.fault,
            list_lag_ms: 0,
        });
        let shown = state.shown_config().map(|config| config.revision.0);
        assert_eq!(shown, case.shown, "{:?}", case.fault);
    }
}

#[test]
fn lists_lag() {
    let state = PlatformState::default();
    state.publish_instances(InstanceList::default());
    state.publish_instances(InstanceList::default());
    assert_eq!(state.shown_instances().revision.0, 2);
    state.set_fault(FaultSettings {
        list_lag_ms: 60_000,
        ..FaultSettings::default()
    });
    assert_eq!(state.shown_instances().revision.0, 1);
}

#[tokio::test]
async fn a_watch_ends_with_the_next_revision_and_not_before() {
    let state = PlatformState::default();
    let revision = state.publish_config("one".to_owned());
    let early = state
        .watch_config(revision, Duration::from_millis(20))
        .await;
    assert_eq!(early, None);
    let (found, _) = tokio::join!(
        state.watch_config(revision, Duration::from_secs(5)),
        async { state.publish_config("two".to_owned()) }
    );
    assert_eq!(found.map(|config| config.revision), Some(ConfigRevision(2)));
}
