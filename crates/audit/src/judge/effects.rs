//! Rule 2: a statement takes effect at most once over all its submissions, in agreement with its final response.
//! Duplicate effects are checked in all classes, agreement with the response only in non-idempotent ones.

use std::collections::BTreeMap;

use super::submissions::Submissions;
use crate::record::{Outcome, Record};
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

pub(super) fn check_effects(
    records: &[Record],
    submissions: &Submissions,
    rules: &Rules,
    verdict: &mut Verdict,
) {
    let mut effects: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        if let Record::EffectWritten { trace, .. } = record {
            *effects.entry(trace).or_default() += 1;
        }
    }
    check_duplicates(&effects, verdict);
    for (request, submission) in submissions {
        let class = rules.classes.get(submission.class);
        if !class.is_some_and(|class| class.non_idempotent) {
            continue;
        }
        let count = effects.get(submission.trace).copied().unwrap_or(0);
        verdict.tally(submission.class).effects += count;
        let outcome = submission
            .final_responses
            .first()
            .map(|response| response.outcome);
        match outcome {
            Some(Outcome::Served) if count == 0 => verdict.add_violation(
                Rule::NoDuplicateEffect,
                format!("request {request}: served, and no effect in the ledger"),
            ),
            Some(Outcome::Refused) if count > 0 => verdict.add_violation(
                Rule::NoDuplicateEffect,
                format!("request {request}: refused as harmless, and its effect is in the ledger"),
            ),
            _ => {}
        }
    }
}

fn check_duplicates(effects: &BTreeMap<&str, u64>, verdict: &mut Verdict) {
    let mut by_statement: BTreeMap<&str, u64> = BTreeMap::new();
    for (trace, count) in effects {
        *by_statement.entry(statement_name(trace)).or_default() += count;
    }
    for (name, count) in by_statement {
        if count > 1 {
            verdict.add_violation(
                Rule::NoDuplicateEffect,
                format!("{name}: {count} effects in the ledger"),
            );
        }
    }
}

/// Returns the name of the statement that a trace belongs to. Traces of resubmitted statements have the form
/// `name.N`, where N counts the submissions of `name`.
fn statement_name(trace: &str) -> &str {
    trace.rsplit_once('.').map_or(trace, |(name, _)| name)
}
