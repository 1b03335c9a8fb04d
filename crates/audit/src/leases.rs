//! Owns what is judged of leases, from what discovery and engines recorded: no two holders of a part act at once, none acts
//! after a newer one, and no part is without a holder for longer than stated.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::judge::VersionRules;
use crate::record::Record;

/// What was seen of leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeaseReport {
    /// Acts under leases that took effect.
    pub acts: u64,
    /// Acts that were refused, as a newer number had been seen there.
    pub refused: u64,
    /// Parts, and numbers under which something was done.
    #[serde(rename = "parts")]
    pub shards: u64,
    /// See `parts`.
    #[serde(rename = "numbers")]
    pub fencing_tokens: u64,
    /// Acts under an older number after one under a newer number, and the longest time between, in µs.
    pub overlaps: u64,
    /// See `overlaps`.
    pub longest_overlap: u64,
    /// The longest time in which nothing was done for a part, in µs.
    pub longest_gap: u64,
    /// By takeover: how long nothing was done for the part, in µs, in order of size.
    pub takeovers: Vec<u64>,
}

#[derive(Default)]
struct Part<'a> {
    /// By number: the first act under it, and whose.
    first: BTreeMap<u64, (u64, &'a str)>,
    last: Option<(u64, u64)>,
}

/// Judges acts under leases, in the order of time. `None`: there were none.
pub(crate) fn leases(
    records: &[Record],
    agreement: &VersionRules,
    mut add: impl FnMut(String),
) -> Option<LeaseReport> {
    let mut all = LeaseReport::default();
    let mut parts: BTreeMap<&str, Part> = BTreeMap::new();
    for record in records {
        let Record::LeasedRequest {
            at,
            resource,
            router,
            shard: part,
            fencing_token: number,
            refused,
        } = record
        else {
            continue;
        };
        if *refused {
            all.refused += 1;
            continue;
        }
        all.acts += 1;
        let known = parts.entry(part).or_default();
        let (_, whose) = known.first.entry(*number).or_insert((*at, router));
        if *whose != router.as_str() {
            add(format!(
                "{part}: {whose} and {router} both acted under number {number}"
            ));
        }
        if let Some((newer, (since, other))) = known.first.range(number + 1..).next() {
            let overlap = at.saturating_sub(*since);
            all.overlaps += 1;
            all.longest_overlap = all.longest_overlap.max(overlap);
            if overlap > agreement.max_overlap {
                add(format!(
                    "{part}: {router} acted on {resource} under number {number}, {} ms after {other} under {newer}",
                    overlap / 1000
                ));
            }
        }
        if let Some((last, before)) = known.last.replace((*at, *number)) {
            let gap = at.saturating_sub(last);
            all.longest_gap = all.longest_gap.max(gap);
            if before != *number {
                all.takeovers.push(gap);
            }
            if agreement.max_unheld.is_some_and(|most| gap > most) {
                add(format!(
                    "{part}: nobody did it for {} ms, up to {at}",
                    gap / 1000
                ));
            }
        }
    }
    all.takeovers.sort_unstable();
    all.shards = parts.len() as u64;
    all.fencing_tokens = parts.values().map(|p| p.first.len() as u64).sum();
    (all.acts + all.refused > 0).then_some(all)
}
