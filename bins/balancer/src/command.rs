//! The command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Forwards callers' datagrams to the agents that hold their flows.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct CommandLine {
    /// The settings file (INI)
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}
