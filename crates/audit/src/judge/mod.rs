//! Checks records against the rules, with one module per rule.

mod answers;
mod attempts;
mod drains;
mod effects;
mod key_order;
mod leases;
mod placement;
mod submissions;
mod versions;

use crate::record::Record;
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

/// Checks records, which must be sorted by time, against the rules.
pub fn judge(records: &[Record], rules: &Rules) -> Verdict {
    let mut verdict = Verdict::default();
    let submissions = submissions::collect_submissions(records, &mut verdict);
    answers::check_responses(records, &submissions, rules, &mut verdict);
    effects::check_effects(records, &submissions, rules, &mut verdict);
    drains::check_drains(records, rules, &mut verdict);
    check_crashes(records, &mut verdict);
    key_order::check_key_order(records, &submissions, rules, &mut verdict);
    placement::check_placement(records, rules, &mut verdict);
    attempts::check_attempts(records, &submissions, rules, &mut verdict);
    if let Some(version_rules) = &rules.versions {
        versions::check_versions(records, version_rules, &mut verdict);
        leases::check_leases(records, version_rules, &mut verdict);
    }
    verdict
}

/// Checks rule 4: no engine crashes under overload.
fn check_crashes(records: &[Record], verdict: &mut Verdict) {
    for record in records {
        if let Record::EngineCrashed { at, engine } = record {
            verdict.add_violation(
                Rule::NoEngineCrash,
                format!("engine {engine} was pushed over at {at}"),
            );
        }
    }
}
