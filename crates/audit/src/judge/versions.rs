//! Rule 8: routers do not act on configuration versions that contradict each other. An attempt under an older version,
//! made after a later version that contradicts it has been acted on, overlaps with that version. Attempts that were sent
//! in doubt are outside the promise and left out.

use std::collections::BTreeMap;

use crate::record::{Record, SentVersions};
use crate::rules::VersionRules;
use crate::verdict::{Rule, Verdict, VersionOverlap};

/// The first attempt under a version.
struct FirstAct<'a> {
    at: u64,
    router: &'a str,
}

pub(super) fn check_versions(records: &[Record], rules: &VersionRules, verdict: &mut Verdict) {
    let mut first_acts: BTreeMap<u64, FirstAct> = BTreeMap::new();
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
        first_acts
            .entry(*in_force)
            .or_insert(FirstAct { at: *at, router });
        let Some((version, first)) = first_contradicting(&first_acts, *enforced, rules) else {
            continue;
        };
        let overlap = at.saturating_sub(first.at);
        total.acts += 1;
        total.longest = total.longest.max(overlap);
        if overlap > rules.max_overlap {
            let (milliseconds, other) = (overlap / 1000, first.router);
            verdict.add(
                Rule::ConsistentVersions,
                format!(
                    "{trace} was sent to {engine} by {router} under versions {in_force} to {enforced}, {milliseconds} ms \
                     after {other} acted on version {version}"
                ),
            );
        }
    }
    verdict.overlap = (!first_acts.is_empty()).then_some(total);
}

/// The lowest version acted on that is above the enforced one and contradicts it.
fn first_contradicting<'m, 'a>(
    first_acts: &'m BTreeMap<u64, FirstAct<'a>>,
    enforced: u64,
    rules: &VersionRules,
) -> Option<(&'m u64, &'m FirstAct<'a>)> {
    first_acts.range(enforced + 1..).find(|(version, _)| {
        (enforced + 1..=**version).any(|between| !rules.compatible.contains(&between))
    })
}
