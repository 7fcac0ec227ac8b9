//! The logger of a process.

use std::sync::mpsc::channel;
use std::sync::{Mutex, OnceLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Drain, FnValue, Logger, PushFnValue, Record, o};

use crate::queue::{LineQueue, LineWriter};

/// What a decision line decided, in its field `decision`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A balancer chose an agent for a new flow.
    FlowPlaced,
    /// An agent handed a new flow on to another agent.
    FlowHandedOn,
    /// An agent accepted a new flow.
    FlowAccepted,
    /// A packet of an unknown flow was sent from agent to agent.
    FlowSearched,
    /// A flow was found to be at a target, or no longer.
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
    /// A configuration came into force.
    ConfigTaken,
    /// A configuration was refused.
    ConfigRefused,
    /// An instance is leaving.
    LeavingSeen,
    /// A peer is suspected, or no longer.
    SuspicionChanged,
    /// A view of the targets became complete, or ceased to be.
    ViewCoverage,
    /// A zone was evacuated, or takes new flows again.
    ZoneChanged,
}

impl DecisionKind {
    /// Every kind.
    pub const ALL: [Self; 16] = [
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
    ];

    /// The word that stands in the log.
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

/// The queue of this process's logger, for [`write_waiting_lines`].
static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Makes the logger of a process: JSON lines on standard output, each with the time, the level,
/// the binary, the process's name and its zone. Logging never waits; see [`LineQueue`].
pub fn new_logger(binary: &'static str, name: &str, zone: &str) -> Logger {
    // Without a thread the lines still wait for the end of the process.
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

/// How long the end of a process waits for its log's reader. A reader that is there takes a full
/// queue (1 MiB) in some milliseconds.
const LAST_WRITE: Duration = Duration::from_millis(500);

/// Writes the lines that still wait, before the process ends; waits half a second at most.
///
/// What goes wrong without that bound: a reader that no longer reads keeps a process that was told
/// to stop from ending, until it is killed. It shows as a stop that takes the supervisor's whole
/// patience. So the write has a thread of its own, which ends with the process.
pub fn write_waiting_lines() {
    let Some(queue) = QUEUE.get().cloned() else {
        return;
    };
    let (ended, write_end) = channel();
    let body = move || {
        // Nobody can be told that the log cannot be written.
        let _written = queue.write_to(&mut std::io::stdout());
        let _told = ended.send(());
    };
    let writer = std::thread::Builder::new().name("last-log".to_owned());
    if writer.spawn(body).is_ok() {
        // An end without the last lines is better than none.
        let _waited = write_end.recv_timeout(LAST_WRITE);
    }
}

/// Milliseconds since the Unix epoch, for the log only.
fn unix_millis() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// A drain that writes nothing, for tests and tools without a log.
pub fn discard() -> slog::Discard {
    slog::Discard
}
