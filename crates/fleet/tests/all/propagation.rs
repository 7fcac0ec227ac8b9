//! Tests that processes share a view over real sockets.

use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, GateReport};
use lovagelatch_fleet::FleetClient;
use lovagelatch_membership::TargetStanding;
use lovagelatch_telemetry::MetricsRegistry;

use crate::fake::{ControlSockets, FakePlatform, eventually, instance_list};

const TEXT: &str = "[service claims]\naddress = 127.20.0.1:4433 ludhiana\n";
const NEXT_TEXT: &str = "[service claims]\naddress = 127.20.0.2:4433 amritsar\n";
const TIMEOUT: Duration = Duration::from_secs(5);

struct SmallFleet {
    platform: FakePlatform,
    balancers: Vec<FleetClient>,
    agents: Vec<FleetClient>,
    spare: ControlSockets,
}

impl SmallFleet {
    /// Starts two balancers and three agents. A third balancer is listed but not started; only its
    /// sockets are bound.
    async fn start() -> Self {
        let mut sockets = Vec::new();
        for _ in 0..6 {
            sockets.push(ControlSockets::bind().await);
        }
        let addresses: Vec<_> = sockets.iter().map(|sockets| sockets.address).collect();
        let list = instance_list(&addresses[..3], &addresses[3..]);
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
            tokio::time::timeout(TIMEOUT, client.ready()).await.unwrap();
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

// Guards against a faulty text that clears the routing of every balancer, because the newest
// revision was applied without validation. Revision 2 is faulty, revision 3 is valid again.
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
    assert!(eventually(TIMEOUT, refused).await);
    assert!(fleet.all_hold(1));
    fleet.platform.change(|data| {
        data.revision = 3;
        data.text = NEXT_TEXT.to_owned();
    });
    assert!(eventually(Duration::from_secs(2), || fleet.all_hold(3)).await);
}

// Guards against a new balancer that never serves while the platform is down, or serves an old
// configuration while the platform is stale, because it trusts only the platform. The fleet holds
// revision 2; then the platform goes down (or back to 1) and a balancer starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fresh_process_learns_from_peers() {
    for down in [true, false] {
        let fleet = SmallFleet::start().await;
        fleet.platform.change(|data| {
            data.revision = 2;
            data.text = NEXT_TEXT.to_owned();
        });
        assert!(eventually(TIMEOUT, || fleet.all_hold(2)).await);
        fleet.platform.change(|data| {
            data.revision = 1;
            data.text = TEXT.to_owned();
            data.down = down;
        });
        let SmallFleet {
            platform, spare, ..
        } = fleet;
        let mut fresh = spare.start(platform.address, "north", None);
        let ready = tokio::time::timeout(2 * TIMEOUT, fresh.ready()).await;
        assert!(ready.is_ok(), "platform down: {down}");
        let view = fresh.view();
        assert_eq!(view.revision(), ConfigRevision(2), "down: {down}");
        assert_eq!(view.targets(claims()).len(), 3, "down: {down}");
    }
}

// Guards against a replaced balancer that never serves while the platform is down. It starts at an
// address that was never listed, so without seeds no peer knows it and it knows no peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unlisted_process_joins_through_its_seeds() {
    let fleet = SmallFleet::start().await;
    fleet.platform.change(|data| data.down = true);
    let seeds = format!("{}", fleet.spare.address);
    let peer = fleet.spare.start(fleet.platform.address, "north", None);
    let unlisted = ControlSockets::bind().await;
    let mut fresh = unlisted.start_with_seeds(fleet.platform.address, "south", None, &seeds);
    let ready = tokio::time::timeout(2 * TIMEOUT, fresh.ready()).await;
    assert!(ready.is_ok(), "peer holds {}", peer.view().revision());
    assert_eq!(fresh.view().targets(claims()).len(), 3);
}

// Guards against new flows to a leaving backend server until the platform lists it as leaving,
// because balancers learn of departures only from the list. An agent leaves here while the
// platform's list does not change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn departure_spreads_without_the_list() {
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
    let received = || {
        let peers = fleet.agents[1].peer_reports();
        peers.iter().any(|peer| peer.report == report)
    };
    assert!(eventually(TIMEOUT, received).await);
    let both_received = || fleet.agents[1].peer_reports().len() == 2;
    assert!(eventually(TIMEOUT, both_received).await);
}

fn claims() -> lovagelatch_domain::ServiceId {
    let name: lovagelatch_domain::ServiceName = "claims".parse().unwrap();
    name.id()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_and_metrics_reflect_fleet_state() {
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
