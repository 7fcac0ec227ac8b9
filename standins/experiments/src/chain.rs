//! Retries along a chain of dependencies whose last service refuses everything.
//!
//! Each link may try again where the one below it failed. What is counted is how many attempts
//! reach the last service per request of a caller.

use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::{AttemptAllowance, BudgetSettings, RetryBudget};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::law::draw_gap;
use crate::tally::round;

const REQUESTS: u32 = 50_000;

/// Callers' requests a second.
const RATE: f64 = 150.0;

/// Retries of a link without a budget.
const FIXED_RETRIES: u32 = 2;

/// How a link decides whether to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RetryRule {
    /// Up to three attempts for each request.
    Fixed,
    /// A budget at each link.
    Budget,
    /// A budget at each link and the allowance that travels with the request.
    BudgetAndAllowance,
}

impl RetryRule {
    pub(crate) const ALL: [Self; 3] = [Self::Fixed, Self::Budget, Self::BudgetAndAllowance];
}

/// Attempts per request of a chain.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ChainResult {
    pub(crate) rule: RetryRule,
    pub(crate) depth: usize,
    /// Attempts that reach the last service, per request of a caller.
    pub(crate) attempts_at_last: f64,
    /// The most attempts that any one request caused at the last service.
    pub(crate) most_attempts: u32,
}

struct Chain {
    rule: RetryRule,
    budgets: Vec<RetryBudget>,
}

impl Chain {
    /// Runs one request at `link`; returns the attempts that reach the last service, and the
    /// allowance that travels back with the failure.
    fn run(
        &mut self,
        link: usize,
        allowance: AttemptAllowance,
        now: Moment,
    ) -> (u32, AttemptAllowance) {
        let Some(budget) = self.budgets.get_mut(link) else {
            return (1, allowance);
        };
        budget.record_request(now);
        let (mut reached, returned) = self.run(link + 1, allowance, now);
        let mut allowance = allowance.capped_by(returned);
        let mut retries = 0;
        while let Some(next) = self.next_attempt(link, allowance, retries, now) {
            let (again, returned) = self.run(link + 1, next, now);
            allowance = next.capped_by(returned);
            retries += 1;
            reached += again;
        }
        (reached, AttemptAllowance::none())
    }

    fn next_attempt(
        &mut self,
        link: usize,
        allowance: AttemptAllowance,
        retries: u32,
        now: Moment,
    ) -> Option<AttemptAllowance> {
        match self.rule {
            RetryRule::Fixed => (retries < FIXED_RETRIES).then_some(allowance),
            RetryRule::Budget => self.budgets[link].try_spend(now).then_some(allowance),
            RetryRule::BudgetAndAllowance => {
                let next = allowance.for_retry()?;
                self.budgets[link].try_spend(now).then_some(next)
            }
        }
    }
}

/// Runs a chain of `depth` links.
pub(crate) fn run_chain(rule: RetryRule, depth: usize, seed: u64) -> ChainResult {
    let mut random = StdRng::seed_from_u64(seed);
    let mut chain = Chain {
        rule,
        budgets: vec![RetryBudget::new(BudgetSettings::new()); depth],
    };
    let mut now = Moment::ZERO;
    let mut total = 0_u64;
    let mut most = 0;
    for _ in 0..REQUESTS {
        now = now + Duration::from_secs_f64(draw_gap(RATE, &mut random));
        let (reached, _) = chain.run(0, AttemptAllowance::new(), now);
        total += u64::from(reached);
        most = most.max(reached);
    }
    #[allow(clippy::cast_precision_loss)]
    let attempts = total as f64 / f64::from(REQUESTS);
    ChainResult {
        rule,
        depth,
        attempts_at_last: round(attempts),
        most_attempts: most,
    }
}
