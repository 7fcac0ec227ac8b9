//! Background tasks that keep the agent's condition, its report to peers, its keys and its
//! certificate up to date.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{AgentAddress, GateCondition};
use lovagelatch_keys::read_key_file;
use lovagelatch_membership::TargetStanding;
use lovagelatch_placement::{HealthStatus, peer_subset, trusted_status};
use lovagelatch_telemetry::{DecisionKind, info, warn};

use crate::agent::Agent;
use crate::drain::LeavingCauses;
use crate::packet::{TlsFiles, load_server_crypto};

/// How often the backend server's health is polled.
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Poll interval while a health status awaits confirmation by a second one. Peers and balancers
/// must learn within 3 s that a server is leaving.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// How often the gate's report to peers is updated.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// How often the subset of peers is recomputed from the view.
const PEER_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// How often files are checked for changes.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

impl Agent {
    /// Changes the causes for leaving and notifies the gate and the peers at once.
    pub(crate) fn update_leaving(&self, change: impl FnOnce(&mut LeavingCauses)) {
        let Some(leaving) = self.drain.change(change) else {
            return;
        };
        let condition = if leaving {
            GateCondition::Leaving
        } else {
            GateCondition::Open
        };
        self.gate.set_condition(condition);
        self.fleet.set_report(self.gate.report());
        if leaving {
            self.fleet.set_leaving();
        }
        info!(self.log, "leaving changed"; "decision" => DecisionKind::LeavingSeen,
            "leaving" => leaving);
    }

    /// Counters for the status page.
    pub(crate) fn counters(&self) -> BTreeMap<String, u64> {
        let number = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        let mut counters = self.metrics.totals();
        counters.extend([
            ("active_requests".to_owned(), number(self.drain.active())),
            ("open_flows".to_owned(), number(self.endpoints.open_flows())),
            ("running_filings".to_owned(), number(self.once.running())),
            ("ledger_entries".to_owned(), number(self.once.len())),
        ]);
        counters
    }
}

/// Polls the backend server's health endpoint and the instance's standing in the platform's list.
///
/// Health responses can be late or wrong, so the outcomes of this agent's requests take precedence
/// (`trusted_status`). A missing response changes nothing: requests show sooner than any probe
/// whether the backend server works.
pub(crate) async fn watch_backend_health(agent: Arc<Agent>) {
    let mut warming = false;
    let mut previous = None;
    loop {
        let mut interval = HEALTH_POLL_INTERVAL;
        if let Some(health) = agent.backend.health().await {
            let status = health.status();
            let passive = agent.gate.passive_health();
            let trusted = trusted_status(status, previous, passive, agent.clock.now());
            previous = Some(status);
            if let Some(status) = trusted {
                agent.update_leaving(|causes| causes.backend = status == HealthStatus::Draining);
                warming = set_warming(&agent, warming, status);
            } else if matches!(status, HealthStatus::Warming(_)) {
                // Requests are being answered, so the warm-up reported before is over.
                warming = set_warming(&agent, warming, HealthStatus::Ready);
            } else {
                interval = CONFIRM_INTERVAL;
            }
        }
        let listed = is_listed_leaving(&agent);
        agent.update_leaving(|causes| causes.listed = listed);
        tokio::time::sleep(interval).await;
    }
}

/// Updates the gate's condition. Returns whether the backend server is warming up.
fn set_warming(agent: &Agent, was_warming: bool, status: HealthStatus) -> bool {
    if agent.drain.is_leaving() {
        return was_warming;
    }
    if let HealthStatus::Warming(remaining) = status {
        agent
            .gate
            .set_condition(GateCondition::Warming { remaining });
        return true;
    }
    if was_warming {
        agent.gate.set_condition(GateCondition::Open);
    }
    false
}

fn is_listed_leaving(agent: &Agent) -> bool {
    let view = agent.fleet.view();
    let own_address = agent.address();
    let mut targets = view.targets(agent.service).iter();
    let listed = targets.find(|target| target.agent == own_address);
    listed.is_some_and(|target| target.standing == TargetStanding::Leaving)
}

/// Passes the gate's report to the fleet client, which sends it in heartbeats.
pub(crate) async fn publish_gate_report(agent: Arc<Agent>) {
    loop {
        agent.fleet.set_report(agent.gate.report());
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Recomputes the subset of peers that this agent sends requests to. The placement discards the
/// state of all others, including those that are gone.
pub(crate) async fn refresh_peers(agent: Arc<Agent>) {
    loop {
        let view = agent.fleet.view();
        let targets = view.targets(agent.service).iter();
        let members: Vec<AgentAddress> = targets.map(|target| target.agent).collect();
        agent
            .placement
            .set_subset(peer_subset(agent.address(), &members));
        tokio::time::sleep(PEER_REFRESH_INTERVAL).await;
    }
}

/// Reloads the key file when it changes. The current keys stay in use if that fails.
pub(crate) async fn watch_key_file(agent: Arc<Agent>) {
    let path = agent.settings.common.key_file.clone();
    let modified = || {
        std::fs::metadata(&path)
            .and_then(|data| data.modified())
            .ok()
    };
    let mut seen = modified();
    loop {
        tokio::time::sleep(FILE_POLL_INTERVAL).await;
        let now = modified();
        if now.is_none() || now == seen {
            continue;
        }
        seen = now;
        match read_key_file(&path) {
            Ok(keys) => {
                info!(agent.log, "keys reloaded"; "keys" => format!("{keys:?}"));
                agent.keys.store(Arc::new(keys));
            }
            Err(error) => warn!(agent.log, "reloading keys failed"; "error" => error.to_string()),
        }
    }
}

/// Reloads a changed certificate for new flows; open flows keep theirs.
pub(crate) async fn watch_certificate(agent: Arc<Agent>) {
    let files = TlsFiles::from_settings(&agent.settings);
    let mut seen = files.modified().ok();
    loop {
        tokio::time::sleep(FILE_POLL_INTERVAL).await;
        let now = files.modified().ok();
        if now.is_none() || now == seen {
            continue;
        }
        // The certificate and its key are replaced one after the other; a mismatched pair is
        // retried.
        match load_server_crypto(&files) {
            Ok(crypto) => {
                seen = now;
                agent.endpoints.set_crypto(crypto);
                info!(agent.log, "certificate reloaded");
            }
            Err(error) => {
                warn!(agent.log, "reloading certificate failed"; "error" => error.to_string());
            }
        }
    }
}
