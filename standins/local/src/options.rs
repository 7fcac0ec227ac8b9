//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use bpaf::{Args, Bpaf, ParseFailure};

use crate::deployment::DeploymentName;
use crate::fault::{FAULTS, FaultName};

/// Exit code of a bad command line.
const BAD_USAGE: u8 = 2;

/// Columns of the help text.
const HELP_COLUMNS: usize = 100;

/// A fault and when it happens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    pub(crate) name: FaultName,
    /// Seconds after the callers began.
    pub(crate) second: f64,
}

impl FromStr for PlannedFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, second) = text
            .split_once('@')
            .ok_or_else(|| format!("{text:?} is not NAME@SECOND"))?;
        let known = || FAULTS.map(|fault| fault.text).join(", ");
        let name = FaultName::find(name)
            .ok_or_else(|| format!("unknown fault {name:?}; known are {}", known()))?;
        let second = second
            .parse()
            .ok()
            .filter(|second| (0.0..=MAX_SECONDS).contains(second))
            .ok_or_else(|| format!("{second:?} is not a number of seconds"))?;
        Ok(Self { name, second })
    }
}

/// Longest run, in seconds: every run ends by itself.
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
    /// A fault and when it happens; may be given several times
    #[bpaf(argument("NAME@SECOND"), many)]
    pub(crate) fault: Vec<PlannedFault>,
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

fn is_rate(rate: &f64) -> bool {
    (0.1..=5_000.0).contains(rate)
}

/// Reads the command line; the exit code when there is nothing to run.
pub(crate) fn read() -> Result<LocalOptions, ExitCode> {
    let failure = match local_options().run_inner(Args::current_args()) {
        Ok(options) => return Ok(options),
        Err(failure) => failure,
    };
    failure.print_message(HELP_COLUMNS);
    Err(match failure {
        ParseFailure::Stderr(_) => ExitCode::from(BAD_USAGE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    })
}
