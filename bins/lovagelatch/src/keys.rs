//! `lovagelatch keys`: makes, checks and rotates the key file.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use lovagelatch_keys::{KeyFile, KeyGeneration, RingError, read_key_file};

use crate::command::KeyCommand;
use crate::failure::CommandError;
use crate::output::{LineTone, Verdict, print_line};

/// Only the owner may read and write a key file.
const OWNER_ONLY: u32 = 0o600;

pub(crate) fn run(command: &KeyCommand) -> Result<Verdict, CommandError> {
    match command {
        KeyCommand::New { file } => create(file)?,
        KeyCommand::Add { file } => {
            let generation = change(file, KeyFile::add)?;
            say(&format!(
                "generation {generation} is accepted; reload every process, then switch"
            ));
        }
        KeyCommand::Switch { file } => {
            let generation = change(file, KeyFile::switch)?;
            say(&format!("generation {generation} is used from now on"));
        }
        KeyCommand::Drop { file } => {
            let generation = change(file, KeyFile::drop_other)?;
            say(&format!("generation {generation} is no longer accepted"));
        }
        KeyCommand::Verify { file } => {
            let keys = read_key_file(file)?;
            let generations: Vec<String> = keys.generations().map(|g| g.to_string()).collect();
            say(&format!(
                "valid; generations {} (the first is used)",
                generations.join(", ")
            ));
        }
    }
    Ok(Verdict::Good)
}

fn say(line: &str) {
    print_line(LineTone::Good, line);
}

fn create(path: &Path) -> Result<(), CommandError> {
    let keys = KeyFile::generate()?;
    write_new(path, &keys.to_text())?;
    say(&format!("{}: one key, generation 1", path.display()));
    Ok(())
}

fn change(
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
    let beside = path.with_extension("new");
    write_new(&beside, &keys.to_text())?;
    std::fs::rename(&beside, path).map_err(failed)?;
    Ok(generation)
}

/// Writes a file that must not exist yet. A key file is replaced by renaming, so that a process
/// that reads it meanwhile sees the old one or the new one, never half of it.
fn write_new(path: &Path, text: &str) -> Result<(), CommandError> {
    let failed = |source| CommandError::File {
        path: path.to_owned(),
        source,
    };
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(OWNER_ONLY)
        .open(path)
        .map_err(failed)?;
    file.write_all(text.as_bytes()).map_err(failed)
}
