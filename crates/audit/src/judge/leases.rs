//! Rule 9: no two routers act on a shard under the same fencing token, none acts under an older token after a newer one,
//! and no shard goes without an act for longer than stated. Judged from what discovery and engines recorded.

use std::collections::BTreeMap;

use crate::record::Record;
use crate::rules::VersionRules;
use crate::verdict::{LeaseReport, Rule, Verdict};

/// An act under a lease that took effect.
#[derive(Clone, Copy)]
struct Act<'a> {
    at: u64,
    resource: &'a str,
    router: &'a str,
    shard: &'a str,
    fencing_token: u64,
}

#[derive(Default)]
struct Shard<'a> {
    /// The first act under each fencing token.
    first_acts: BTreeMap<u64, Act<'a>>,
    last_act: Option<Act<'a>>,
}

pub(super) fn check_leases(records: &[Record], rules: &VersionRules, verdict: &mut Verdict) {
    let mut report = LeaseReport::default();
    let mut shards: BTreeMap<&str, Shard> = BTreeMap::new();
    for record in records {
        let Record::LeasedRequest {
            at,
            resource,
            router,
            shard,
            fencing_token,
            refused,
        } = record
        else {
            continue;
        };
        if *refused {
            report.refused += 1;
            continue;
        }
        report.acts += 1;
        let act = Act {
            at: *at,
            resource,
            router,
            shard,
            fencing_token: *fencing_token,
        };
        let shard = shards.entry(act.shard).or_default();
        shard.check_holder(act, verdict);
        shard.check_overlap(act, rules, &mut report, verdict);
        shard.check_gap(act, rules, &mut report, verdict);
    }
    report.takeovers.sort_unstable();
    report.shards = shards.len() as u64;
    report.fencing_tokens = shards
        .values()
        .map(|shard| shard.first_acts.len() as u64)
        .sum();
    verdict.leases = (report.acts + report.refused > 0).then_some(report);
}

impl<'a> Shard<'a> {
    fn check_holder(&mut self, act: Act<'a>, verdict: &mut Verdict) {
        let Act {
            router,
            shard,
            fencing_token,
            ..
        } = act;
        let holder = self.first_acts.entry(fencing_token).or_insert(act).router;
        if holder != router {
            verdict.add(
                Rule::SingleLeaseHolder,
                format!("{shard}: {holder} and {router} both acted under number {fencing_token}"),
            );
        }
    }

    fn check_overlap(
        &self,
        act: Act,
        rules: &VersionRules,
        report: &mut LeaseReport,
        verdict: &mut Verdict,
    ) {
        let Act {
            at,
            resource,
            router,
            shard,
            fencing_token,
        } = act;
        let Some((newer, first)) = self.first_acts.range(fencing_token + 1..).next() else {
            return;
        };
        let overlap = at.saturating_sub(first.at);
        report.overlaps += 1;
        report.longest_overlap = report.longest_overlap.max(overlap);
        if overlap > rules.max_overlap {
            let (milliseconds, other) = (overlap / 1000, first.router);
            verdict.add(
                Rule::SingleLeaseHolder,
                format!(
                    "{shard}: {router} acted on {resource} under number {fencing_token}, {milliseconds} ms after {other} \
                     under {newer}"
                ),
            );
        }
    }

    fn check_gap(
        &mut self,
        act: Act<'a>,
        rules: &VersionRules,
        report: &mut LeaseReport,
        verdict: &mut Verdict,
    ) {
        let Some(last) = self.last_act.replace(act) else {
            return;
        };
        let Act { at, shard, .. } = act;
        let gap = at.saturating_sub(last.at);
        report.longest_gap = report.longest_gap.max(gap);
        if last.fencing_token != act.fencing_token {
            report.takeovers.push(gap);
        }
        if rules.max_unheld.is_some_and(|max| gap > max) {
            let milliseconds = gap / 1000;
            verdict.add(
                Rule::SingleLeaseHolder,
                format!("{shard}: nobody did it for {milliseconds} ms, up to {at}"),
            );
        }
    }
}
