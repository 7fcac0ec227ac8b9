//! Runs the real binary as an operator or a script would.

mod instances;
mod keys;
mod texts;

use std::path::PathBuf;
use std::process::{Command, Output};

/// Runs `lovagelatch` with these arguments.
fn run(arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_lovagelatch");
    Command::new(binary)
        .args(arguments)
        .output()
        .expect("the binary starts")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Returns the path of a file for one test below Cargo's folder for test files, with `content` if
/// given.
fn scratch_file(name: &str, content: Option<&str>) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_file(&path);
    if let Some(content) = content {
        std::fs::write(&path, content).expect("the scratch folder is writable");
    }
    path
}
