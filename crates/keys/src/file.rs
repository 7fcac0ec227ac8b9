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

/// The generation of a new file's only secret.
const FIRST_GENERATION: KeyGeneration = KeyGeneration(1);

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
    Ok(KeyFile::parse(text)?.keys()?)
}

/// The secrets of a key file, for the commands that change one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFile {
    /// Invariant: the current secret stands first, and makes a valid ring with the others.
    secrets: Vec<KeySecret>,
}

impl KeyFile {
    /// A file with one new secret.
    ///
    /// # Errors
    ///
    /// [`RingError::NoRandomness`] when no secret can be drawn.
    pub fn generate() -> Result<Self, RingError> {
        Ok(Self {
            secrets: vec![KeySecret::generate(FIRST_GENERATION)?],
        })
    }

    /// Reads the text of a key file.
    ///
    /// # Errors
    ///
    /// A [`KeyFileError`] that says what to mend.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
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
        let file = Self { secrets };
        file.keys()?;
        Ok(file)
    }

    /// The ring that the secrets make.
    ///
    /// # Errors
    ///
    /// A [`RingError`] when they make none.
    pub fn keys(&self) -> Result<FleetKeys, RingError> {
        FleetKeys::new(&self.secrets)
    }

    /// The generations, the current one first.
    pub fn generations(&self) -> impl Iterator<Item = KeyGeneration> + '_ {
        self.secrets.iter().map(|secret| secret.generation)
    }

    /// Adds a new secret that is accepted but not yet used, the first step of a rotation.
    ///
    /// # Errors
    ///
    /// [`RingError::TooMany`] when two are valid already.
    pub fn add(&mut self) -> Result<KeyGeneration, RingError> {
        if self.secrets.len() > 1 {
            return Err(RingError::TooMany {
                count: self.secrets.len() + 1,
            });
        }
        let current = self.secrets.first().ok_or(RingError::Empty)?.generation;
        let generation = KeyGeneration(current.0.wrapping_add(1));
        self.secrets.push(KeySecret::generate(generation)?);
        Ok(generation)
    }

    /// Makes the other secret the current one, once every process accepts it.
    ///
    /// # Errors
    ///
    /// [`RingError::NoOther`] when there is only one.
    pub fn switch(&mut self) -> Result<KeyGeneration, RingError> {
        if self.secrets.len() < 2 {
            return Err(RingError::NoOther);
        }
        self.secrets.swap(0, 1);
        Ok(self.secrets[0].generation)
    }

    /// Takes out the secret that is not current, once no open flow was opened under it.
    ///
    /// # Errors
    ///
    /// [`RingError::NoOther`] when there is only one.
    pub fn drop_other(&mut self) -> Result<KeyGeneration, RingError> {
        if self.secrets.len() < 2 {
            return Err(RingError::NoOther);
        }
        self.secrets
            .pop()
            .map(|secret| secret.generation)
            .ok_or(RingError::NoOther)
    }

    /// The text of the file.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::from("[keys]\n");
        if let Some(first) = self.secrets.first() {
            text += &format!("current = {}\n", first.generation);
        }
        for secret in &self.secrets {
            text += &format!("{} = {}\n", secret.generation, secret.to_hex());
        }
        text
    }
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
