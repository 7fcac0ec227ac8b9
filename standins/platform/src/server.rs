//! The HTTP interface of the platform.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use lovagelatch_domain::{ConfigRevision, InstanceList};
use rocket::data::{Limits, ToByteUnit};
use rocket::fairing::AdHoc;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, put, routes};

use crate::state::{CallCounts, FaultSettings, PlatformState, PublishedConfig, PublishedRevision};

/// Timeout of a watch, after which it returns 204.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Size limit of a published value. It is above the system's own limit of a configuration text,
/// so that tests can publish texts that are too large.
const PUBLISH_LIMIT_MEGABYTES: u32 = 8;

/// Options of the platform stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// The address to listen on; port 0 lets the operating system choose.
    pub listen: SocketAddrV4,
}

type SharedState = State<Arc<PlatformState>>;

/// Builds the server, which prints its ready line once it listens.
pub fn new_server(options: &PlatformOptions, state: Arc<PlatformState>) -> Rocket<Build> {
    let limit = PUBLISH_LIMIT_MEGABYTES.megabytes();
    let limits = Limits::default()
        .limit("string", limit)
        .limit("json", limit);
    let config = rocket::Config {
        address: (*options.listen.ip()).into(),
        port: options.listen.port(),
        workers: 2,
        limits,
        log_level: rocket::config::LogLevel::Off,
        ..rocket::Config::release_default()
    };
    rocket::custom(config)
        .manage(state)
        .attach(AdHoc::on_liftoff("ready line", |rocket| {
            let address = format!("{}:{}", rocket.config().address, rocket.config().port);
            Box::pin(async move {
                println!("{}", serde_json::json!({"ready": true, "address": address}));
            })
        }))
        .mount("/v1", routes![read_config, watch_config, read_instances])
        .mount(
            "/admin",
            routes![put_config, put_instances, put_fault, calls],
        )
}

#[get("/config")]
fn read_config(state: &SharedState) -> Result<Json<PublishedConfig>, Status> {
    state.count_config_read();
    let config = state.visible_config();
    config.map(Json).ok_or(Status::ServiceUnavailable)
}

#[get("/config/watch?<after>")]
async fn watch_config(after: u64, state: &SharedState) -> Result<Json<PublishedConfig>, Status> {
    state.count_watch();
    if state.is_down() {
        return Err(Status::ServiceUnavailable);
    }
    let config = state
        .watch_config(ConfigRevision(after), WATCH_TIMEOUT)
        .await;
    config.map(Json).ok_or(Status::NoContent)
}

#[get("/instances")]
fn read_instances(state: &SharedState) -> Json<InstanceList> {
    state.count_instance_read();
    Json(state.visible_instances())
}

#[put("/config", data = "<text>")]
fn put_config(text: String, state: &SharedState) -> Json<PublishedRevision> {
    let revision = state.publish_config(text).0;
    Json(PublishedRevision { revision })
}

#[put("/instances", data = "<list>")]
fn put_instances(list: Json<InstanceList>, state: &SharedState) -> Json<PublishedRevision> {
    let revision = state.publish_instances(list.into_inner()).0;
    Json(PublishedRevision { revision })
}

#[put("/fault", data = "<fault>")]
fn put_fault(fault: Json<FaultSettings>, state: &SharedState) -> Json<FaultSettings> {
    state.set_fault(*fault);
    fault
}

#[get("/calls")]
fn calls(state: &SharedState) -> Json<CallCounts> {
    Json(state.calls())
}
