//! Builds and locates the programs of a deployment, which are in the directory of the launcher.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::error::LocalError;

/// Packages whose programs a deployment runs.
const PACKAGES: [&str; 6] = [
    "lovagelatch-balancer",
    "lovagelatch-agent",
    "lovagelatch-platform",
    "lovagelatch-fabric",
    "lovagelatch-backend",
    "lovagelatch-callers",
];

/// The directory of the programs.
#[derive(Clone, Debug)]
pub(crate) struct ProgramDirectory(PathBuf);

impl ProgramDirectory {
    /// Returns the directory of the launcher's executable. If cargo runs the launcher and `build`
    /// is set, builds the programs there first.
    pub(crate) fn prepare(build: bool) -> Result<Self, LocalError> {
        let executable = std::env::current_exe().map_err(|error| LocalError::File {
            path: PathBuf::from("/proc/self/exe"),
            error,
        })?;
        let directory = executable.parent().unwrap_or(Path::new("/")).to_owned();
        let cargo = std::env::var_os("CARGO");
        let manifest = std::env::var_os("CARGO_MANIFEST_DIR");
        if let (true, Some(cargo), Some(manifest)) = (build, cargo, manifest) {
            run_cargo(Path::new(&cargo), Path::new(&manifest), &directory)?;
        }
        Ok(Self(directory))
    }

    /// Returns the path of a program.
    pub(crate) fn program(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

fn run_cargo(cargo: &Path, manifest: &Path, directory: &Path) -> Result<(), LocalError> {
    let mut command = Command::new(cargo);
    command
        .current_dir(manifest)
        .args(["build", "--quiet", "--bins"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    if let Some(target) = directory.parent() {
        command.arg("--target-dir").arg(target);
    }
    for package in PACKAGES {
        command.args(["-p", package]);
    }
    let status = command.status().map_err(|error| LocalError::Spawn {
        name: "cargo".to_owned(),
        error,
    })?;
    if status.success() {
        Ok(())
    } else {
        Err(LocalError::Build(status))
    }
}
