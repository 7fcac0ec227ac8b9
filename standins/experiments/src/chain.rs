//! Simulates retries along a chain of dependencies whose last service refuses every request.
//!
//! Each link may retry when the link below it fails. The result is the number of attempts that
//! reach the last service per request of a caller.

use std::time::Duration;

use lovagelatch_domain::Moment;
use lovagelatch_placement::{AttemptAllowance, BudgetSettings, RetryBudget};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::distribution::draw_interarrival;
use crate::metrics::round;

const REQUESTS: u32 = 50_000;

/// Requests per second of the callers.
const RATE: f64 = 150.0;

/// Retries per request at a link without a budget.
const FIXED_RETRIES: u32 = 2;

/// How a link decides whether to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum RetryRule {
    /// Up to three attempts per request.
    Fixed,
    /// A retry budget at each link.
    Budget,
    /// A retry budget at each link, and the allowance that travels with the request.
    BudgetAndAllowance,
}

impl RetryRule {
    pub(crate) const ALL: [Self; 3] = [Self::Fixed, Self::Budget, Self::BudgetAndAllowance];
}

/// Attempts that one chain causes at its last service.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ChainResult {
    pub(crate) rule: RetryRule,
    pub(crate) depth: usize,
    /// Attempts that reach the last service, per request of a caller.
    pub(crate) attempts_at_last: f64,
    /// Maximum number of attempts that one request caused at the last service.
    pub(crate) most_attempts: u32,
}

struct RetryChain {
    rule: RetryRule,
    budgets: Vec<RetryBudget>,
}

impl RetryChain {
    /// Runs one request at `link`. Returns the number of attempts that reach the last service, and
    /// the allowance that the failure returns.
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
    let mut chain = RetryChain {
        rule,
        budgets: vec![RetryBudget::new(BudgetSettings::new()); depth],
    };
    let mut now = Moment::ZERO;
    let mut total = 0_u64;
    let mut max = 0;
    for _ in 0..REQUESTS {
        now = now + Duration::from_secs_f64(draw_interarrival(RATE, &mut random));
        let (reached, _) = chain.run(0, AttemptAllowance::new(), now);
        total += u64::from(reached);
        max = max.max(reached);
    }
    #[allow(clippy::cast_precision_loss)]
    let attempts = total as f64 / f64::from(REQUESTS);
    ChainResult {
        rule,
        depth,
        attempts_at_last: round(attempts),
        most_attempts: max,
    }
}
