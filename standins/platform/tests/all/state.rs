//! Tests of what readers see under faults.

use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, InstanceList};
use lovagelatch_platform::{ConfigFault, FaultSettings, PlatformState};

struct VisibleCase {
    fault: ConfigFault,
    visible: Option<u64>,
}

#[test]
fn config_fault_selects_the_visible_revision() {
    let cases = [
        VisibleCase {
            fault: ConfigFault::Ok,
            visible: Some(3),
        },
        VisibleCase {
            fault: ConfigFault::Stale,
            visible: Some(2),
        },
        VisibleCase {
            fault: ConfigFault::Down,
            visible: None,
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
        let visible = state.visible_config().map(|config| config.revision.0);
        assert_eq!(visible, case.visible, "{:?}", case.fault);
    }
}

#[test]
fn instance_lists_lag() {
    let state = PlatformState::default();
    state.publish_instances(InstanceList::default());
    state.publish_instances(InstanceList::default());
    assert_eq!(state.visible_instances().revision.0, 2);
    state.set_fault(FaultSettings {
        list_lag_ms: 60_000,
        ..FaultSettings::default()
    });
    assert_eq!(state.visible_instances().revision.0, 1);
}

#[tokio::test]
async fn a_watch_returns_at_the_next_revision_and_not_earlier() {
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
