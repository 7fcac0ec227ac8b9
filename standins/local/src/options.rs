//! Command-line options.

use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::{Args, Bpaf, ParseFailure};
use thiserror::Error;

use crate::deployment::DeploymentName;
use crate::fault::{FAULTS, FaultName};

/// Exit code for an invalid command line.
const USAGE_ERROR: u8 = 2;

/// Width of the help text in columns.
const HELP_WIDTH: usize = 100;

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    pub(crate) name: FaultName,
    /// Seconds after the start of the callers.
    pub(crate) second: f64,
}

/// Why a `--fault` argument is invalid.
#[derive(Debug, Error)]
pub(crate) enum FaultArgumentError {
    #[error("{0:?} is not of the form NAME@SECOND")]
    MissingSecond(String),
    #[error("unknown fault {0:?}; known faults: {known}", known = FAULTS.map(|fault| fault.text).join(", "))]
    UnknownFault(String),
    #[error("{0:?} is not a number of seconds from 0 to 3600")]
    InvalidSecond(String),
}

impl FromStr for ScheduledFault {
    type Err = FaultArgumentError;

    fn from_str(text: &str) -> Result<Self, FaultArgumentError> {
        let parts = text.split_once('@');
        let (name, second) =
            parts.ok_or_else(|| FaultArgumentError::MissingSecond(text.to_owned()))?;
        let found = FaultName::find(name);
        let name = found.ok_or_else(|| FaultArgumentError::UnknownFault(name.to_owned()))?;
        let parsed = second.parse().ok();
        let second = parsed
            .filter(|second| (0.0..=MAX_SECONDS).contains(second))
            .ok_or_else(|| FaultArgumentError::InvalidSecond(second.to_owned()))?;
        Ok(Self { name, second })
    }
}

/// Upper bound of the length of a run, in seconds, so that every run ends without a signal.
const MAX_SECONDS: f64 = 3_600.0;

/// Starts a whole deployment on this machine, runs callers against it and judges the run
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct LocalOptions {
    /// How long callers ask, in seconds
    #[bpaf(argument("N"), fallback(15.0), guard(is_seconds, "from 1 to 3600"))]
    pub(crate) seconds: f64,
    /// Write the report there, as JSON
    #[bpaf(argument("FILE"))]
    pub(crate) report: Option<PathBuf>,
    /// Keep the deployment up, without callers, until a signal comes
    pub(crate) hold: bool,
    /// Where the randomness of callers and fabric starts
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Requests a second
    #[bpaf(argument("N"), guard(is_rate, "from 0.1 to 5000"), optional)]
    pub(crate) rate: Option<f64>,
    /// Feeds held open over the whole run
    #[bpaf(argument("N"), fallback(40))]
    pub(crate) feeds: u32,
    /// How many times as much the first address of each service is asked as the others
    #[bpaf(argument("N"), fallback(1.0), guard(is_rush, "from 1 to 100"))]
    pub(crate) rush: f64,
    /// A fault and when it happens; may be given several times
    #[bpaf(argument("NAME@SECOND"), many)]
    pub(crate) fault: Vec<ScheduledFault>,
    /// Keep the logs and histories in this directory
    #[bpaf(argument("DIR"))]
    pub(crate) logs: Option<PathBuf>,
    /// Use the binaries as they are, without asking cargo
    pub(crate) no_build: bool,
    /// Print no progress
    pub(crate) quiet: bool,
    /// The deployment: indus or desai
    #[bpaf(positional("DEPLOYMENT"))]
    pub(crate) deployment: DeploymentName,
}

fn is_seconds(seconds: &f64) -> bool {
    (1.0..=MAX_SECONDS).contains(seconds)
}

fn is_rush(rush: &f64) -> bool {
    (1.0..=100.0).contains(rush)
}

fn is_rate(rate: &f64) -> bool {
    (0.1..=5_000.0).contains(rate)
}

/// Parses the command line. Returns an exit code if there is nothing to run.
pub(crate) fn read() -> Result<LocalOptions, ExitCode> {
    let failure = match local_options().run_inner(Args::current_args()) {
        Ok(options) => return Ok(options),
        Err(failure) => failure,
    };
    failure.print_message(HELP_WIDTH);
    Err(match failure {
        ParseFailure::Stderr(_) => ExitCode::from(USAGE_ERROR),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    })
}
