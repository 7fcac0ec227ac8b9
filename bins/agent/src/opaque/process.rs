//! Startup, settings watch and shutdown of an agent for opaque packets.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use lovagelatch_adapter::READY_PATH;
use lovagelatch_domain::{AgentAddress, ServiceName};
use lovagelatch_fleet::ProcessClock;
use lovagelatch_flows::{AgentSettings, FlowAgent, FlowKey, WarmupSettings};
use lovagelatch_operations::{
    OpaqueError, OpaqueInspector, ReadyFlag, SettingsWatcher, bind_datagram_socket, serve_opaque,
    start_packet_thread,
};
use lovagelatch_settings::{OpaqueAgentSettings, SettingsFile};
use lovagelatch_telemetry::{Logger, Meter, MetricsRegistry, info, warn};
use parking_lot::Mutex;
use tokio::signal::unix::{SignalKind, signal};

use super::decision_log::DecisionLog;
use super::metrics::PacketMetrics;
use super::packets::{PacketSockets, PacketState, PacketThread};

/// How long an agent keeps running at least after it has announced to balancers that it stops: two
/// load reports, so that new flows go elsewhere while its successor starts.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// How often the progress of a stop is checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Runs an agent for opaque packets until it receives a stop signal or its settings change in a
/// way that needs a restart. `file` is the file that `settings` were read from; it is watched.
///
/// # Errors
///
/// An [`OpaqueError`] when the agent cannot start.
pub async fn run_opaque(
    settings: OpaqueAgentSettings,
    file: SettingsFile,
    log: Logger,
) -> Result<(), OpaqueError> {
    let mut watch = SettingsWatcher::new(file)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let metrics = MetricsRegistry::new()?;
    let packet_metrics = PacketMetrics::new(&metrics.meter());
    let common = &settings.common;
    let clock = ProcessClock::new();
    let agent_settings = AgentSettings {
        own_address: AgentAddress(settings.advertised),
        service: settings.service.id(),
        started_with_target: settings.first_start,
        flow_lifetime: common.flow_lifetime,
        warmup: WarmupSettings {
            overshoot: settings.cold_overshoot,
            slack: settings.cold_slack,
        },
    };
    let state = Arc::new(PacketState {
        agent: Mutex::new(FlowAgent::new(agent_settings, clock.now())),
        clock,
        received: AtomicU64::new(0),
        shutdown: AtomicBool::new(false),
        ended: AtomicBool::new(false),
    });
    start_packet_path(&settings, &state, packet_metrics, &log)?;
    register_gauges(&metrics.meter(), &state);
    serve_operations(&settings, metrics, &state, &log);
    info!(log, "agent runs"; "service" => settings.service.to_string(),
        "frames" => common.frames.to_string(), "backend" => settings.backend.to_string(),
        "outbound" => settings.outbound.to_string(), "first_start" => settings.first_start);

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = wait_for_restart(&mut watch, &settings, &log) => {}
    }
    info!(log, "agent stops");
    state.agent.lock().set_leaving();
    announce_stop(&state, common.stop_timeout / 2).await;
    state.shutdown.store(true, Ordering::Relaxed);
    wait_for_packet_thread(&state, common.stop_timeout / 4).await;
    let announcement = state.agent.lock().stop_announcement();
    info!(log, "agent stopped"; "packets" => state.received.load(Ordering::Relaxed),
        "balancers" => announcement.recipients, "confirmed" => announcement.confirmed);
    Ok(())
}

/// Waits until a balancer has confirmed that it relays the announced stop, for at least
/// [`STOP_GRACE`] and at most `limit`. The agent keeps serving open flows meanwhile. If it exited
/// unheard, balancers would take its silence for a failure.
async fn announce_stop(state: &PacketState, limit: Duration) {
    let wait = async {
        tokio::time::sleep(STOP_GRACE).await;
        while !state.agent.lock().stop_announcement().confirmed {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    // Without a confirmation in time, no balancer can be reached.
    let _timed_out = tokio::time::timeout(limit, wait).await;
}

/// Waits until the packet thread has delivered what it held, for at most `timeout`.
async fn wait_for_packet_thread(state: &PacketState, timeout: Duration) {
    let wait = async {
        while !state.ended.load(Ordering::Relaxed) {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    };
    // A thread that does not end in time has released its requests when the stop was announced.
    let _timed_out = tokio::time::timeout(timeout, wait).await;
}

/// Watches the settings file. Returns once the settings differ from those the process was started
/// with, so that it must restart.
async fn wait_for_restart(
    watch: &mut SettingsWatcher,
    started: &OpaqueAgentSettings,
    log: &Logger,
) {
    loop {
        match watch.changed().await.parse(OpaqueAgentSettings::parse) {
            Ok(settings) => {
                info!(log, "settings read again"; "service" => settings.service.to_string());
                // No restart is needed for changed limits, which apply from the next start, or for
                // `first_start`, which only describes how the process was started.
                let equivalent = OpaqueAgentSettings {
                    common: started.common.clone().with_limits_from(&settings.common),
                    first_start: settings.first_start,
                    ..started.clone()
                };
                if settings != equivalent {
                    return;
                }
            }
            // The last valid settings stay in force.
            Err(faults) => warn!(log, "settings refused"; "faults" => faults.to_string()),
        }
    }
}

fn start_packet_path(
    settings: &OpaqueAgentSettings,
    state: &Arc<PacketState>,
    metrics: PacketMetrics,
    log: &Logger,
) -> Result<(), OpaqueError> {
    let common = &settings.common;
    let target = bind_datagram_socket(SocketAddrV4::new(*settings.backend.ip(), 0))?;
    target.connect(settings.backend)?;
    let sockets = PacketSockets {
        frames: bind_datagram_socket(common.frames)?,
        outbound: bind_datagram_socket(settings.outbound)?,
        target,
        target_address: settings.backend,
        client_port: common.packets.port(),
        own_address: AgentAddress(settings.advertised),
    };
    let state = Arc::clone(state);
    let idle = common.flow_lifetime;
    let decisions = DecisionLog::new(log.clone());
    // The buffers are allocated on the thread that uses them.
    start_packet_thread(log, move || {
        PacketThread::new(state, sockets, metrics, decisions, idle).run()
    })?;
    Ok(())
}

fn serve_operations(
    settings: &OpaqueAgentSettings,
    metrics: MetricsRegistry,
    state: &Arc<PacketState>,
    log: &Logger,
) {
    let ready = ReadyFlag::default();
    ready.set(true);
    let inspector = AgentInspector {
        state: Arc::clone(state),
        service: settings.service.clone(),
    };
    serve_opaque(&settings.common, READY_PATH, ready, metrics, inspector, log);
}

/// Answers operators' queries about the state of the agent.
struct AgentInspector {
    state: Arc<PacketState>,
    service: ServiceName,
}

impl OpaqueInspector for AgentInspector {
    fn status(&self) -> serde_json::Value {
        status_json(&self.state)
    }

    fn explain(&self, client: SocketAddrV4, address: SocketAddrV4) -> serde_json::Value {
        let flow = FlowKey {
            client,
            service_address: address,
        };
        let agent = self.state.agent.lock();
        let held = agent.explain(&flow, self.state.clock.now());
        serde_json::json!({ "service": self.service.as_str(), "held": held })
    }
}

/// Registers the observable gauges.
fn register_gauges(meter: &Meter, state: &Arc<PacketState>) {
    let observed = Arc::clone(state);
    let _flows = meter
        .u64_observable_gauge("lovagelatch.agent.opaque_flows")
        .with_unit("{flow}")
        .with_description("Open flows of the target")
        .with_callback(move |observer| {
            let status = observed.agent.lock().status(observed.clock.now());
            observer.observe(status.load.flows.into(), &[]);
        })
        .build();
    let observed = Arc::clone(state);
    let _progress = meter
        .u64_observable_gauge("lovagelatch.agent.in_progress")
        .with_unit("{request}")
        .with_description("Requests that the target has not begun to answer")
        .with_callback(move |observer| {
            let status = observed.agent.lock().status(observed.clock.now());
            observer.observe(status.load.in_progress.into(), &[]);
        })
        .build();
    let observed = Arc::clone(state);
    let _balancers = meter
        .u64_observable_gauge("lovagelatch.agent.known_balancers")
        .with_unit("{balancer}")
        .with_description("Balancers that would be notified of a stop")
        .with_callback(move |observer| {
            let known = observed.agent.lock().known_balancers(observed.clock.now());
            observer.observe(known as u64, &[]);
        })
        .build();
    register_admission_gauges(meter, state);
}

/// Registers the gauges of the admission.
fn register_admission_gauges(meter: &Meter, state: &Arc<PacketState>) {
    let observed = Arc::clone(state);
    let _waiting = meter
        .u64_observable_gauge("lovagelatch.agent.waiting")
        .with_unit("{request}")
        .with_description("Requests held until the target has a place")
        .with_callback(move |observer| {
            let status = observed.agent.lock().status(observed.clock.now());
            observer.observe(status.load.waiting.into(), &[]);
        })
        .build();
    let observed = Arc::clone(state);
    let _in_service = meter
        .u64_observable_gauge("lovagelatch.agent.in_service")
        .with_unit("{request}")
        .with_description("Requests of routes with a class that the target has not answered")
        .with_callback(move |observer| {
            let status = observed.agent.lock().status(observed.clock.now());
            observer.observe(status.in_service.into(), &[]);
        })
        .build();
    let observed = Arc::clone(state);
    let _full = meter
        .u64_observable_gauge("lovagelatch.agent.capacity")
        .with_unit("{request}")
        .with_description("Requests that the target holds before it rejects further ones")
        .with_callback(move |observer| {
            let status = observed.agent.lock().status(observed.clock.now());
            observer.observe(status.full.into(), &[]);
        })
        .build();
}

fn status_json(state: &PacketState) -> serde_json::Value {
    let now = state.clock.now();
    let mut agent = state.agent.lock();
    let (status, known_balancers) = (agent.status(now), agent.known_balancers(now));
    drop(agent);
    let zones_read = status.load.zones_revision;
    serde_json::json!({
        "in_progress": status.load.in_progress,
        "waiting": status.load.waiting,
        "in_service": status.in_service,
        "full": status.full,
        "openings": status.openings,
        "held_flows": status.held_flows,
        "known_balancers": known_balancers,
        "average": f64::from(status.load.average_milli) / 1_000.0,
        "flows": status.load.flows,
        "remembered": status.remembered,
        "responsive": status.load.responsive,
        "leaving": status.load.leaving,
        "knows_all": status.knows_all_flows,
        "zones_era": zones_read.era,
        "zones_revision": zones_read.revision,
        "evacuated": status.load.evacuated,
        "cold_room": status.load.room,
    })
}
