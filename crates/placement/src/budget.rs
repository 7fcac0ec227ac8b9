//! How many attempts beyond the first may be made.
//!
//! What goes wrong without it: a service fails, every request is tried three times, and the
//! retries triple the load on what is left of it; along a chain of dependencies they multiply.
//! Three rules prevent that:
//!
//! * [`RetryBudget`] gives a share of recent requests to spend on retries; [`AgencyBudgets`]
//!   keeps one for each agency, so that a rushing one does not spend its rivals'.
//! * [`AttemptAllowance`] travels with a request through its dependencies. A retry carries less
//!   of it, so that what a retry causes is not retried again further down.
//! * It travels back with a refusal. The link next to the failure decides whether to retry, and
//!   what it says is final for all links above: otherwise each link adds its share and the
//!   shares multiply.

use std::collections::HashMap;

use lovagelatch_domain::{AgencyName, Moment};
use thiserror::Error;

use crate::settings::BudgetSettings;

/// The extra attempts that a fresh request may cause.
const FRESH_ALLOWANCE: u8 = 1;

/// The most that a header may claim.
const MOST_ALLOWANCE: u8 = 3;

/// A token bucket filled by requests, not by time.
///
/// What goes wrong without its reserve: the savings fade, so that a service with a request every
/// few seconds never has a whole retry saved, and one shed request ends as a refusal although
/// another gate is free. So one retry is paid for without savings when none was made for a
/// `reserve_interval`; where requests are many this adds nothing.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Invariant: from 0 to `settings.burst`.
    tokens: f64,
    updated: Moment,
    /// From when on one retry needs no savings.
    reserve_at: Moment,
}

impl RetryBudget {
    /// A budget with one retry saved.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            tokens: 0.0,
            updated: Moment::ZERO,
            reserve_at: Moment::ZERO,
        }
    }

    /// Notes a request's first attempt.
    pub fn note_request(&mut self, now: Moment) {
        self.age(now);
        self.tokens = (self.tokens + self.settings.share).min(self.settings.burst);
    }

    /// Pays for one more attempt. `false`: it must not be made.
    pub fn try_spend(&mut self, now: Moment) -> bool {
        self.age(now);
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

    /// Savings fade, so that a quiet hour does not pay for a storm.
    fn age(&mut self, now: Moment) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let memory = self.settings.memory.as_secs_f64().max(1e-3);
        self.tokens *= (-elapsed / memory).exp();
        self.updated = self.updated.max(now);
    }
}

/// The most agencies that are told apart; further ones share one budget.
const AGENCY_LIMIT: usize = 1_024;

/// A retry budget for each agency.
#[derive(Clone, Debug)]
pub struct AgencyBudgets {
    settings: BudgetSettings,
    /// For requests without an agency, and for agencies beyond the limit.
    shared: RetryBudget,
    agencies: HashMap<AgencyName, RetryBudget>,
}

impl AgencyBudgets {
    /// Budgets with one retry saved each.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            shared: RetryBudget::new(settings),
            agencies: HashMap::new(),
        }
    }

    /// Notes a request's first attempt.
    pub fn note_request(&mut self, agency: Option<&AgencyName>, now: Moment) {
        self.budget(agency).note_request(now);
    }

    /// Pays for one more attempt. `false`: it must not be made.
    pub fn try_spend(&mut self, agency: Option<&AgencyName>, now: Moment) -> bool {
        self.budget(agency).try_spend(now)
    }

    fn budget(&mut self, agency: Option<&AgencyName>) -> &mut RetryBudget {
        let Some(agency) = agency else {
            return &mut self.shared;
        };
        if !self.agencies.contains_key(agency) {
            if self.agencies.len() >= AGENCY_LIMIT {
                return &mut self.shared;
            }
            let budget = RetryBudget::new(self.settings);
            self.agencies.insert(agency.clone(), budget);
        }
        self.agencies.get_mut(agency).unwrap_or(&mut self.shared)
    }
}

/// Why a header was not an allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AllowanceError {
    /// It is not a small whole number.
    #[error("not a number of attempts")]
    NotANumber,
}

/// The extra attempts that a request and all it causes may still make on one path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptAllowance {
    left: u8,
}

impl AttemptAllowance {
    /// The header in which it travels to backend servers and back to the gateway for
    /// dependencies.
    pub const HEADER: &'static str = "lovagelatch-attempts-left";

    /// The allowance of a caller's request.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            left: FRESH_ALLOWANCE,
        }
    }

    /// Reads the header's value. A larger claim than any agent makes counts as the largest.
    ///
    /// # Errors
    ///
    /// [`AllowanceError::NotANumber`]; treat such a request as one without extra attempts.
    pub fn from_header(text: &str) -> Result<Self, AllowanceError> {
        let left: u8 = text.parse().map_err(|_| AllowanceError::NotANumber)?;
        Ok(Self::from_left(left))
    }

    /// The allowance that another agent tells. A larger claim than any agent makes counts as
    /// the largest.
    #[must_use]
    pub const fn from_left(left: u8) -> Self {
        Self {
            left: if left < MOST_ALLOWANCE {
                left
            } else {
                MOST_ALLOWANCE
            },
        }
    }

    /// The allowance of a request that must not be tried again.
    #[must_use]
    pub const fn none() -> Self {
        Self { left: 0 }
    }

    /// What is left after a refusal came back with `returned` from further down.
    #[must_use]
    pub const fn after(self, returned: Self) -> Self {
        if returned.left < self.left {
            returned
        } else {
            self
        }
    }

    /// The header's value.
    #[must_use]
    pub const fn left(self) -> u8 {
        self.left
    }

    /// The allowance that the next attempt carries, or `None` when none may be made.
    #[must_use]
    pub const fn retry(self) -> Option<Self> {
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
