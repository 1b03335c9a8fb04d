//! Handlers for the events of attempts: start, progress reports and end.

use hoptiller_policy::Micros;

use super::RunawayDetector;
use crate::attempt::RunningAttempt;
use crate::completion::Completion;
use crate::engine_slowness::Sample;
use crate::expectation::Expectation;
use crate::fingerprint_change::{ChangeStatus, MIN_RUNS_TO_ADOPT};
use crate::interface::{
    AttemptId, AttemptStart, BlockedState, ExecutionOutcome, FingerprintId, ProgressReport, Subject,
};

impl RunawayDetector {
    /// Tracks an attempt that was sent.
    pub fn start_attempt(&mut self, now: Micros, start: AttemptStart) {
        self.attempts.insert(now, start);
    }

    /// Records an engine's report on an attempt.
    pub fn report_progress(&mut self, now: Micros, id: AttemptId, report: ProgressReport) {
        self.wait_inference.record_report(now);
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        let engine = attempt.start().engine;
        let blocked_state = report.blocked_state.clone();
        attempt.record_report(now, report);
        if let Some(BlockedState::Statement(Some(blocker))) = blocked_state
            && self.attempts.id_by_name(&blocker.name).is_none()
        {
            let classes = &self.settings.classes;
            self.remote_statements
                .record(now, engine, &blocker, classes);
        }
    }

    /// Records that the client of an attempt began to receive rows.
    pub fn start_streaming(&mut self, now: Micros, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.start_streaming(now);
        }
    }

    /// Records the end of an attempt. `work` is its total work in µs, if reported.
    pub fn end_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: ExecutionOutcome,
        work: Option<Micros>,
    ) {
        let note = match outcome {
            ExecutionOutcome::Abandoned => return self.abandon_attempt(now, id),
            ExecutionOutcome::Succeeded => "it has ended, with its result",
            ExecutionOutcome::NeverRan => "it never ran",
            ExecutionOutcome::Failed => "it has ended, without a result",
        };
        let Some(mut attempt) = self.attempts.remove(id) else {
            return;
        };
        let classes = &self.settings.classes;
        let expectation = attempt.refresh_expectation(now, &self.statistics, classes);
        attempt.record_total_work(work);
        if let Some(held_as) = attempt.stop_counting_in_hold() {
            self.holds.remove_runaway(now, held_as);
        }
        if outcome == ExecutionOutcome::Succeeded {
            self.learn_from_success(now, &attempt, &expectation);
        }
        self.findings
            .clear(now, &attempt.subject(), note, &mut self.decisions);
    }

    /// Stops tracking an attempt that no further reports are expected for.
    pub(super) fn remove_attempt(&mut self, now: Micros, id: AttemptId, note: &'static str) {
        let Some(mut attempt) = self.attempts.remove(id) else {
            return;
        };
        if let Some(held_as) = attempt.stop_counting_in_hold() {
            self.holds.remove_runaway(now, held_as);
        }
        self.findings
            .clear(now, &attempt.subject(), note, &mut self.decisions);
    }

    /// Records that the router stopped waiting for an attempt that its engine may still run.
    fn abandon_attempt(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        attempt.abandon(now);
        let locks_group = self.settings.classes[attempt.start().class].locks_group;
        if !locks_group && attempt.over_bound_since().is_none() {
            // The attempt locks no tables and is within its bound, so it is not observed further.
            self.remove_attempt(now, id, "its router has stopped waiting");
        } else if let Some(oldest) = self.attempts.mark_unconfirmed(id) {
            self.remove_attempt(now, oldest, "it went on at its engine, and is forgotten");
        }
    }

    /// Updates the slowness of engines, holds and statistics with an attempt that succeeded.
    fn learn_from_success(
        &mut self,
        now: Micros,
        attempt: &RunningAttempt,
        expectation: &Expectation,
    ) {
        let start = attempt.start();
        let slowness = self.engine_slowness.slowness_for(now, attempt).factor;
        let was_runaway = self.findings.is_runaway(&attempt.subject());
        let completion = Completion::new(now, attempt, expectation, slowness, was_runaway);
        if let Some(slowdown) = completion.engine_slowdown {
            let sample = Sample {
                fingerprint: start.fingerprint,
                slowdown,
            };
            self.engine_slowness
                .record_completion(now, start.engine, sample);
        }
        self.holds
            .record_run(now, start.held_as, completion.is_clean);
        if completion.is_over_bound {
            self.record_run_over_bound(now, attempt, &completion);
        } else {
            self.record_run_within_bound(now, attempt, &completion);
        }
    }

    fn record_run_over_bound(
        &mut self,
        now: Micros,
        attempt: &RunningAttempt,
        completion: &Completion,
    ) {
        let start = attempt.start();
        let runs = self
            .statistics
            .record_over_bound(start.fingerprint, &completion.run);
        self.fingerprint_changes.record_long_run(
            now,
            start.fingerprint,
            start.attempt,
            attempt.started_at(),
            start.engine,
        );
        if runs >= MIN_RUNS_TO_ADOPT && self.is_fingerprint_changed(start.fingerprint) {
            self.adopt_changed_fingerprint(now, start.fingerprint);
        }
    }

    fn record_run_within_bound(
        &mut self,
        now: Micros,
        attempt: &RunningAttempt,
        completion: &Completion,
    ) {
        let (start, started_at) = (attempt.start(), attempt.started_at());
        if completion.is_usual || completion.finished_in_usual_time {
            self.fingerprint_changes
                .record_usual_run(start.fingerprint, start.attempt, started_at);
        }
        if let (Some(group), true) = (start.group, completion.is_usual) {
            self.wait_inference
                .record_completion(now, start.engine, group, started_at);
        }
        if !self.fingerprint_changes.contains(start.fingerprint) {
            self.statistics.discard_over_bound(start.fingerprint);
        }
        self.statistics.record_run(
            start.fingerprint,
            start.class,
            start.announced,
            &completion.run,
        );
    }

    fn is_fingerprint_changed(&self, fingerprint: FingerprintId) -> bool {
        let status = self
            .fingerprint_changes
            .classify(fingerprint, 0, self.up_engine_count());
        self.findings.is_changed(fingerprint) || status == ChangeStatus::Changed
    }

    /// Adopts the new values of a changed fingerprint as the usual ones.
    fn adopt_changed_fingerprint(&mut self, now: Micros, fingerprint: FingerprintId) {
        self.statistics.adopt_over_bound(fingerprint);
        self.fingerprint_changes.remove(fingerprint);
        self.attempts
            .values_mut()
            .filter(|attempt| attempt.start().fingerprint == fingerprint)
            .for_each(RunningAttempt::invalidate_expectation);
        self.findings.clear(
            now,
            &Subject::Fingerprint(fingerprint),
            "its new figures are taken as usual",
            &mut self.decisions,
        );
    }
}
