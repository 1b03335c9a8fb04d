//! Rule 8: routers do not act under configuration versions that contradict each other. An attempt under an older
//! version overlaps with a newer, contradicting version if it follows the first attempt under that version. An attempt
//! complies with all versions up to the one that its router enforces, which may be newer than the one in force. The
//! guarantee does not cover attempts of routers that could not be sure of their versions, so the check skips them.

use std::collections::BTreeMap;

use crate::record::{Record, SentVersions};
use crate::rules::VersionRules;
use crate::verdict::{Rule, Verdict, VersionOverlap};

/// First attempt under a version.
struct FirstAttempt<'a> {
    at: u64,
    router: &'a str,
}

pub(super) fn check_versions(records: &[Record], rules: &VersionRules, verdict: &mut Verdict) {
    let mut first_attempts: BTreeMap<u64, FirstAttempt> = BTreeMap::new();
    let mut total = VersionOverlap::default();
    for record in records {
        let Record::Sent {
            at,
            engine,
            router,
            trace,
            versions:
                Some(SentVersions {
                    in_force,
                    enforced,
                    in_doubt: false,
                }),
            ..
        } = record
        else {
            continue;
        };
        first_attempts
            .entry(*in_force)
            .or_insert(FirstAttempt { at: *at, router });
        let Some((version, first)) = first_contradicting(&first_attempts, *enforced, rules) else {
            continue;
        };
        let overlap = at.saturating_sub(first.at);
        total.acts += 1;
        total.longest = total.longest.max(overlap);
        if overlap > rules.max_overlap {
            let (milliseconds, other) = (overlap / 1000, first.router);
            verdict.add_violation(
                Rule::ConsistentVersions,
                format!(
                    "{trace} was sent to {engine} by {router} under versions {in_force} to {enforced}, {milliseconds} ms \
                     after {other} acted on version {version}"
                ),
            );
        }
    }
    verdict.overlap = (!first_attempts.is_empty()).then_some(total);
}

/// Returns the lowest version with an attempt that is above the enforced version and contradicts it.
fn first_contradicting<'m, 'a>(
    first_attempts: &'m BTreeMap<u64, FirstAttempt<'a>>,
    enforced: u64,
    rules: &VersionRules,
) -> Option<(&'m u64, &'m FirstAttempt<'a>)> {
    first_attempts.range(enforced + 1..).find(|(version, _)| {
        (enforced + 1..=**version).any(|between| !rules.compatible.contains(&between))
    })
}
