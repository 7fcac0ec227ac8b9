//! What the agent keeps current while it runs: its condition, its report to peers, its keys and
//! its certificate.

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

/// How often the backend server is asked how it is.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

/// How soon it is asked again after a word that needs a second one. Peers and balancers must
/// hear of a server that leaves within 3 s.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// How often the gate's report to peers is renewed.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// How often the list of peers is looked at.
const PEER_INTERVAL: Duration = Duration::from_secs(1);

/// How often files are looked at.
const FILE_INTERVAL: Duration = Duration::from_secs(2);

impl Agent {
    /// Changes why the agent leaves, and tells the gate and the peers at once.
    pub(crate) fn leave(&self, change: impl FnOnce(&mut LeavingCauses)) {
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

    /// Figures for the status page.
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

/// Follows the backend server's own announcement and the platform's list.
///
/// Health answers lag and mislead, so own requests rank above them (`trusted_status`). Silence
/// changes nothing, because requests themselves show sooner than any probe whether the backend
/// server works.
pub(crate) async fn keep_condition(agent: Arc<Agent>) {
    let mut warming = false;
    let mut before = None;
    loop {
        let mut pause = HEALTH_INTERVAL;
        if let Some(health) = agent.backend.health().await {
            let word = health.word();
            let evidence = agent.gate.evidence();
            let believed = trusted_status(word, before, evidence, agent.clock.now());
            before = Some(word);
            if let Some(word) = believed {
                agent.leave(|causes| causes.backend = word == HealthStatus::Draining);
                warming = set_warming(&agent, warming, word);
            } else if matches!(word, HealthStatus::Warming(_)) {
                // Requests are answered: a warm-up believed before is over.
                warming = set_warming(&agent, warming, HealthStatus::Ready);
            } else {
                pause = CONFIRM_INTERVAL;
            }
        }
        let listed = is_listed_leaving(&agent);
        agent.leave(|causes| causes.listed = listed);
        tokio::time::sleep(pause).await;
    }
}

fn set_warming(agent: &Agent, was: bool, word: HealthStatus) -> bool {
    if agent.drain.is_leaving() {
        return was;
    }
    if let HealthStatus::Warming(remaining) = word {
        agent
            .gate
            .set_condition(GateCondition::Warming { remaining });
        return true;
    }
    if was {
        agent.gate.set_condition(GateCondition::Open);
    }
    false
}

fn is_listed_leaving(agent: &Agent) -> bool {
    let view = agent.fleet.view();
    let own = agent.address();
    let mut targets = view.targets(agent.service).iter();
    let listed = targets.find(|target| target.agent == own);
    listed.is_some_and(|target| target.standing == TargetStanding::Leaving)
}

/// Tells the fleet client what heartbeats shall say.
pub(crate) async fn keep_report(agent: Arc<Agent>) {
    loop {
        agent.fleet.set_report(agent.gate.report());
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Keeps to the peers that this agent deals with, and forgets those gone.
pub(crate) async fn keep_peers(agent: Arc<Agent>) {
    loop {
        let view = agent.fleet.view();
        let targets = view.targets(agent.service).iter();
        let members: Vec<AgentAddress> = targets.map(|target| target.agent).collect();
        agent
            .placement
            .renew(peer_subset(agent.address(), &members));
        tokio::time::sleep(PEER_INTERVAL).await;
    }
}

/// Takes a changed key file into use; one that cannot be used changes nothing.
pub(crate) async fn keep_keys(agent: Arc<Agent>) {
    let path = agent.settings.common.key_file.clone();
    let modified = || {
        std::fs::metadata(&path)
            .and_then(|data| data.modified())
            .ok()
    };
    let mut seen = modified();
    loop {
        tokio::time::sleep(FILE_INTERVAL).await;
        let now = modified();
        if now.is_none() || now == seen {
            continue;
        }
        seen = now;
        match read_key_file(&path) {
            Ok(keys) => {
                info!(agent.log, "keys renewed"; "keys" => format!("{keys:?}"));
                agent.keys.store(Arc::new(keys));
            }
            Err(error) => warn!(agent.log, "keys not renewed"; "error" => error.to_string()),
        }
    }
}

/// Takes a renewed certificate into use for new flows; open flows keep theirs.
pub(crate) async fn keep_certificate(agent: Arc<Agent>) {
    let files = TlsFiles::of(&agent.settings);
    let mut seen = files.modified().ok();
    loop {
        tokio::time::sleep(FILE_INTERVAL).await;
        let now = files.modified().ok();
        if now.is_none() || now == seen {
            continue;
        }
        // The two files change one after the other; a pair that does not fit is tried again.
        match load_server_crypto(&files) {
            Ok(crypto) => {
                seen = now;
                agent.endpoints.renew(crypto);
                info!(agent.log, "certificate renewed");
            }
            Err(error) => warn!(agent.log, "certificate not renewed"; "error" => error.to_string()),
        }
    }
}
