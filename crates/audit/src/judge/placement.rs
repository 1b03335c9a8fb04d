//! Rule 6: statements run only on the machine kinds of their class.

use crate::record::Record;
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

/// Counts the attempts of each class and checks their machine kinds.
pub(super) fn check_placement(records: &[Record], rules: &Rules, verdict: &mut Verdict) {
    for record in records {
        let Record::Sent {
            engine,
            kind,
            trace,
            class,
            ..
        } = record
        else {
            continue;
        };
        verdict.tally(class).attempts += 1;
        let permitted = rules.classes.get(class).map(|class| &class.machine_kinds);
        if permitted.is_some_and(|kinds| !kinds.is_empty() && !kinds.contains(kind)) {
            verdict.add_violation(
                Rule::Placement,
                format!("{trace}: {class} sent to {engine}, a {kind}"),
            );
        }
    }
}
