//! The key file: an INI section `[keys]` with one secret per generation and the number of the
//! current one.
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

/// Larger key files are refused before they are read.
const MAX_FILE_BYTES: u64 = 16 * 1024;

/// The generation of the secret in a newly generated file.
const FIRST_GENERATION: KeyGeneration = KeyGeneration(1);

/// Permission bits of the group and of others; a key file must have none of them set.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;

/// Why a key file was refused.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file could not be read.
    #[error("key file {path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file's mode gives rights to the group or to others.
    #[error("key file {path} has mode {mode:03o}; remove all permissions of group and others")]
    InsecureMode {
        /// The path of the file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The file is larger than 16 KiB.
    #[error("key file has {length} bytes; the maximum is {MAX_FILE_BYTES}")]
    TooLarge {
        /// The file's length in bytes.
        length: u64,
    },
    /// The text is not valid INI.
    #[error("key file line {line}: {reason}")]
    InvalidSyntax {
        /// The line number, from 1.
        line: usize,
        /// The INI parser's message.
        reason: String,
    },
    /// The section `[keys]` or its field `current` is missing, or `current` names no key in the
    /// file.
    #[error("key file: section [keys] needs a field 'current' that names one of its keys")]
    NoCurrent,
    /// A field's name is not a number from 0 to 255.
    #[error("key file: {name:?} is not a generation from 0 to 255")]
    InvalidGeneration {
        /// The field name as written.
        name: String,
    },
    /// A secret is not 64 hexadecimal digits.
    #[error("key file: generation {generation} is not 64 hexadecimal digits")]
    InvalidKey {
        /// The generation of that secret.
        generation: KeyGeneration,
    },
    /// The secrets do not form a valid key ring.
    #[error("key file: {0}")]
    Ring(#[from] RingError),
}

/// Reads and validates a key file.
///
/// # Errors
///
/// Returns a [`KeyFileError`] that names the fault and, where it can, the remedy.
pub fn read_key_file(path: &Path) -> Result<FleetKeys, KeyFileError> {
    let unreadable = |source| KeyFileError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    let mode = metadata.permissions().mode() & 0o777;
    if mode & GROUP_AND_OTHERS_MODE != 0 {
        return Err(KeyFileError::InsecureMode {
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

/// Parses and validates the text of a key file.
///
/// # Errors
///
/// Returns a [`KeyFileError`] that names the fault and, where it can, the remedy.
pub fn parse_key_file(text: &str) -> Result<FleetKeys, KeyFileError> {
    Ok(KeyFile::parse(text)?.keys()?)
}

/// An editable key file, for the commands that create and rotate keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFile {
    /// Invariant: the current secret comes first, and the secrets form a valid key ring.
    secrets: Vec<KeySecret>,
}

impl KeyFile {
    /// Creates a key file with one random secret.
    ///
    /// # Errors
    ///
    /// [`RingError::RandomSourceFailed`] when the operating system provides no random bytes.
    pub fn generate() -> Result<Self, RingError> {
        Ok(Self {
            secrets: vec![KeySecret::generate(FIRST_GENERATION)?],
        })
    }

    /// Parses and validates the text of a key file.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyFileError`] that names the fault and, where it can, the remedy.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
        let file = Ini::load_from_str(text).map_err(|error| KeyFileError::InvalidSyntax {
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

    /// Derives the key ring from the secrets.
    ///
    /// # Errors
    ///
    /// Returns a [`RingError`] when the secrets do not form a valid ring.
    pub fn keys(&self) -> Result<FleetKeys, RingError> {
        FleetKeys::new(&self.secrets)
    }

    /// Returns the generations, the current one first.
    pub fn generations(&self) -> impl Iterator<Item = KeyGeneration> + '_ {
        self.secrets.iter().map(|secret| secret.generation)
    }

    /// Adds a random secret that is accepted but not yet used for sealing: the first step of a
    /// rotation.
    ///
    /// # Errors
    ///
    /// [`RingError::TooMany`] when the file already holds two secrets, or
    /// [`RingError::RandomSourceFailed`].
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

    /// Makes the other secret the current one: the second step of a rotation. Every process must
    /// accept that secret by then.
    ///
    /// # Errors
    ///
    /// [`RingError::SingleKey`] when the file holds only one secret.
    pub fn switch(&mut self) -> Result<KeyGeneration, RingError> {
        if self.secrets.len() < 2 {
            return Err(RingError::SingleKey);
        }
        self.secrets.swap(0, 1);
        Ok(self.secrets[0].generation)
    }

    /// Removes the secret that is not current: the last step of a rotation. Flows that were opened
    /// under it must have ended by then.
    ///
    /// # Errors
    ///
    /// [`RingError::SingleKey`] when the file holds only one secret.
    pub fn drop_other(&mut self) -> Result<KeyGeneration, RingError> {
        if self.secrets.len() < 2 {
            return Err(RingError::SingleKey);
        }
        self.secrets
            .pop()
            .map(|secret| secret.generation)
            .ok_or(RingError::SingleKey)
    }

    /// Formats the key file as INI text.
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
        .map_err(|_| KeyFileError::InvalidGeneration {
            name: text.to_owned(),
        })
}

fn parse_secret(name: &str, value: &str) -> Result<KeySecret, KeyFileError> {
    let generation = parse_generation(name)?;
    let mut bytes = [0; SECRET_BYTES];
    hex::decode_to_slice(value, &mut bytes).map_err(|_| KeyFileError::InvalidKey { generation })?;
    Ok(KeySecret::from_bytes(generation, bytes))
}
