//! Values of a configuration that cannot be used, and the defaults used instead.
//!
//! Such a value never prevents a configuration from taking effect: the routes and services that the
//! operator changed with it would stay as they were. The operator learns of it from the log.

use std::borrow::Cow;
use std::fmt::{self, Display, Formatter};

use lovagelatch_domain::ServiceName;
use serde::{Deserialize, Serialize};

/// Limit on the values kept of one configuration, so that a configuration without any usable value
/// does not flood the log.
pub const MAX_UNUSABLE_VALUES: usize = 8;

/// What a value belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ValueOwner {
    /// The route with this name.
    Route(String),
    /// A service.
    Service(ServiceName),
}

/// What is used instead of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ValueDefault {
    /// No limit.
    Unlimited,
    /// This priority.
    Priority(u8),
    /// No request policy for the route.
    NoPolicy,
    /// This number of milliseconds.
    Millis(u32),
}

impl Display for ValueDefault {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unlimited => out.write_str("no limit"),
            Self::Priority(priority) => write!(out, "{priority}"),
            Self::NoPolicy => out.write_str("no policy for the route"),
            Self::Millis(millis) => write!(out, "{millis} ms"),
        }
    }
}

/// A value of a configuration that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableValue {
    /// The route or service that the value belongs to.
    pub owner: ValueOwner,
    /// The name of the field, as the operator writes it.
    pub field: Cow<'static, str>,
    /// What is used instead.
    pub default: ValueDefault,
}
