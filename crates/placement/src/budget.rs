//! Limits the attempts beyond the first.
//!
//! Without a limit, a failing service gets every request three times: the retries triple the load
//! on what is left of it, and along a chain of dependencies they multiply. Three rules prevent
//! that:
//!
//! * [`RetryBudget`] allows retries as a share of recent requests; [`AgencyBudgets`] keeps one
//!   budget per agency, so that an agency under high load cannot spend the retries of others.
//! * [`AttemptAllowance`] travels with a request through its dependencies. A retry carries a
//!   smaller allowance, so that the requests it causes are not retried again downstream.
//! * The allowance also travels back with a refusal. The hop next to the failure decides about
//!   retries, and its decision binds all hops upstream; otherwise each hop would add its share and
//!   the shares would multiply.

use std::collections::HashMap;

use lovagelatch_domain::{AgencyName, Moment};
use thiserror::Error;

use crate::settings::BudgetSettings;

/// Retries that a caller's request may cause.
const INITIAL_ALLOWANCE: u8 = 1;

/// Largest allowance accepted from a header.
const MAX_ALLOWANCE: u8 = 3;

/// A token bucket that is filled by requests, not by time.
///
/// Saved tokens decay, so a service with one request every few seconds would never hold a whole
/// token, and a shed request would end as a refusal although another gate is free. As a reserve,
/// one retry needs no token if none was made for a `reserve_interval`. At high request rates the
/// reserve adds practically nothing.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Invariant: from 0 to `settings.burst`.
    tokens: f64,
    updated: Moment,
    /// From this moment on, one retry needs no token.
    reserve_at: Moment,
}

impl RetryBudget {
    /// Creates a budget whose first retry needs no saved token.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            tokens: 0.0,
            updated: Moment::ZERO,
            reserve_at: Moment::ZERO,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Moment) {
        self.decay(now);
        self.tokens = (self.tokens + self.settings.retry_ratio).min(self.settings.burst);
    }

    /// Spends the budget for one more attempt. Returns `false` if the attempt must not be made.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.decay(now);
        let is_saved = self.tokens >= 1.0;
        if !is_saved && now < self.reserve_at {
            return false;
        }
        if is_saved {
            self.tokens -= 1.0;
        }
        self.reserve_at = now + self.settings.reserve_interval;
        true
    }

    /// Saved tokens decay, so that an hour with few failures does not pay for a retry storm.
    fn decay(&mut self, now: Moment) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let decay_time = self.settings.decay_time.as_secs_f64().max(1e-3);
        self.tokens *= (-elapsed / decay_time).exp();
        self.updated = self.updated.max(now);
    }
}

/// Upper bound of separate budgets; further agencies share one.
const MAX_AGENCIES: usize = 1_024;

/// One retry budget per agency.
#[derive(Clone, Debug)]
pub struct AgencyBudgets {
    settings: BudgetSettings,
    /// For requests without an agency, and for agencies beyond `MAX_AGENCIES`.
    shared: RetryBudget,
    agencies: HashMap<AgencyName, RetryBudget>,
}

impl AgencyBudgets {
    /// Creates budgets that each allow the first retry without a saved token.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            shared: RetryBudget::new(settings),
            agencies: HashMap::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, agency: Option<&AgencyName>, now: Moment) {
        self.budget(agency).record_request(now);
    }

    /// Spends the agency's budget for one more attempt. Returns `false` if the attempt must not be
    /// made.
    pub fn try_spend(&mut self, agency: Option<&AgencyName>, now: Moment) -> bool {
        self.budget(agency).try_spend(now)
    }

    fn budget(&mut self, agency: Option<&AgencyName>) -> &mut RetryBudget {
        let Some(agency) = agency else {
            return &mut self.shared;
        };
        if !self.agencies.contains_key(agency) {
            if self.agencies.len() >= MAX_AGENCIES {
                return &mut self.shared;
            }
            let budget = RetryBudget::new(self.settings);
            self.agencies.insert(agency.clone(), budget);
        }
        self.agencies.get_mut(agency).unwrap_or(&mut self.shared)
    }
}

/// Why a header value was rejected as an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AllowanceError {
    /// The value is not an integer from 0 to 255.
    #[error("attempt allowance is not an integer from 0 to 255")]
    NotANumber,
}

/// The retries that a request, with all requests it causes, may still make on one path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptAllowance {
    left: u8,
}

impl AttemptAllowance {
    /// Header that carries the allowance to backend servers, and from there to the gateway with
    /// requests to dependencies.
    pub const HEADER: &'static str = "lovagelatch-attempts-left";

    /// Creates the allowance of a caller's request.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            left: INITIAL_ALLOWANCE,
        }
    }

    /// Parses the header value. Values above the largest valid allowance are reduced to it.
    ///
    /// # Errors
    ///
    /// Returns [`AllowanceError::NotANumber`]; treat such a request as one without retries.
    pub fn from_header(text: &str) -> Result<Self, AllowanceError> {
        let left: u8 = text.parse().map_err(|_| AllowanceError::NotANumber)?;
        Ok(Self::from_left(left))
    }

    /// Creates the allowance that another agent sent. Values above the largest valid allowance are
    /// reduced to it.
    #[must_use]
    pub const fn from_left(left: u8) -> Self {
        Self {
            left: if left < MAX_ALLOWANCE {
                left
            } else {
                MAX_ALLOWANCE
            },
        }
    }

    /// The allowance of a request that must not be retried.
    #[must_use]
    pub const fn none() -> Self {
        Self { left: 0 }
    }

    /// Returns the smaller of this allowance and the one that came back with a refusal.
    #[must_use]
    pub const fn capped_by(self, returned: Self) -> Self {
        if returned.left < self.left {
            returned
        } else {
            self
        }
    }

    /// Returns the number of retries left, which is the header value.
    #[must_use]
    pub const fn left(self) -> u8 {
        self.left
    }

    /// Returns the allowance that the next attempt carries, or `None` if no attempt is left.
    #[must_use]
    pub const fn for_retry(self) -> Option<Self> {
        match self.left.checked_sub(1) {
            Some(left) => Some(Self { left }),
            None => None,
        }
    }
}

impl Default for AttemptAllowance {
    fn default() -> Self {
        Self::new()
    }
}
