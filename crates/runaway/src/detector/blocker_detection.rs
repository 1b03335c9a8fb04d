//! Detection of runaways among abandoned attempts and statements of other routers.

use std::collections::BTreeSet;

use hoptiller_policy::Micros;

use super::RunawayDetector;
use crate::blocker::Blocker;
use crate::interface::{Cause, Subject, Verdict};
use crate::wait_graph::WaitGraph;

impl RunawayDetector {
    /// Assesses abandoned attempts and statements of other routers by the attempts that they block.
    pub(super) fn detect_blockers(&mut self, now: Micros, waits: &WaitGraph) {
        let remote = self.remote_statements.names();
        let abandoned = self
            .attempts
            .unconfirmed()
            .map(|attempt| &attempt.start().name);
        let names: BTreeSet<String> = remote.chain(abandoned).cloned().collect();
        for name in names {
            let blocked = waits.waiter_names(&name);
            self.extend_exclusion(now, &name, &blocked);
            if self.remove_expired_remote(now, &name) || blocked.is_empty() {
                continue;
            }
            let blocker = Blocker::find(&name, &self.attempts, &self.remote_statements);
            if let Some(blocker) = blocker {
                self.assess_blocker(now, &name, blocker, &blocked);
            }
        }
    }

    /// Extends the exclusion of the table groups that a remote runaway still blocks.
    fn extend_exclusion(&mut self, now: Micros, name: &str, blocked: &[String]) {
        if blocked.is_empty() {
            return;
        }
        let groups = blocked
            .iter()
            .filter_map(|waiter| self.attempts.get_by_name(waiter)?.start().group);
        self.remote_statements.extend_exclusion(now, name, groups);
    }

    /// Removes a remote statement that has not been reported recently. Returns whether it was removed.
    fn remove_expired_remote(&mut self, now: Micros, name: &str) -> bool {
        let is_own = self.attempts.get_by_name(name).is_some();
        if is_own || !self.remote_statements.is_expired(now, name) {
            return false;
        }
        self.remote_statements.remove(name);
        let subject = Subject::Statement(name.to_owned());
        let note = "nothing stands behind it any more";
        self.findings
            .clear(now, &subject, note, &mut self.decisions);
        true
    }

    fn assess_blocker(&mut self, now: Micros, name: &str, blocker: Blocker, blocked: &[String]) {
        let classes = &self.settings.classes;
        let excess = blocker.excess(now, blocked.len(), &self.statistics, classes);
        let Some(evidence) = excess else {
            return;
        };
        let id = blocker.id();
        let finding = blocker.finding(now, name, evidence, blocked);
        let (since, verdict) = (finding.since, finding.verdict);
        let is_new = self.findings.report(finding, &mut self.decisions);
        let is_new_runaway = is_new && verdict == Verdict::Runaway;
        self.remote_statements.mark_over_bound(name, since);
        if is_new_runaway {
            self.remote_statements.start_exclusion(now, name);
        }
        self.extend_exclusion(now, name, blocked);
        let Some(id) = id else { return };
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.mark_over_bound(since);
        }
        if is_new_runaway {
            self.enforce(now, id, Cause::Blocks, &[]);
        }
    }
}
