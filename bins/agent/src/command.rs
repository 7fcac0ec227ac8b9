//! Command-line options.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Terminates callers' flows and gates the backend server beside it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct CommandLine {
    /// The settings file (INI)
    #[bpaf(argument("FILE"))]
    pub settings: PathBuf,
}
