//! Retry budgets and attempt allowances.

use lovagelatch_placement::{AgencyBudgets, AttemptAllowance, BudgetSettings, RetryBudget};

use crate::support::{agency, at};

// Guards against retries that triple the load of a failing service: every request fails, and each
// request decides about its retries on its own.
#[test]
fn retries_stay_a_share_of_requests_when_everything_fails() {
    for per_second in [1, 2, 4, 10, 1_000] {
        let mut budget = RetryBudget::new(BudgetSettings::new());
        let mut retries = 0_u32;
        for number in 0..5_000 {
            let now = at(number * 1_000 / per_second);
            budget.record_request(now);
            retries += (0..3)
                .map(|_| u32::from(budget.try_spend(now)))
                .sum::<u32>();
        }
        assert!(retries <= 500, "{retries} retries at {per_second}/s");
    }
}

// Guards against refusals at low request rates although a peer is free: with one request every five
// seconds, tokens decay faster than requests earn them, so there is never a whole token to spend.
#[test]
fn a_service_with_few_requests_can_retry_occasionally() {
    let mut budgets = AgencyBudgets::new(BudgetSettings::new());
    let mut retries = 0;
    for number in 0..100 {
        let now = at(number * 5_000);
        budgets.record_request(None, now);
        if number % 4 == 3 {
            retries += u32::from(budgets.try_spend(None, now));
            assert!(!budgets.try_spend(None, now), "two retries at once");
        }
    }
    assert_eq!(retries, 25);
}

#[test]
fn saved_tokens_are_bounded_and_decay() {
    let settings = BudgetSettings::new().with_retry_ratio(0.1).with_burst(5.0);
    let spend_all =
        |budget: &mut RetryBudget, now| (0..100).filter(|_| budget.try_spend(now)).count();
    let mut budget = RetryBudget::new(settings);
    for _ in 0..1_000 {
        budget.record_request(at(0));
    }
    assert_eq!(spend_all(&mut budget.clone(), at(0)), 5);
    // One retry needs no token.
    assert_eq!(spend_all(&mut budget, at(60_000)), 1);
}

// Guards against an agency within its share that gets no retry, because a competing agency under
// high load has spent the agent's only retry budget on its refused requests.
#[test]
fn an_agency_under_high_load_spends_only_its_own_retries() {
    let mut budgets = AgencyBudgets::new(BudgetSettings::new());
    let (busy, fair) = (agency("busy"), agency("ludhiana"));
    for _ in 0..1_000 {
        budgets.record_request(busy.as_ref(), at(0));
    }
    for _ in 0..100 {
        budgets.try_spend(busy.as_ref(), at(0));
    }
    assert!(budgets.try_spend(fair.as_ref(), at(0)));
}

struct HeaderCase {
    text: &'static str,
    expected: Option<u8>,
}

#[test]
fn an_allowance_header_is_read_strictly_and_bounded() {
    #[rustfmt::skip]
    let cases = [
        HeaderCase { text: "0", expected: Some(0) },
        HeaderCase { text: "1", expected: Some(1) },
        HeaderCase { text: "255", expected: Some(3) },
        HeaderCase { text: "256", expected: None },
        HeaderCase { text: "-1", expected: None },
        HeaderCase { text: "", expected: None },
        HeaderCase { text: "one", expected: None },
    ];
    for case in cases {
        let left = AttemptAllowance::from_header(case.text).ok();
        assert_eq!(
            left.map(AttemptAllowance::left),
            case.expected,
            "{}",
            case.text
        );
    }
}

#[test]
fn an_allowance_shrinks_downstream_and_upstream() {
    let fresh = AttemptAllowance::new();
    let retry = fresh.for_retry().expect("a new request may be retried");
    assert_eq!(retry.for_retry(), None, "a retry is not retried");
    assert_eq!(fresh.capped_by(AttemptAllowance::none()).for_retry(), None);
    assert_eq!(fresh.capped_by(fresh), fresh);
}
