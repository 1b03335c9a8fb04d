//! Rule 5: statements of the same key run one at a time at a router, in the order of admission. A router may cancel an
//! attempt that still runs at its engine; the key is then blocked for a pause, and passes on.

use std::collections::{BTreeMap, BTreeSet};

use super::submissions::{Submission, Submissions};
use crate::record::Record;
use crate::rules::Rules;
use crate::verdict::{Rule, Verdict};

/// A router's end of an attempt is known by its client's answer, which is recorded up to this much later, in µs.
const MAX_ANSWER_DELAY: u64 = 20_000;

pub(super) fn check_key_order(
    records: &[Record],
    submissions: &Submissions,
    rules: &Rules,
    verdict: &mut Verdict,
) {
    let mut checker = OrderChecker::new(submissions, rules);
    for record in records {
        match record {
            Record::RouterKilled { router, .. } => checker.forget_router(router),
            Record::Sent { at, trace, .. } => checker.check_attempt(*at, trace, verdict),
            Record::Done { trace, .. } => checker.finish_attempt(trace),
            _ => {}
        }
    }
}

/// An ordering key at a router.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RouterKey<'a> {
    key: &'a str,
    router: &'a str,
}

/// The last submission of a key that was sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Newest<'a> {
    submitted_at: u64,
    trace: &'a str,
}

struct OrderChecker<'a> {
    order_pause: u64,
    /// Submissions of ordered classes that have a key, by trace.
    keyed: BTreeMap<&'a str, (RouterKey<'a>, &'a Submission<'a>)>,
    /// Traces that run at an engine.
    running: BTreeMap<RouterKey<'a>, BTreeSet<&'a str>>,
    newest: BTreeMap<RouterKey<'a>, Newest<'a>>,
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

    fn forget_router(&mut self, router: &str) {
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
            verdict.add(
                Rule::KeyOrder,
                format!("{trace}: sent while {other} of the same key ran"),
            );
        }
        self.running.entry(key).or_default().insert(trace);
        let submitted_at = submission.submitted_at;
        let sent = Newest {
            submitted_at,
            trace,
        };
        let newest = self.newest.entry(key).or_insert(sent);
        // Only what was submitted after this one was admitted is newer beyond doubt.
        if submission
            .admitted_at
            .is_some_and(|admitted_at| admitted_at < newest.submitted_at)
        {
            let other = newest.trace;
            verdict.add(
                Rule::KeyOrder,
                format!("{trace}: sent behind {other}, which came after it"),
            );
        }
        *newest = (*newest).max(sent);
    }

    /// Whether the pause after the end of an attempt that may still run is over.
    fn is_pause_over(&self, trace: &str, at: u64) -> bool {
        let answer = self
            .keyed
            .get(trace)
            .and_then(|(_, submission)| submission.final_answers.first());
        answer.is_some_and(|answer| at + MAX_ANSWER_DELAY >= answer.at + self.order_pause)
    }

    fn finish_attempt(&mut self, trace: &str) {
        if let Some((key, _)) = self.keyed.get(trace)
            && let Some(running) = self.running.get_mut(key)
        {
            running.remove(trace);
        }
    }
}
