//! Detection of fingerprints whose statements all run long, as after a release, and adoption of their new figures.

use hoptiller_policy::Micros;

use crate::detector::RunawayDetector;
use crate::fingerprint_change::ChangeStatus;
use crate::interface::{AttemptId, Cause, Evidence, Finding, FingerprintId, Subject, Verdict};
use crate::measures::{LONG_RUN_FACTOR, MIN_ACTIVE_TIME, measurements};

/// Runs beyond its bound after which the new figures of a changed fingerprint are adopted.
const MIN_RUNS_TO_ADOPT: u64 = 8;

impl RunawayDetector {
    /// Counts running attempts that run long towards a change of their fingerprint.
    pub(crate) fn count_long_runs(&mut self, now: Micros, ids: &[AttemptId]) {
        for id in ids {
            let (Some(attempt), Some(e)) = (self.attempts.get(id), self.expectation(*id).copied())
            else {
                continue;
            };
            if !attempt.is_executing() || !e.known || attempt.is_blocked {
                continue;
            }
            let slow = self
                .engine_slowness(now, attempt.start.engine, Some(*id))
                .factor;
            let long = measurements(attempt, &e, now, slow)
                .into_iter()
                .any(|m| m.value > LONG_RUN_FACTOR * m.tolerance * m.expected.usual);
            if long && attempt.active_time(now) >= MIN_ACTIVE_TIME {
                self.fingerprint_changes.record_long_run(
                    now,
                    attempt.start.fingerprint,
                    *id,
                    attempt.started_at,
                    attempt.start.engine,
                );
            }
        }
    }

    /// Reports one notice for a changed fingerprint and clears the findings on its attempts.
    pub(crate) fn report_fingerprint_change(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        id: AttemptId,
        evidence: Evidence,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let since = attempt.over_bound_since.unwrap_or(now);
        let found = Finding {
            subject: Subject::Fingerprint(fingerprint),
            engine: None,
            note: "all statements of this kind run long since then",
            ..attempt.finding(
                now,
                since,
                Verdict::Notice,
                Cause::FingerprintChanged,
                evidence,
            )
        };
        self.findings.report(found, &mut self.decisions);
        let of_fingerprint: Vec<(AttemptId, Subject)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.start.fingerprint == fingerprint)
            .map(|(id, attempt)| (*id, attempt.subject()))
            .collect();
        for (id, subject) in of_fingerprint {
            self.findings.clear(
                now,
                &subject,
                "all of its kind run long",
                &mut self.decisions,
            );
            self.remove_from_hold(now, id);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.end_at = None;
            }
        }
        self.holds.release(fingerprint);
        self.publish_holds();
    }

    /// Adopts the new figures of a changed fingerprint once it has run often enough.
    pub(crate) fn adopt_if_changed(&mut self, now: Micros, fingerprint: FingerprintId, runs: u64) {
        let subject = Subject::Fingerprint(fingerprint);
        let is_reported = self
            .findings
            .get(&subject)
            .is_some_and(|f| f.cause == Cause::FingerprintChanged);
        let engines = self.engines.iter().filter(|e| e.is_up).count();
        let changed = is_reported
            || self.fingerprint_changes.classify(fingerprint, 0, engines) == ChangeStatus::Changed;
        if changed && runs >= MIN_RUNS_TO_ADOPT {
            self.statistics.adopt_beyond_bound(fingerprint);
            self.fingerprint_changes.remove(fingerprint);
            self.invalidate_expectations(fingerprint);
            self.findings.clear(
                now,
                &subject,
                "its new figures are taken as usual",
                &mut self.decisions,
            );
        }
    }

    /// An attempt is no runaway any more: it no longer counts in the hold of its fingerprint.
    pub(crate) fn remove_from_hold(&mut self, now: Micros, id: AttemptId) {
        if let Some(attempt) = self
            .attempts
            .get_mut(&id)
            .filter(|attempt| attempt.counted_in_hold)
        {
            attempt.counted_in_hold = false;
            self.holds.remove_runaway(now, attempt.start.held_as);
        }
    }
}
