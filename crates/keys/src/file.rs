//! The key file: an INI section per generation, the current one named first.
//!
//! ```ini
//! [keys]
//! current = 2
//! 1 = 00112233…   ; 64 hexadecimal digits
//! 2 = 8899aabb…
//! ```

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use ini::Ini;
use thiserror::Error;

use crate::ring::{FleetKeys, KeyGeneration, KeySecret, RingError, SECRET_BYTES};

/// The largest key file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 16 * 1024;

/// Permission bits that would let others than the owner read the file.
const OTHERS_MAY_READ: u32 = 0o077;

/// Why a key file was refused.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// It could not be read.
    #[error("key file {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// Others than its owner may read it.
    #[error("key file {path} has mode {mode:03o}; take away the rights of group and others")]
    OpenToOthers {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// It is larger than a key file can be.
    #[error("key file of {length} bytes; it may have {MAX_FILE_BYTES} at most")]
    TooLarge {
        /// Its length in bytes.
        length: u64,
    },
    /// It is not INI text.
    #[error("key file line {line}: {reason}")]
    NotIni {
        /// The line, from 1.
        line: usize,
        /// What the INI parser said.
        reason: String,
    },
    /// The section `[keys]` or its field `current` is missing, or names no key in the file.
    #[error("key file: section [keys] needs a field 'current' that names one of its keys")]
    NoCurrent,
    /// A field's name is not a number from 0 to 255.
    #[error("key file: {name:?} is not a generation from 0 to 255")]
    BadGeneration {
        /// The field's name.
        name: String,
    },
    /// A key is not 64 hexadecimal digits.
    #[error("key file: generation {generation} is not 64 hexadecimal digits")]
    BadKey {
        /// Its generation.
        generation: KeyGeneration,
    },
    /// The keys do not make a ring.
    #[error("key file: {0}")]
    Ring(#[from] RingError),
}

/// Reads and checks a key file.
///
/// # Errors
///
/// A [`KeyFileError`] that says what to mend.
pub fn read_key_file(path: &Path) -> Result<FleetKeys, KeyFileError> {
    let unreadable = |source| KeyFileError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & OTHERS_MAY_READ != 0 {
        return Err(KeyFileError::OpenToOthers {
            path: path.to_owned(),
            mode,
        });
    }
    if metadata.len() > MAX_FILE_BYTES {
        return Err(KeyFileError::TooLarge {
            length: metadata.len(),
        });
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    parse_key_file(&text)
}

/// Checks the text of a key file.
///
/// # Errors
///
/// A [`KeyFileError`] that says what to mend.
pub fn parse_key_file(text: &str) -> Result<FleetKeys, KeyFileError> {
    let file = Ini::load_from_str(text).map_err(|error| KeyFileError::NotIni {
        line: error.line,
        reason: error.msg.to_string(),
    })?;
    let section = file.section(Some("keys")).ok_or(KeyFileError::NoCurrent)?;
    let current = section.get("current").ok_or(KeyFileError::NoCurrent)?;
    let current = parse_generation(current)?;
    let mut secrets = Vec::new();
    for (name, value) in section.iter().filter(|(name, _)| *name != "current") {
        secrets.push(parse_secret(name, value)?);
    }
    let first = secrets
        .iter()
        .position(|secret| secret.generation == current)
        .ok_or(KeyFileError::NoCurrent)?;
    secrets.swap(0, first);
    Ok(FleetKeys::new(&secrets)?)
}

fn parse_generation(text: &str) -> Result<KeyGeneration, KeyFileError> {
    let number = text.parse();
    number
        .map(KeyGeneration)
        .map_err(|_| KeyFileError::BadGeneration {
            name: text.to_owned(),
        })
}

fn parse_secret(name: &str, value: &str) -> Result<KeySecret, KeyFileError> {
    let generation = parse_generation(name)?;
    let mut bytes = [0; SECRET_BYTES];
    hex::decode_to_slice(value, &mut bytes).map_err(|_| KeyFileError::BadKey { generation })?;
    Ok(KeySecret::from_bytes(generation, bytes))
}
