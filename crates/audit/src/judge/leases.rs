//! Rule 9: no two routers operate on a shard under the same fencing token, no operation under an older token follows
//! one under a newer token, apart from a permitted overlap, and the time between two consecutive operations on a shard
//! does not exceed the limit. Time after the last operation is not checked. The check uses the records of discovery and
//! engines.

use std::collections::BTreeMap;

use crate::record::Record;
use crate::rules::VersionRules;
use crate::verdict::{LeaseReport, Rule, Verdict};

/// An operation under a lease that took effect.
#[derive(Clone, Copy)]
struct Operation<'a> {
    at: u64,
    resource: &'a str,
    router: &'a str,
    shard: &'a str,
    fencing_token: u64,
}

#[derive(Default)]
struct Shard<'a> {
    /// First operation under each fencing token.
    first_operations: BTreeMap<u64, Operation<'a>>,
    last_operation: Option<Operation<'a>>,
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
        let operation = Operation {
            at: *at,
            resource,
            router,
            shard,
            fencing_token: *fencing_token,
        };
        let shard = shards.entry(operation.shard).or_default();
        shard.check_holder(operation, verdict);
        shard.check_overlap(operation, rules, &mut report, verdict);
        shard.check_gap(operation, rules, &mut report, verdict);
    }
    report.takeovers.sort_unstable();
    report.shards = shards.len() as u64;
    report.fencing_tokens = shards
        .values()
        .map(|shard| shard.first_operations.len() as u64)
        .sum();
    verdict.leases = (report.acts + report.refused > 0).then_some(report);
}

impl<'a> Shard<'a> {
    fn check_holder(&mut self, operation: Operation<'a>, verdict: &mut Verdict) {
        let Operation {
            router,
            shard,
            fencing_token,
            ..
        } = operation;
        let holder = self
            .first_operations
            .entry(fencing_token)
            .or_insert(operation)
            .router;
        if holder != router {
            verdict.add_violation(
                Rule::SingleLeaseHolder,
                format!("{shard}: {holder} and {router} both acted under number {fencing_token}"),
            );
        }
    }

    fn check_overlap(
        &self,
        operation: Operation,
        rules: &VersionRules,
        report: &mut LeaseReport,
        verdict: &mut Verdict,
    ) {
        let Operation {
            at,
            resource,
            router,
            shard,
            fencing_token,
        } = operation;
        let Some((newer, first)) = self.first_operations.range(fencing_token + 1..).next() else {
            return;
        };
        let overlap = at.saturating_sub(first.at);
        report.overlaps += 1;
        report.longest_overlap = report.longest_overlap.max(overlap);
        if overlap > rules.max_overlap {
            let (milliseconds, other) = (overlap / 1000, first.router);
            verdict.add_violation(
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
        operation: Operation<'a>,
        rules: &VersionRules,
        report: &mut LeaseReport,
        verdict: &mut Verdict,
    ) {
        let Some(last) = self.last_operation.replace(operation) else {
            return;
        };
        let Operation { at, shard, .. } = operation;
        let gap = at.saturating_sub(last.at);
        report.longest_gap = report.longest_gap.max(gap);
        if last.fencing_token != operation.fencing_token {
            report.takeovers.push(gap);
        }
        if rules.max_unheld.is_some_and(|max| gap > max) {
            let milliseconds = gap / 1000;
            verdict.add_violation(
                Rule::SingleLeaseHolder,
                format!("{shard}: nobody did it for {milliseconds} ms, up to {at}"),
            );
        }
    }
}
