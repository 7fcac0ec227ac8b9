//! The HTTP interface for tests: sets the topology and the faults, and returns the counters.

use std::net::{IpAddr, SocketAddrV4};
use std::sync::Arc;

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, put, routes};

use crate::counters::FabricCounters;
use crate::ingress::apply_topology;
use crate::settings::{FabricTopology, FaultPlan};
use crate::state::FabricState;

/// Size limit of a request body. It has room for the zones of a few thousand addresses.
const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;

#[put("/topology", data = "<topology>")]
fn put_topology(
    topology: Json<FabricTopology>,
    state: &State<Arc<FabricState>>,
) -> Result<Status, (Status, String)> {
    match apply_topology(state, topology.into_inner()) {
        Ok(()) => Ok(Status::NoContent),
        Err(error) => Err((Status::Conflict, format!("service address: {error}"))),
    }
}

#[put("/fault", data = "<plan>")]
fn put_fault(plan: Json<FaultPlan>, state: &State<Arc<FabricState>>) -> Status {
    state.set_plan(plan.into_inner());
    Status::NoContent
}

#[get("/counters")]
fn get_counters(state: &State<Arc<FabricState>>) -> Json<FabricCounters> {
    Json(state.counters.snapshot())
}

/// Builds the server, which prints a ready line with the `gateway` address once it listens.
pub(crate) fn build_admin(
    state: Arc<FabricState>,
    address: SocketAddrV4,
    gateway: SocketAddrV4,
) -> Rocket<Build> {
    let limits = rocket::data::Limits::default().limit("json", MAX_BODY_BYTES.into());
    let config = Config {
        address: IpAddr::V4(*address.ip()),
        port: address.port(),
        workers: 1,
        log_level: LogLevel::Off,
        limits,
        // `run_fabric` handles the signals for the whole process.
        shutdown: Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            ..Shutdown::default()
        },
        ..Config::default()
    };
    rocket::custom(config)
        .manage(state)
        .mount("/admin", routes![put_topology, put_fault, get_counters])
        .attach(AdHoc::on_liftoff("ready line", move |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                let admin = format!("{}:{}", config.address, config.port);
                println!(
                    "{}",
                    serde_json::json!({"ready": true, "gateway": gateway, "admin": admin})
                );
            })
        }))
}
