//! Lifecycle of the balancer for opaque packets: start, run, drain, stop.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_adapter::READY_PATH;
use lovagelatch_catalog::{CatalogMember, MemberSettings};
use lovagelatch_domain::{AgentAddress, Moment};
use lovagelatch_fleet::ProcessClock;
use lovagelatch_flows::{FlowBalancer, FlowKey, FlowView, FlowViewBuilder, ViewSettings};
use lovagelatch_operations::{
    OpaqueError, OpaqueInspector, ReadyFlag, SettingsWatcher, bind_datagram_socket, serve_opaque,
    start_packet_thread,
};
use lovagelatch_settings::{OpaqueBalancerSettings, SettingsFile};
use lovagelatch_telemetry::{Histogram, Logger, Meter, MetricsRegistry, info, warn};
use parking_lot::Mutex;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

use super::catalog::{CatalogState, CatalogTasks, start_catalog};
use super::coverage::CoverageLog;
use super::decision_log::DecisionLog;
use super::metrics::{
    PacketMetrics, StoreCallCounts, register_search_metrics, verification_duration, zone_delay,
};
use super::millis;
use super::packets::{PacketSockets, PacketState, PacketThread};
use super::zones::ZoneTracker;
use crate::stop::StopSignal;

/// Part of the stop timeout reserved for the exit itself, so that the process ends before it is
/// killed.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// The drain ends when no packet has arrived for this long. Routers remove a process that is not
/// ready from their rotation after two polls half a second apart.
const QUIET_PERIOD: Duration = Duration::from_millis(1_200);

/// Interval at which the drain checks whether packets still arrive.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a balancer for opaque packets until it receives a stop signal or must restart because of
/// changed settings, and has drained. `file` is the file that `settings` were read from; it is
/// watched for changes.
///
/// # Errors
///
/// Returns an [`OpaqueError`] if the balancer cannot start.
pub async fn run_opaque(
    settings: OpaqueBalancerSettings,
    file: SettingsFile,
    log: Logger,
) -> Result<(), OpaqueError> {
    let mut watch = SettingsWatcher::new(file)?;
    let mut stop = StopSignal::new()?;
    let ready = ReadyFlag::default();
    let metrics = MetricsRegistry::new()?;
    let packet_metrics = PacketMetrics::new(&metrics.meter());
    let common = &settings.common;
    let packets = Arc::new(PacketState {
        balancer: FlowBalancer::new(AgentAddress(common.frames))
            .with_link(settings.link_bytes_per_second),
        view: ArcSwap::from_pointee(FlowView::default()),
        received: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        shutdown: AtomicBool::new(false),
        clock: ProcessClock::new(),
        verification: watch::Sender::new(Moment::ZERO),
    });
    start_packets(&settings, &packets, packet_metrics, &log)?;
    let calls = StoreCallCounts::new(&metrics.meter());
    let verifications = verification_duration(&metrics.meter());
    let zones = ZoneTracker::new(zone_delay(&metrics.meter()));
    let tasks = start_control(
        &settings,
        &packets,
        &ready,
        calls,
        verifications,
        zones,
        &log,
    )
    .await?;
    register_gauges(&metrics.meter(), &tasks);
    serve_operations(&settings, metrics, &tasks, ready.clone(), &log);
    info!(log, "balancer runs"; "packets" => common.packets.to_string(),
        "frames" => common.frames.to_string(), "gossip" => settings.gossip.to_string(),
        "store" => settings.store.to_string(), "seeds" => settings.seeds.len());

    tokio::select! {
        () = stop.wait() => {}
        () = watch_settings(&mut watch, &settings, &tasks, &log) => {}
    }
    info!(log, "balancer stops"; "limit_ms" => millis(common.stop_timeout));
    packets.leaving.store(true, Ordering::Relaxed);
    ready.set(false);
    tasks.set_leaving();
    wait_for_quiet(
        &packets,
        common.stop_timeout.saturating_sub(STOP_MARGIN),
        &mut stop,
    )
    .await;
    packets.shutdown.store(true, Ordering::Relaxed);
    info!(log, "balancer stopped"; "packets" => packets.received.load(Ordering::Relaxed));
    Ok(())
}

/// Applies settings that may change at run time. Returns when other settings, such as an address of
/// this process, have changed and the process must restart.
async fn watch_settings(
    watch: &mut SettingsWatcher,
    started: &OpaqueBalancerSettings,
    tasks: &CatalogTasks,
    log: &Logger,
) {
    loop {
        match watch.changed().await.parse(OpaqueBalancerSettings::parse) {
            Ok(settings) => {
                tasks.state.member.lock().set_seeds(&settings.seeds);
                info!(log, "settings read again"; "seeds" => settings.seeds.len());
                let applied = OpaqueBalancerSettings {
                    common: started.common.clone().with_limits_from(&settings.common),
                    seeds: settings.seeds.clone(),
                    link_bytes_per_second: settings.link_bytes_per_second,
                    ..started.clone()
                };
                if settings != applied {
                    return;
                }
            }
            // The last valid settings stay in force.
            Err(faults) => warn!(log, "settings refused"; "faults" => faults.to_string()),
        }
    }
}

fn start_packets(
    settings: &OpaqueBalancerSettings,
    state: &Arc<PacketState>,
    packet_metrics: PacketMetrics,
    log: &Logger,
) -> Result<(), OpaqueError> {
    let sockets = PacketSockets {
        clients: bind_datagram_socket(settings.common.packets)?,
        frames: bind_datagram_socket(settings.common.frames)?,
        client_port: settings.common.packets.port(),
    };
    let state = Arc::clone(state);
    let decisions = DecisionLog::new(log.clone());
    // The buffers are allocated on the thread that uses them.
    start_packet_thread(log, move || {
        PacketThread::new(state, sockets, packet_metrics, decisions).run()
    })?;
    Ok(())
}

async fn start_control(
    settings: &OpaqueBalancerSettings,
    packets: &Arc<PacketState>,
    ready: &ReadyFlag,
    calls: StoreCallCounts,
    verifications: Histogram<f64>,
    zones: ZoneTracker,
    log: &Logger,
) -> Result<Arc<CatalogTasks>, OpaqueError> {
    let address = settings.gossip;
    let bind = |source| OpaqueError::Bind { address, source };
    let socket = UdpSocket::bind(address).await.map_err(bind)?;
    let listener = TcpListener::bind(address).await.map_err(bind)?;
    let member = MemberSettings {
        gossip: address,
        seeds: settings.seeds.clone(),
    };
    let view = ViewSettings {
        zone: settings.common.zone.clone(),
        regions: settings.zones.clone(),
        agent_port: settings.common.frames.port(),
        flow_lifetime: settings.common.flow_lifetime,
    };
    let now = packets.clock.now();
    let state = CatalogState {
        member: Mutex::new(CatalogMember::new(member, rand::random(), now)),
        builder: Mutex::new(FlowViewBuilder::new(view)),
        packets: Arc::clone(packets),
        ready: ready.clone(),
        calls,
        verifications,
        coverage: Mutex::new(CoverageLog::new(now)),
        zones: Mutex::new(zones),
        log: log.clone(),
    };
    Ok(start_catalog(state, socket, listener, settings.store))
}

fn serve_operations(
    settings: &OpaqueBalancerSettings,
    metrics: MetricsRegistry,
    tasks: &Arc<CatalogTasks>,
    ready: ReadyFlag,
    log: &Logger,
) {
    let inspector = BalancerInspector {
        tasks: Arc::clone(tasks),
        ready: ready.clone(),
    };
    serve_opaque(&settings.common, READY_PATH, ready, metrics, inspector, log);
}

/// Answers operators' queries about the state of the balancer.
struct BalancerInspector {
    tasks: Arc<CatalogTasks>,
    ready: ReadyFlag,
}

impl OpaqueInspector for BalancerInspector {
    fn status(&self) -> serde_json::Value {
        status_json(&self.tasks, &self.ready)
    }

    fn explain(&self, client: SocketAddrV4, address: SocketAddrV4) -> serde_json::Value {
        let packets = &self.tasks.state.packets;
        let flow = FlowKey {
            client,
            service_address: address,
        };
        let now = packets.clock.now();
        let explanation = packets.balancer.explain(&flow, &packets.view.load(), now);
        serde_json::json!(explanation)
    }
}

/// Registers gauges that are read when metrics are scraped.
fn register_gauges(meter: &Meter, tasks: &Arc<CatalogTasks>) {
    let packets = Arc::clone(&tasks.state.packets);
    let _flows = meter
        .u64_observable_gauge("lovagelatch.balancer.opaque_flows")
        .with_unit("{flow}")
        .with_description("Flows remembered")
        .with_callback(move |observer| observer.observe(packets.balancer.flow_count() as u64, &[]))
        .build();
    register_search_metrics(meter, &tasks.state.packets);
    let packets = Arc::clone(&tasks.state.packets);
    let _complete = meter
        .u64_observable_gauge("lovagelatch.balancer.view_complete")
        .with_unit("1")
        .with_description("Whether every living target is known, so that lost flows are told")
        .with_callback(move |observer| {
            observer.observe(packets.view.load().is_complete().into(), &[]);
        })
        .build();
    let packets = Arc::clone(&tasks.state.packets);
    let _unconfigured = meter
        .u64_observable_gauge("lovagelatch.balancer.unconfigured_targets")
        .with_unit("{target}")
        .with_description("Targets of services that the configuration does not name")
        .with_callback(move |observer| {
            let (_, targets) = packets.view.load().unconfigured_counts();
            observer.observe(targets as u64, &[]);
        })
        .build();
    let catalog = Arc::clone(tasks);
    let _evacuated = meter
        .u64_observable_gauge("lovagelatch.balancer.evacuated_zones")
        .with_unit("{zone}")
        .with_description("Zones whose targets get no new flows")
        .with_callback(move |observer| {
            observer.observe(catalog.state.zones.lock().count() as u64, &[]);
        })
        .build();
    let catalog = Arc::clone(tasks);
    let _version = meter
        .u64_observable_gauge("lovagelatch.balancer.config_version")
        .with_unit("{version}")
        .with_description("The operator's number for the configuration in force")
        .with_callback(move |observer| {
            let now = catalog.state.packets.clock.now();
            let status = catalog.state.member.lock().status(now);
            observer.observe(status.version.0, &[]);
        })
        .build();
    let catalog = Arc::clone(tasks);
    let _age = meter
        .f64_observable_gauge("lovagelatch.balancer.catalog_age")
        .with_unit("s")
        .with_description("How long ago the store confirmed the catalog in force")
        .with_callback(move |observer| {
            let now = catalog.state.packets.clock.now();
            if let Some(age) = catalog.state.member.lock().status(now).age {
                observer.observe(age.as_secs_f64(), &[]);
            }
        })
        .build();
}

fn status_json(tasks: &CatalogTasks, ready: &ReadyFlag) -> serde_json::Value {
    let packets = &tasks.state.packets;
    let now = packets.clock.now();
    let catalog = tasks.state.member.lock().status(now);
    let view = packets.view.load();
    let (routes, targets) = view.counts();
    let (_, unconfigured_targets) = view.unconfigured_counts();
    let targets_read = catalog.head.targets.revision;
    let zones_read = catalog.head.zones.revision;
    serde_json::json!({
        "ready": ready.is_set(),
        "coverage": view.coverage,
        "version": catalog.version.0,
        "routes_revision": catalog.head.routes.revision,
        "era": targets_read.era,
        "targets_revision": targets_read.revision,
        "zones_era": zones_read.era,
        "zones_revision": zones_read.revision,
        "evacuated": tasks.state.zones.lock().status(now),
        "confirmed_ms_ago": catalog.age.map(millis),
        "balancers": catalog.members,
        "reader": catalog.reader,
        "routes": routes,
        "targets": targets,
        "unconfigured_targets": unconfigured_targets,
        "cold_targets": view.cold_targets(now),
        "flows": packets.balancer.flow_count(),
    })
}

/// Waits until routers stop sending packets here, `limit` expires, or a second signal arrives. The
/// packet thread keeps forwarding meanwhile.
async fn wait_for_quiet(packets: &PacketState, limit: Duration, stop: &mut StopSignal) {
    let drained = async {
        let mut seen = packets.received.load(Ordering::Relaxed);
        let mut quiet = Duration::ZERO;
        while quiet < QUIET_PERIOD {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let received = packets.received.load(Ordering::Relaxed);
            quiet = if received == seen {
                quiet + DRAIN_POLL_INTERVAL
            } else {
                Duration::ZERO
            };
            seen = received;
        }
    };
    tokio::select! {
        () = drained => {}
        () = tokio::time::sleep(limit) => {}
        () = stop.wait() => {}
    }
}
