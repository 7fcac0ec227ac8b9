//! Start, run and stop of a balancer of opaque packets.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use lovagelatch_adapter::READY_PATH;
use lovagelatch_catalog::{CatalogMember, MemberSettings};
use lovagelatch_domain::AgentAddress;
use lovagelatch_fleet::ProcessClock;
use lovagelatch_flows::{FlowBalancer, FlowKey, FlowView, FlowViewBuilder, ViewSettings};
use lovagelatch_operations::{
    CarrierAnswers, CarrierError, ReadyFlag, SettingsWatch, open_datagrams, serve_carrier,
    start_packet_thread,
};
use lovagelatch_settings::{OpaqueBalancerSettings, SettingsFile};
use lovagelatch_telemetry::{Logger, Meter, MetricsRegistry, info, warn};
use parking_lot::Mutex;
use tokio::net::{TcpListener, UdpSocket};

use super::catalog::{CatalogState, CatalogTasks, start_catalog};
use super::count::{PacketMetrics, StoreCounts, zone_delay};
use super::coverage::CoverageWatch;
use super::millis;
use super::notice::DecisionLog;
use super::packets::{PacketSockets, PacketState, PacketThread};
use super::zones::ZoneWatch;
use crate::stop::StopSignal;

/// How much of the time that a stop may take is left unused, so that the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// A stop ends when no packet has arrived for this long. Routers take a process that is not
/// ready out of their rotation after two polls half a second apart.
const QUIET_PERIOD: Duration = Duration::from_millis(1_200);

/// How often a stop looks whether packets still arrive.
const STOP_STEP: Duration = Duration::from_millis(100);

/// Runs a balancer of opaque packets until it is told to stop. `file` is what `settings` were
/// read from; it is watched.
///
/// # Errors
///
/// An [`CarrierError`] when it cannot start.
pub async fn run_opaque(
    settings: OpaqueBalancerSettings,
    file: SettingsFile,
    log: Logger,
) -> Result<(), CarrierError> {
    let mut watch = SettingsWatch::new(file)?;
    let mut stop = StopSignal::new()?;
    let ready = ReadyFlag::default();
    let metrics = MetricsRegistry::new()?;
    let measured = PacketMetrics::new(&metrics.meter());
    let common = &settings.common;
    let packets = Arc::new(PacketState {
        balancer: FlowBalancer::new(AgentAddress(common.frames))
            .with_link(settings.link_bytes_per_second),
        view: ArcSwap::from_pointee(FlowView::default()),
        received: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        ended: AtomicBool::new(false),
        clock: ProcessClock::new(),
    });
    start_packets(&settings, &packets, measured, &log)?;
    let calls = StoreCounts::new(&metrics.meter());
    let zones = ZoneWatch::new(zone_delay(&metrics.meter()));
    let tasks = start_control(&settings, &packets, &ready, calls, zones, &log).await?;
    register_gauges(&metrics.meter(), &tasks);
    serve_operations(&settings, metrics, &tasks, ready.clone(), &log);
    info!(log, "balancer runs"; "packets" => common.packets.to_string(),
        "frames" => common.frames.to_string(), "gossip" => settings.gossip.to_string(),
        "store" => settings.store.to_string(), "seeds" => settings.seeds.len());

    tokio::select! {
        () = stop.wait() => {}
        () = follow_settings(&mut watch, &settings, &tasks, &log) => {}
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
    packets.ended.store(true, Ordering::Relaxed);
    info!(log, "balancer stopped"; "packets" => packets.received.load(Ordering::Relaxed));
    Ok(())
}

/// Takes over what may change while the process runs; returns when it must start anew, because an
/// address of its own is another.
async fn follow_settings(
    watch: &mut SettingsWatch,
    started: &OpaqueBalancerSettings,
    tasks: &CatalogTasks,
    log: &Logger,
) {
    loop {
        match watch.changed().await.parse(OpaqueBalancerSettings::parse) {
            Ok(settings) => {
                tasks.state.member.lock().set_seeds(&settings.seeds);
                info!(log, "settings read again"; "seeds" => settings.seeds.len());
                let same = OpaqueBalancerSettings {
                    common: started.common.clone().with_limits_from(&settings.common),
                    seeds: settings.seeds.clone(),
                    link_bytes_per_second: settings.link_bytes_per_second,
                    ..started.clone()
                };
                if settings != same {
                    return;
                }
            }
            // The last good ones stay in force.
            Err(faults) => warn!(log, "settings refused"; "faults" => faults.to_string()),
        }
    }
}

fn start_packets(
    settings: &OpaqueBalancerSettings,
    state: &Arc<PacketState>,
    measured: PacketMetrics,
    log: &Logger,
) -> Result<(), CarrierError> {
    let sockets = PacketSockets {
        clients: open_datagrams(settings.common.packets)?,
        frames: open_datagrams(settings.common.frames)?,
        client_port: settings.common.packets.port(),
    };
    let state = Arc::clone(state);
    let decisions = DecisionLog::new(log.clone());
    // The thread's buffers are made where they are used.
    start_packet_thread(log, move || {
        PacketThread::new(state, sockets, measured, decisions).run()
    })?;
    Ok(())
}

async fn start_control(
    settings: &OpaqueBalancerSettings,
    packets: &Arc<PacketState>,
    ready: &ReadyFlag,
    calls: StoreCounts,
    zones: ZoneWatch,
    log: &Logger,
) -> Result<Arc<CatalogTasks>, CarrierError> {
    let address = settings.gossip;
    let bind = |source| CarrierError::Bind { address, source };
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
        coverage: Mutex::new(CoverageWatch::new(now)),
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
    let answers = BalancerAnswers {
        tasks: Arc::clone(tasks),
        ready: ready.clone(),
    };
    serve_carrier(&settings.common, READY_PATH, ready, metrics, answers, log);
}

/// What the balancer tells its operators.
struct BalancerAnswers {
    tasks: Arc<CatalogTasks>,
    ready: ReadyFlag,
}

impl CarrierAnswers for BalancerAnswers {
    fn status(&self) -> serde_json::Value {
        status_of(&self.tasks, &self.ready)
    }

    fn explain(&self, client: SocketAddrV4, address: SocketAddrV4) -> serde_json::Value {
        let packets = &self.tasks.state.packets;
        let flow = FlowKey {
            client,
            service_address: address,
        };
        let now = packets.clock.now();
        let outlook = packets.balancer.explain(&flow, &packets.view.load(), now);
        serde_json::json!(outlook)
    }
}

/// Gauges that are read when metrics are asked for.
fn register_gauges(meter: &Meter, tasks: &Arc<CatalogTasks>) {
    let packets = Arc::clone(&tasks.state.packets);
    let _flows = meter
        .u64_observable_gauge("lovagelatch.balancer.opaque_flows")
        .with_unit("{flow}")
        .with_description("Flows remembered")
        .with_callback(move |observer| observer.observe(packets.balancer.flow_count() as u64, &[]))
        .build();
    let packets = Arc::clone(&tasks.state.packets);
    let _complete = meter
        .u64_observable_gauge("lovagelatch.balancer.view_complete")
        .with_unit("1")
        .with_description("Whether every living target is known, so that lost flows are told")
        .with_callback(move |observer| {
            observer.observe(packets.view.load().is_complete().into(), &[]);
        })
        .build();
    let held = Arc::clone(tasks);
    let _evacuated = meter
        .u64_observable_gauge("lovagelatch.balancer.evacuated_zones")
        .with_unit("{zone}")
        .with_description("Zones whose targets get no new flows")
        .with_callback(move |observer| {
            observer.observe(held.state.zones.lock().count() as u64, &[]);
        })
        .build();
    let held = Arc::clone(tasks);
    let _version = meter
        .u64_observable_gauge("lovagelatch.balancer.config_version")
        .with_unit("{version}")
        .with_description("The operator's number for the configuration in force")
        .with_callback(move |observer| {
            let now = held.state.packets.clock.now();
            let status = held.state.member.lock().status(now);
            observer.observe(status.version.0, &[]);
        })
        .build();
    let held = Arc::clone(tasks);
    let _age = meter
        .f64_observable_gauge("lovagelatch.balancer.catalog_age")
        .with_unit("s")
        .with_description("How long ago the store confirmed the catalog in force")
        .with_callback(move |observer| {
            let now = held.state.packets.clock.now();
            if let Some(age) = held.state.member.lock().status(now).age {
                observer.observe(age.as_secs_f64(), &[]);
            }
        })
        .build();
}

fn status_of(tasks: &CatalogTasks, ready: &ReadyFlag) -> serde_json::Value {
    let packets = &tasks.state.packets;
    let now = packets.clock.now();
    let catalog = tasks.state.member.lock().status(now);
    let view = packets.view.load();
    let (routes, targets) = view.counts();
    serde_json::json!({
        "ready": ready.is_set(),
        "coverage": view.coverage,
        "version": catalog.version.0,
        "routes_revision": catalog.head.routes.revision,
        "targets_revision": catalog.head.targets.revision,
        "zones_revision": catalog.head.zones.revision,
        "evacuated": tasks.state.zones.lock().status(now),
        "confirmed_ms_ago": catalog.age.map(millis),
        "balancers": catalog.members,
        "reader": catalog.reader,
        "routes": routes,
        "targets": targets,
        "cold_targets": view.cold_targets(now),
        "flows": packets.balancer.flow_count(),
    })
}

/// Goes on forwarding until routers send nothing here any more, the limit is over, or a second
/// signal comes.
async fn wait_for_quiet(packets: &PacketState, limit: Duration, stop: &mut StopSignal) {
    let quiet = async {
        let mut seen = packets.received.load(Ordering::Relaxed);
        let mut span = Duration::ZERO;
        while span < QUIET_PERIOD {
            tokio::time::sleep(STOP_STEP).await;
            let received = packets.received.load(Ordering::Relaxed);
            span = if received == seen {
                span + STOP_STEP
            } else {
                Duration::ZERO
            };
            seen = received;
        }
    };
    tokio::select! {
        () = quiet => {}
        () = tokio::time::sleep(limit) => {}
        () = stop.wait() => {}
    }
}
