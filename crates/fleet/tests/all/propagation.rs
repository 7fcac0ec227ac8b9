//! Processes that share a view over real sockets.

use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, GateReport};
use lovagelatch_fleet::FleetClient;
use lovagelatch_membership::TargetStanding;
use lovagelatch_telemetry::MetricsRegistry;

use crate::fake::{ControlSockets, FakePlatform, eventually, list_of};

const TEXT: &str = "[service claims]\naddress = 127.20.0.1:4433 ludhiana\n";
const NEXT_TEXT: &str = "[service claims]\naddress = 127.20.0.2:4433 amritsar\n";
const LIMIT: Duration = Duration::from_secs(5);

struct SmallFleet {
    platform: FakePlatform,
    balancers: Vec<FleetClient>,
    agents: Vec<FleetClient>,
    spare: ControlSockets,
}

impl SmallFleet {
    /// Two balancers, three agents, and the sockets of a third balancer that is listed already.
    async fn start() -> Self {
        let mut sockets = Vec::new();
        for _ in 0..6 {
            sockets.push(ControlSockets::bind().await);
        }
        let addresses: Vec<_> = sockets.iter().map(|sockets| sockets.address).collect();
        let list = list_of(&addresses[..3], &addresses[3..]);
        let platform = FakePlatform::start(TEXT, list).await;
        let mut sockets = sockets.into_iter();
        let spare = sockets.next().unwrap();
        let zones = ["south", "north", "north", "south", "north"];
        let mut clients = Vec::new();
        for (number, (sockets, zone)) in sockets.zip(zones).enumerate() {
            let service = (number >= 2).then_some("claims");
            clients.push(sockets.start(platform.address, zone, service));
        }
        for client in &mut clients {
            tokio::time::timeout(LIMIT, client.ready()).await.unwrap();
        }
        let agents = clients.split_off(2);
        Self {
            platform,
            balancers: clients,
            agents,
            spare,
        }
    }

    fn all_hold(&self, revision: u64) -> bool {
        let mut clients = self.balancers.iter().chain(&self.agents);
        clients.all(|client| client.view().revision() == ConfigRevision(revision))
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_everywhere_within_two_seconds() {
    let fleet = SmallFleet::start().await;
    assert_eq!(fleet.balancers[0].view().targets(claims()).len(), 3);
    fleet.platform.change(|data| {
        data.revision = 2;
        data.text = NEXT_TEXT.to_owned();
    });
    assert!(eventually(Duration::from_secs(2), || fleet.all_hold(2)).await);
}

// Symptom: a text with a fault empties the routing of every balancer.
// Sequence: revision 2 is faulty, revision 3 is good again.
// Cause: the newest revision was taken without judging its text.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_text_changes_nothing() {
    let fleet = SmallFleet::start().await;
    fleet.platform.change(|data| {
        data.revision = 2;
        data.text = "[service claims]\naddress = nowhere\n".to_owned();
    });
    let refused = || {
        let status = fleet.balancers[0].status();
        status.refused == ConfigRevision(2)
    };
    assert!(eventually(LIMIT, refused).await);
    assert!(fleet.all_hold(1));
    fleet.platform.change(|data| {
        data.revision = 3;
        data.text = NEXT_TEXT.to_owned();
    });
    assert!(eventually(Duration::from_secs(2), || fleet.all_hold(3)).await);
}

// Symptom: a balancer that starts while the platform is down never serves, or one that starts
// while it is stale serves an old configuration.
// Sequence: the fleet holds revision 2; the platform goes down (or back to 1); one starts.
// Cause: only the platform was asked, and its word was taken for the newest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fresh_process_learns_from_peers() {
    for down in [true, false] {
        let fleet = SmallFleet::start().await;
        fleet.platform.change(|data| {
            data.revision = 2;
            data.text = NEXT_TEXT.to_owned();
        });
        assert!(eventually(LIMIT, || fleet.all_hold(2)).await);
        fleet.platform.change(|data| {
            data.revision = 1;
            data.text = TEXT.to_owned();
            data.down = down;
        });
        let SmallFleet {
            platform, spare, ..
        } = fleet;
        let mut fresh = spare.start(platform.address, "north", None);
        let ready = tokio::time::timeout(2 * LIMIT, fresh.ready()).await;
        assert!(ready.is_ok(), "platform down: {down}");
        let view = fresh.view();
        assert_eq!(view.revision(), ConfigRevision(2), "down: {down}");
        assert_eq!(view.targets(claims()).len(), 3, "down: {down}");
    }
}

// Symptom: a balancer that was replaced while the platform is down never serves.
// Sequence: the platform goes down, a process starts at an address that was never listed.
// Cause: it knows nobody to ask, and nobody knows it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unlisted_process_joins_through_its_seeds() {
    let fleet = SmallFleet::start().await;
    fleet.platform.change(|data| data.down = true);
    let seeds = format!("{}", fleet.spare.address);
    let peer = fleet.spare.start(fleet.platform.address, "north", None);
    let unlisted = ControlSockets::bind().await;
    let mut fresh = unlisted.start_with_seeds(fleet.platform.address, "south", None, &seeds);
    let ready = tokio::time::timeout(2 * LIMIT, fresh.ready()).await;
    assert!(ready.is_ok(), "peer holds {}", peer.view().revision());
    assert_eq!(fresh.view().targets(claims()).len(), 3);
}

// Symptom: a backend server that is leaving gets new flows until the platform lists it so.
// Sequence: an agent is told to leave; the platform's list does not change.
// Cause: balancers knew of a departure from the list alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn departure_is_known_without_the_list() {
    let fleet = SmallFleet::start().await;
    fleet.agents[0].set_leaving();
    let known = || {
        let mut others = fleet.balancers.iter().chain(&fleet.agents[1..]);
        others.all(|client| {
            let view = client.view();
            let target = view.targets(claims())[0].standing;
            target == TargetStanding::Leaving
        })
    };
    assert!(eventually(Duration::from_secs(3), known).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heartbeats_carry_reports() {
    let fleet = SmallFleet::start().await;
    let report = GateReport {
        slots: 3,
        in_use: 2,
        ..GateReport::default()
    };
    fleet.agents[0].set_report(report);
    let heard = || {
        let peers = fleet.agents[1].peer_reports();
        peers.iter().any(|peer| peer.report == report)
    };
    assert!(eventually(LIMIT, heard).await);
    let both = || fleet.agents[1].peer_reports().len() == 2;
    assert!(eventually(LIMIT, both).await);
}

fn claims() -> lovagelatch_domain::ServiceId {
    let name: lovagelatch_domain::ServiceName = "claims".parse().unwrap();
    name.id()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_and_metrics_tell_what_is_known() {
    let fleet = SmallFleet::start().await;
    let metrics = MetricsRegistry::new().unwrap();
    fleet.agents[0].register_metrics(&metrics.meter());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let text = metrics.to_text().unwrap();
    for kind in ["head", "heartbeat", "platform"] {
        let label = format!("kind=\"{kind}\"");
        let line = text.lines().find(|line| line.contains(&label));
        assert!(line.is_some(), "{kind}: {text}");
    }
    let status = fleet.agents[0].status();
    assert!(status.ready);
    assert_eq!(status.revision, ConfigRevision(1));
    assert_eq!(status.instances, 6);
    assert!(status.platform_age_seconds.is_some());
    assert!(serde_json::to_string(&status).is_ok());
}
