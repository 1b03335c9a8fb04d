//! Rule 7: the number of attempts per submission of a statement is bounded, and the retries of a router stay within its
//! budget.

use std::collections::BTreeMap;

use super::submissions::Submissions;
use crate::record::Record;
use crate::rules::{RetryBudget, Rules};
use crate::verdict::{Rule, Verdict};

pub(super) fn check_attempts(
    records: &[Record],
    submissions: &Submissions,
    rules: &Rules,
    verdict: &mut Verdict,
) {
    let mut attempts: BTreeMap<&str, u32> = BTreeMap::new();
    let mut retries: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for record in records {
        let Record::Sent {
            at, router, trace, ..
        } = record
        else {
            continue;
        };
        let count = attempts.entry(trace).or_default();
        *count += 1;
        if *count > 1 {
            retries.entry(router).or_default().push(*at);
        }
    }
    for (trace, count) in attempts {
        if count > rules.max_attempts {
            verdict.add_violation(Rule::BoundedRetries, format!("{trace}: {count} attempts"));
        }
    }
    if let Some(budget) = rules.retry_budget {
        for (router, times) in &retries {
            check_budget(router, times, submissions, budget, verdict);
        }
    }
}

/// Checks the retry budget in the windows that end at each retry of a router.
fn check_budget(
    router: &str,
    retry_times: &[u64],
    submissions: &Submissions,
    budget: RetryBudget,
    verdict: &mut Verdict,
) {
    for (index, end) in retry_times.iter().enumerate() {
        let start = end.saturating_sub(budget.span);
        let in_window = |at: u64| at > start && at <= *end;
        let retries = retry_times[..=index]
            .iter()
            .filter(|at| **at > start)
            .count();
        let admitted = submissions
            .values()
            .filter(|submission| submission.router == router)
            .filter(|submission| submission.admitted_at.is_some_and(in_window))
            .count();
        if retries as f64 > budget.spare + budget.ratio * admitted as f64 {
            verdict.add_violation(
                Rule::BoundedRetries,
                format!("{router}: {retries} further attempts up to {end}, with {admitted} taken in that span"),
            );
        }
    }
}
