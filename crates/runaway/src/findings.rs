//! The open findings, one per subject, and the most recently cleared ones. A changed finding is reported; an unchanged
//! one is updated without a report.

use std::collections::{BTreeMap, VecDeque};

use hoptiller_policy::Micros;

use crate::interface::{Cause, Decision, Finding, FingerprintId, Subject, Verdict};

/// Maximum number of cleared findings kept.
const MAX_CLEARED: usize = 256;
/// Maximum number of open findings kept; suspects are evicted before runaways, and older findings before newer ones.
const MAX_OPEN: usize = 1024;

/// Open and cleared findings.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    last_id: u64,
    open: BTreeMap<Subject, Finding>,
    cleared: VecDeque<Finding>,
}

impl Findings {
    /// Returns the open finding on a subject.
    pub(crate) fn get(&self, subject: &Subject) -> Option<&Finding> {
        self.open.get(subject)
    }

    /// Returns whether a subject was found to be a runaway.
    pub(crate) fn is_runaway(&self, subject: &Subject) -> bool {
        self.get(subject)
            .is_some_and(|f| f.verdict == Verdict::Runaway)
    }

    /// Returns whether a fingerprint was found to have changed.
    pub(crate) fn is_changed(&self, fingerprint: FingerprintId) -> bool {
        self.get(&Subject::Fingerprint(fingerprint))
            .is_some_and(|f| f.cause == Cause::FingerprintChanged)
    }

    /// Returns the open findings.
    pub(crate) fn open(&self) -> impl Iterator<Item = &Finding> {
        self.open.values()
    }

    /// Returns the most recently cleared findings, oldest first.
    pub(crate) fn cleared(&self) -> impl Iterator<Item = &Finding> {
        self.cleared.iter()
    }

    /// Records a finding, and reports it if it is new, more certain or has another cause. Otherwise the previous
    /// verdict and cause remain, with the new evidence. Returns whether it was reported.
    pub(crate) fn report(&mut self, mut finding: Finding, out: &mut Vec<Decision>) -> bool {
        let old = self.open.get(&finding.subject);
        finding.id = old.map_or_else(|| self.last_id + 1, |old| old.id);
        self.last_id = self.last_id.max(finding.id);
        // A finding does not become less certain until it is cleared.
        let supersedes = |old: &&Finding| {
            old.verdict > finding.verdict
                || (old.verdict, old.cause) == (finding.verdict, finding.cause)
        };
        let previous = old.filter(supersedes);
        let is_new = previous.is_none();
        if let Some(old) = previous {
            finding.verdict = old.verdict;
            finding.cause = old.cause;
            finding.at = old.at;
            finding.since = old.since;
        } else {
            out.push(Decision::Found(Box::new(finding.clone())));
        }
        self.open.insert(finding.subject.clone(), finding);
        self.evict_excess(out);
        is_new
    }

    /// Clears the finding on a subject, if there is one.
    pub(crate) fn clear(
        &mut self,
        now: Micros,
        subject: &Subject,
        note: &'static str,
        out: &mut Vec<Decision>,
    ) {
        let Some(mut finding) = self.open.remove(subject) else {
            return;
        };
        finding.verdict = Verdict::Cleared;
        finding.at = now;
        finding.note = note;
        self.cleared.push_back(finding.clone());
        if self.cleared.len() > MAX_CLEARED {
            self.cleared.pop_front();
        }
        out.push(Decision::Found(Box::new(finding)));
    }

    fn evict_excess(&mut self, out: &mut Vec<Decision>) {
        while self.open.len() > MAX_OPEN {
            let least = self
                .open
                .values()
                .min_by_key(|f| (f.verdict, f.at))
                .map(|f| (f.subject.clone(), f.at));
            let Some((subject, at)) = least else { return };
            self.clear(at, &subject, "there are too many verdicts to keep", out);
        }
    }
}

#[cfg(test)]
mod tests;
