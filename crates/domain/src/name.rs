//! Names written by operators. They are validated once, when they enter the system.

use std::borrow::Borrow;
use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use thiserror::Error;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Fixed keys of the [`ServiceId`] hash: every process must compute the same id.
const SERVICE_ID_KEYS: (u64, u64) = (0x6c6f_7661_6765, 0x006c_6174_6368);

/// Why a name was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The name is the empty string.
    #[error("the name is empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[error("the name is {length} bytes long; the limit is {MAX_NAME_BYTES}")]
    TooLong {
        /// The name's length in bytes.
        length: usize,
    },
    /// The name contains a character other than a lower-case letter, a digit, `-`, `_` or `.`.
    #[error("the name contains {character:?}; use lower-case letters, digits, '-', '_' and '.'")]
    BadCharacter {
        /// The first invalid character.
        character: char,
    },
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong { length: text.len() });
    }
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|&c| !allowed(c)) {
        Some(character) => Err(NameError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! checked_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(
            /// Invariant: passes `check_name`. Reference-counted, because a view of 176,000
            /// instances holds each zone and service name thousands of times.
            Arc<str>,
        );

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text.into()))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

checked_name! {
    /// The name of a service in the configuration text, such as `claims`.
    ServiceName
}
checked_name! {
    /// The name of an agency: a customer whose share of the capacity is accounted separately.
    AgencyName
}
checked_name! {
    /// The name of an availability zone.
    ZoneName
}
checked_name! {
    /// The name of a region: a group of nearby zones in one jurisdiction.
    RegionName
}

/// A compact identifier of a [`ServiceName`], small enough to be carried in every packet.
///
/// It is a hash of the name, so no process has to assign ids. If two names in one configuration
/// text have the same id, the text is rejected with a typed error.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServiceId(pub u32);

impl ServiceName {
    /// Returns the id that represents this name in packets.
    #[must_use]
    pub fn id(&self) -> ServiceId {
        let mut hasher = SipHasher24::new_with_keys(SERVICE_ID_KEYS.0, SERVICE_ID_KEYS.1);
        hasher.write(self.0.as_bytes());
        #[allow(clippy::cast_possible_truncation)]
        ServiceId(hasher.finish() as u32)
    }
}
