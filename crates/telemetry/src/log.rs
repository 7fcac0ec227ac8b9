//! The logger of a process and the kinds of decisions it logs.

use std::sync::mpsc::channel;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};

use crate::queue::{LineQueue, LineWriter};

/// The kind of decision that a log line reports in its field `decision`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A balancer chose an agent for a new flow.
    FlowPlaced,
    /// An agent forwarded a new flow to another agent.
    FlowHandedOn,
    /// An agent accepted a new flow.
    FlowAccepted,
    /// A packet of an unknown flow was forwarded from agent to agent to find its holder.
    FlowSearched,
    /// A flow was found at a target, or is no longer there.
    FlowLocated,
    /// A packet or flow was refused.
    FlowRefused,
    /// A request was placed at a gate.
    RequestPlaced,
    /// A request was relayed to another agent.
    RequestRelayed,
    /// A request was refused.
    RequestRefused,
    /// A request ended.
    RequestEnded,
    /// A configuration was applied.
    ConfigTaken,
    /// A configuration was refused.
    ConfigRefused,
    /// An instance is leaving.
    LeavingSeen,
    /// A peer became suspected, or is no longer suspected.
    SuspicionChanged,
    /// A view of the targets became complete or incomplete.
    ViewCoverage,
    /// A zone was evacuated, or accepts new flows again.
    ZoneChanged,
    /// The store lists several targets at an address, and one of them is in force.
    EntrySuperseded,
    /// A request waited at an agent, or was delivered to a full target without waiting.
    RequestHeld,
    /// A new flow was passed on or refused because of the target's load.
    OfferRefused,
    /// An agent's estimate of how many requests its target holds changed.
    CapacityChanged,
}

impl DecisionKind {
    /// Every kind.
    pub const ALL: [Self; 20] = [
        Self::FlowPlaced,
        Self::FlowHandedOn,
        Self::FlowAccepted,
        Self::FlowSearched,
        Self::FlowLocated,
        Self::FlowRefused,
        Self::RequestPlaced,
        Self::RequestRelayed,
        Self::RequestRefused,
        Self::RequestEnded,
        Self::ConfigTaken,
        Self::ConfigRefused,
        Self::LeavingSeen,
        Self::SuspicionChanged,
        Self::ViewCoverage,
        Self::ZoneChanged,
        Self::EntrySuperseded,
        Self::RequestHeld,
        Self::OfferRefused,
        Self::CapacityChanged,
    ];

    /// Returns its value in the log field `decision`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FlowPlaced => "flow_placed",
            Self::FlowHandedOn => "flow_handed_on",
            Self::FlowAccepted => "flow_accepted",
            Self::FlowSearched => "flow_searched",
            Self::FlowLocated => "flow_located",
            Self::FlowRefused => "flow_refused",
            Self::RequestPlaced => "request_placed",
            Self::RequestRelayed => "request_relayed",
            Self::RequestRefused => "request_refused",
            Self::RequestEnded => "request_ended",
            Self::ConfigTaken => "config_taken",
            Self::ConfigRefused => "config_refused",
            Self::LeavingSeen => "leaving_seen",
            Self::SuspicionChanged => "suspicion_changed",
            Self::ViewCoverage => "view_coverage",
            Self::ZoneChanged => "zone_changed",
            Self::EntrySuperseded => "entry_superseded",
            Self::RequestHeld => "request_held",
            Self::OfferRefused => "offer_refused",
            Self::CapacityChanged => "capacity_changed",
        }
    }
}

impl slog::Value for DecisionKind {
    fn serialize(
        &self,
        _record: &Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        serializer.emit_str(key, self.as_str())
    }
}

/// The log queue of this process, for [`flush_log`].
static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Creates the logger of a process, which writes JSON lines to standard output.
///
/// Each line has the time, the level, the binary, the process's name and its zone. Logging never
/// blocks: when the log queue is full, lines are dropped and counted.
pub fn new_logger(binary: &'static str, name: &str, zone: &str) -> Logger {
    // If the writer thread cannot start, `flush_log` still writes the queued lines at exit.
    let queue = QUEUE.get_or_init(|| LineQueue::to_stdout().unwrap_or_default());
    let lines = slog_json::Json::new(LineWriter::new(queue.clone()))
        .set_newlines(true)
        .add_key_value(o!(
            "time" => FnValue(|_| unix_millis()),
            "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
            "message" => PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
        ))
        .build();
    let (name, zone) = (name.to_owned(), zone.to_owned());
    Logger::root(
        Mutex::new(lines).ignore_res(),
        o!("binary" => binary, "process" => name, "zone" => zone),
    )
}

/// How long a process waits at exit for the reader of its log. An active reader consumes a full
/// queue (1 MiB) in a few milliseconds.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes the lines that are still queued before the process exits. Waits at most 500 ms.
///
/// Without the timeout, a reader that has stopped reading would keep a stopping process alive
/// until its supervisor kills it. The write runs on a thread of its own, which ends with the
/// process.
pub fn flush_log() {
    let Some(queue) = QUEUE.get().cloned() else {
        return;
    };
    let (done, written) = channel();
    let body = move || {
        // A failure to write the log cannot be reported anywhere.
        let _written = queue.write_to(&mut std::io::stdout());
        let _sent = done.send(());
    };
    let writer = std::thread::Builder::new().name("last-log".to_owned());
    if writer.spawn(body).is_ok() {
        // Losing the last lines is better than never exiting.
        let _waited = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Milliseconds since the Unix epoch, used only in log lines.
fn unix_millis() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Returns a drain that discards all lines, for tests and tools without a log.
pub fn discard() -> slog::Discard {
    slog::Discard
}
