//! The plan of the callers, and the endpoints for other tools.

use lovagelatch_callers::{AddressPlan, CallerPlan, ServicePlan};
use serde_json::json;

use crate::credentials::server_name;
use crate::deployment::MEAN_WORK_MS;
use crate::options::LocalOptions;
use crate::rig::LocalRig;

/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 8_000;

/// Returns the endpoints of services and platform, printed for other tools with `--hold`.
pub(crate) fn endpoints_json(rig: &LocalRig) -> serde_json::Value {
    let services: Vec<_> = rig
        .addresses
        .iter()
        .map(|entry| {
            json!({
                "name": entry.service,
                "address": entry.address.to_string(),
                "agency": entry.agency,
                "server_name": server_name(entry.service),
                "ca": rig.credentials.authority,
            })
        })
        .collect();
    json!({ "services": services, "platform": rig.platform_address.to_string() })
}

/// Returns the plan of the callers that run against a deployment.
pub(crate) fn caller_plan(rig: &LocalRig, options: &LocalOptions) -> CallerPlan {
    let deployment = &rig.deployment;
    let services = deployment.services.iter().map(|service| {
        let addresses = rig
            .addresses
            .iter()
            .filter(|entry| entry.service == service.name);
        ServicePlan {
            name: service.name.to_owned(),
            server_name: server_name(service.name),
            ca: rig.credentials.authority.clone(),
            addresses: addresses
                .enumerate()
                .map(|(position, entry)| AddressPlan {
                    address: entry.address,
                    agency: entry.agency.map(str::to_owned),
                    weight: if position == 0 { options.rush } else { 1.0 },
                })
                .collect(),
            share: service.targets as f64,
            status: service.status,
            depends: service.depends.is_some(),
            download: service.download.map(str::to_owned),
            filing: service.filing.map(str::to_owned),
            feed: service.feed,
        }
    });
    CallerPlan {
        seed: options.seed,
        seconds: options.seconds,
        rate: options.rate.unwrap_or_else(|| deployment.default_rate()),
        feeds: options.feeds,
        mean_work_ms: MEAN_WORK_MS,
        deadline_ms: DEADLINE_MS,
        services: services.collect(),
        history: rig.directory.logs.join("callers.jsonl"),
    }
}
