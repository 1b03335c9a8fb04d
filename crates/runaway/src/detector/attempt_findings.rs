//! The conclusions from the assessment of an attempt: a finding on it, a notice that its fingerprint has changed, or
//! neither.

use hoptiller_policy::Micros;

use super::RunawayDetector;
use crate::assessment::{OverBound, SlowReader};
use crate::fingerprint_change::ChangeStatus;
use crate::interface::{AttemptId, Cause, Evidence, Finding, MAX_BLOCKED_NAMES, Subject, Verdict};
use crate::measures::CONFIRMATION_TIME;

impl RunawayDetector {
    /// Reports an attempt that is over its bound: as a suspect until that is confirmed, then as a runaway, unless the
    /// statements of its fingerprint run long in general.
    pub(super) fn report_over_bound(&mut self, now: Micros, id: AttemptId, over_bound: OverBound) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let since = attempt.mark_over_bound(now);
        let fingerprint = attempt.start().fingerprint;
        if self.findings.is_changed(fingerprint) {
            return; // One notice covers all attempts of the fingerprint.
        }
        let over_bound_for = now - since;
        let is_confirmed = over_bound.excess.is_certain || over_bound_for >= CONFIRMATION_TIME;
        let status = self.change_status(id, over_bound.cause, over_bound_for);
        if is_confirmed && status == ChangeStatus::Changed {
            return self.report_fingerprint_change(now, id, over_bound.excess.evidence);
        }
        let verdict = if is_confirmed && status == ChangeStatus::Isolated {
            Verdict::Runaway
        } else {
            Verdict::Suspect
        };
        self.report_attempt(now, id, since, verdict, over_bound);
    }

    /// Returns the change status of the fingerprint of an attempt that is over its bound. An attempt that has already
    /// been found to be a runaway remains one.
    fn change_status(&self, id: AttemptId, cause: Cause, over_bound_for: Micros) -> ChangeStatus {
        let is_own_fault = matches!(cause, Cause::Heavy | Cause::BadPlan);
        match self.attempts.get(id) {
            Some(attempt) if is_own_fault && !self.findings.is_runaway(&attempt.subject()) => {
                let fingerprint = attempt.start().fingerprint;
                self.fingerprint_changes.classify(
                    fingerprint,
                    over_bound_for,
                    self.up_engine_count(),
                )
            }
            _ => ChangeStatus::Isolated,
        }
    }

    fn report_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        since: Micros,
        verdict: Verdict,
        over_bound: OverBound,
    ) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let OverBound {
            cause,
            excess,
            blocked,
        } = over_bound;
        let finding = Finding {
            blocked_count: blocked.len(),
            blocked_names: blocked.iter().take(MAX_BLOCKED_NAMES).cloned().collect(),
            ..attempt.finding(now, since, verdict, cause, excess.evidence)
        };
        let is_new = self.findings.report(finding, &mut self.decisions);
        if is_new && verdict == Verdict::Runaway {
            self.enforce(now, id, cause, &blocked);
        }
    }

    /// Clears the finding on an attempt that is within its bound, and cancels its kill, unless it is a runaway that
    /// remains one.
    pub(super) fn clear_if_revocable(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let subject = attempt.subject();
        let finding = self.findings.get(&subject);
        // A runaway remains one until it ends, even if a lower value is reported, except for deadlocks and lack of
        // memory, which may resolve.
        let is_revocable = finding.is_some_and(|finding| {
            finding.verdict == Verdict::Suspect
                || matches!(finding.cause, Cause::Deadlock | Cause::Memory)
        });
        if is_revocable || finding.is_none() {
            attempt.mark_within_bound();
            attempt.enforcement.cancel_kill();
        }
        if is_revocable {
            self.findings
                .clear(now, &subject, "it is within its bound", &mut self.decisions);
            self.remove_from_hold(now, id);
        }
    }

    /// Reports a client that receives the rows of an attempt slowly.
    pub(super) fn report_slow_reader(&mut self, now: Micros, id: AttemptId, reader: SlowReader) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let SlowReader { since, evidence } = reader;
        let finding = Finding {
            note: "its engine is done with it; the rows wait for its client",
            ..attempt.finding(now, since, Verdict::Notice, Cause::SlowReader, evidence)
        };
        self.findings.report(finding, &mut self.decisions);
    }

    /// Reports one notice for the changed fingerprint of an attempt. Clears the findings on all attempts of that
    /// fingerprint, cancels their kills and releases the hold of the fingerprint.
    fn report_fingerprint_change(&mut self, now: Micros, id: AttemptId, evidence: Evidence) {
        let Some(attempt) = self.attempts.get(id) else {
            return;
        };
        let fingerprint = attempt.start().fingerprint;
        let since = attempt.over_bound_since().unwrap_or(now);
        let cause = Cause::FingerprintChanged;
        let finding = Finding {
            subject: Subject::Fingerprint(fingerprint),
            engine: None,
            note: "all statements of this kind run long since then",
            ..attempt.finding(now, since, Verdict::Notice, cause, evidence)
        };
        self.findings.report(finding, &mut self.decisions);
        for id in self.attempts.ids() {
            let Some(attempt) = self.attempts.get_mut(id) else {
                continue;
            };
            if attempt.start().fingerprint != fingerprint {
                continue;
            }
            attempt.enforcement.cancel_kill();
            let subject = attempt.subject();
            let note = "all of its kind run long";
            self.findings
                .clear(now, &subject, note, &mut self.decisions);
            self.remove_from_hold(now, id);
        }
        self.holds.release(fingerprint);
        self.publish_holds();
    }

    /// Stops counting an attempt as a runaway in the hold of its fingerprint.
    fn remove_from_hold(&mut self, now: Micros, id: AttemptId) {
        let attempt = self.attempts.get_mut(id);
        if let Some(held_as) = attempt.and_then(|attempt| attempt.stop_counting_in_hold()) {
            self.holds.remove_runaway(now, held_as);
        }
    }
}
