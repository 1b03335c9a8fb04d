//! Rule 5: statements with the same key run one at a time per router, in the order of admission. A router may cancel an
//! attempt that is still running on its engine. The key is then blocked for a pause before its next statement is sent.

use std::collections::{BTreeMap, BTreeSet};

use super::submissions::{Submission, Submissions};
use crate::record::Record;
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

/// Maximum delay, in µs, between the end of an attempt at the router and the recorded response to the client, from
/// which the end is derived.
const MAX_RESPONSE_DELAY_MICROS: u64 = 20_000;

pub(super) fn check_key_order(
    records: &[Record],
    submissions: &Submissions,
    rules: &Rules,
    verdict: &mut Verdict,
) {
    let mut checker = OrderChecker::new(submissions, rules);
    for record in records {
        match record {
            Record::RouterKilled { router, .. } => checker.remove_router(router),
            Record::Sent { at, trace, .. } => checker.check_attempt(*at, trace, verdict),
            Record::Done { trace, .. } => checker.finish_attempt(trace),
            _ => {}
        }
    }
}

/// An ordering key on a router.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RouterKey<'a> {
    key: &'a str,
    router: &'a str,
}

/// The newest submission of a key that was sent to an engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NewestSubmission<'a> {
    submitted_at: u64,
    trace: &'a str,
}

struct OrderChecker<'a> {
    order_pause: u64,
    /// Submissions of ordered classes that have a key, by trace.
    keyed: BTreeMap<&'a str, (RouterKey<'a>, &'a Submission<'a>)>,
    /// Traces that are running on an engine.
    running: BTreeMap<RouterKey<'a>, BTreeSet<&'a str>>,
    newest: BTreeMap<RouterKey<'a>, NewestSubmission<'a>>,
}

impl<'a> OrderChecker<'a> {
    fn new(submissions: &'a Submissions<'a>, rules: &Rules) -> Self {
        let is_ordered = |class: &str| rules.classes.get(class).is_some_and(|c| c.ordered);
        let keyed = submissions
            .values()
            .filter(|submission| is_ordered(submission.class))
            .filter_map(|submission| {
                let (key, router) = (submission.key?, submission.router);
                Some((submission.trace, (RouterKey { key, router }, submission)))
            })
            .collect();
        Self {
            order_pause: rules.order_pause,
            keyed,
            running: BTreeMap::new(),
            newest: BTreeMap::new(),
        }
    }

    fn remove_router(&mut self, router: &str) {
        self.running.retain(|key, _| key.router != router);
        self.newest.retain(|key, _| key.router != router);
    }

    fn check_attempt(&mut self, at: u64, trace: &str, verdict: &mut Verdict) {
        let Some((&trace, &(key, submission))) = self.keyed.get_key_value(trace) else {
            return;
        };
        let running = self.running.get(&key).into_iter().flatten();
        let mut others = running.filter(|other| **other != trace);
        if let Some(other) = others.find(|other| !self.is_pause_over(other, at)) {
            verdict.add_violation(
                Rule::KeyOrder,
                format!("{trace}: sent while {other} of the same key ran"),
            );
        }
        self.running.entry(key).or_default().insert(trace);
        let submitted_at = submission.submitted_at;
        let sent = NewestSubmission {
            submitted_at,
            trace,
        };
        let newest = self.newest.entry(key).or_insert(sent);
        // Only a submission made after the admission of this one is certainly newer.
        if submission
            .admitted_at
            .is_some_and(|admitted_at| admitted_at < newest.submitted_at)
        {
            let other = newest.trace;
            verdict.add_violation(
                Rule::KeyOrder,
                format!("{trace}: sent behind {other}, which came after it"),
            );
        }
        *newest = (*newest).max(sent);
    }

    /// Returns whether the pause after the end of an attempt that may still be running is over.
    fn is_pause_over(&self, trace: &str, at: u64) -> bool {
        let response = self
            .keyed
            .get(trace)
            .and_then(|(_, submission)| submission.final_responses.first());
        response.is_some_and(|response| {
            at + MAX_RESPONSE_DELAY_MICROS >= response.at + self.order_pause
        })
    }

    fn finish_attempt(&mut self, trace: &str) {
        if let Some((key, _)) = self.keyed.get(trace)
            && let Some(running) = self.running.get_mut(key)
        {
            running.remove(trace);
        }
    }
}
