//! The timeline of a run: what the soak did to the fleet, and when, as JSON lines beside the logs of
//! the processes.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

/// Name of the timeline's file in the directory of a run.
const FILE_NAME: &str = "soak.log";

/// Records the faults of a run and the starts and ends of its targets.
#[derive(Debug)]
pub(crate) struct RunTimeline {
    file: File,
}

impl RunTimeline {
    /// Creates the timeline's file in the directory of a run.
    pub(crate) fn create(directory: &Path) -> io::Result<Self> {
        let file = File::create(directory.join(FILE_NAME))?;
        Ok(Self { file })
    }

    /// Appends an event with the fields of the JSON object `fields` and the time of day, which the
    /// logs of the processes contain as well.
    pub(crate) fn record(&mut self, event: &str, fields: &Value) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.map_or(0, |duration| duration.as_millis());
        let mut line = json!({ "time": u64::try_from(millis).unwrap_or(0), "message": event });
        if let (Some(line), Some(fields)) = (line.as_object_mut(), fields.as_object()) {
            line.extend(fields.clone());
        }
        if let Err(error) = writeln!(self.file, "{line}") {
            eprintln!("timeline of the run: {error}");
        }
    }
}
