//! `lovagelatch keys`: creates, verifies and rotates the key file.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use lovagelatch_keys::{KeyFile, KeyGeneration, RingError, read_key_file};

use crate::command::KeyCommand;
use crate::failure::CommandError;
use crate::output::{CommandOutcome, LineStyle, print_line};

/// File mode: only the owner may read and write a key file.
const KEY_FILE_MODE: u32 = 0o600;

pub(crate) fn run(command: &KeyCommand) -> Result<CommandOutcome, CommandError> {
    match command {
        KeyCommand::New { file } => create(file)?,
        KeyCommand::Add { file } => {
            let generation = apply_step(file, KeyFile::add)?;
            print_success(&format!(
                "generation {generation} is accepted; reload every process, then switch"
            ));
        }
        KeyCommand::Switch { file } => {
            let generation = apply_step(file, KeyFile::switch)?;
            print_success(&format!("generation {generation} is used from now on"));
        }
        KeyCommand::Drop { file } => {
            let generation = apply_step(file, KeyFile::drop_other)?;
            print_success(&format!("generation {generation} is no longer accepted"));
        }
        KeyCommand::Verify { file } => {
            let keys = read_key_file(file)?;
            let generations: Vec<String> = keys.generations().map(|g| g.to_string()).collect();
            print_success(&format!(
                "valid; generations {} (the first is used)",
                generations.join(", ")
            ));
        }
    }
    Ok(CommandOutcome::Passed)
}

fn print_success(line: &str) {
    print_line(LineStyle::Success, line);
}

fn create(path: &Path) -> Result<(), CommandError> {
    let keys = KeyFile::generate()?;
    write_new(path, &keys.to_text())?;
    print_success(&format!("{}: one key, generation 1", path.display()));
    Ok(())
}

fn apply_step(
    path: &Path,
    step: impl FnOnce(&mut KeyFile) -> Result<KeyGeneration, RingError>,
) -> Result<KeyGeneration, CommandError> {
    read_key_file(path)?;
    let failed = |source| CommandError::File {
        path: path.to_owned(),
        source,
    };
    let mut keys = KeyFile::parse(&std::fs::read_to_string(path).map_err(failed)?)?;
    let generation = step(&mut keys)?;
    let new_path = path.with_extension("new");
    write_new(&new_path, &keys.to_text())?;
    std::fs::rename(&new_path, path).map_err(failed)?;
    Ok(generation)
}

/// Writes a file that must not exist yet. The caller replaces a key file by renaming the new one
/// over it, so that a concurrent reader sees either version, never a partial file.
fn write_new(path: &Path, text: &str) -> Result<(), CommandError> {
    let failed = |source| CommandError::File {
        path: path.to_owned(),
        source,
    };
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_FILE_MODE)
        .open(path)
        .map_err(failed)?;
    file.write_all(text.as_bytes()).map_err(failed)
}
