//! The state of one attempt that was sent and may still run on its engine.

use hoptiller_policy::Micros;

use crate::enforcement::AttemptEnforcement;
use crate::expectation::Expectation;
use crate::interface::{
    AttemptStart, BlockedState, Cause, Class, Evidence, Finding, FingerprintId, ProgressReport,
    Subject, Verdict,
};
use crate::statistics::Statistics;
use crate::units::{Memory, RunTime, Work};

/// Time for which a report that an attempt is blocked counts.
const BLOCKED_REPORT_TTL: Micros = 3_000_000;
/// Time after which an expectation is looked up again.
const EXPECTATION_TTL: Micros = 4_000_000;

/// An attempt that was sent and may still run on its engine.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    start: AttemptStart,
    started_at: Micros,
    /// The time of the engine's latest report on the attempt.
    reported_at: Micros,
    /// Total time for which the engine reported the attempt as blocked.
    blocked_time: Micros,
    /// The reason why the attempt is blocked, if its latest report says so, and the time of that report.
    blocked: Option<(Micros, BlockedState)>,
    /// The latest value of each reported quantity.
    progress: ProgressReport,
    /// Number of reports with work or a completed fraction.
    progress_reports: u32,
    /// The time at which the client began to receive rows.
    streaming_since: Option<Micros>,
    /// The time at which the router stopped waiting for the attempt.
    abandoned_at: Option<Micros>,
    /// The time since which a measured value has exceeded its bound.
    over_bound_since: Option<Micros>,
    /// Whether the attempt waits for another statement or for memory, as reported or inferred in the last detection
    /// run.
    is_blocked: bool,
    /// Whether the attempt is counted as a runaway in the hold of `start.held_as`.
    is_counted_in_hold: bool,
    /// What is expected of the attempt, and the time at which that was looked up.
    expectation: Option<(Micros, Expectation)>,
    /// The state of its pause and its kill.
    pub(crate) enforcement: AttemptEnforcement,
}

impl RunningAttempt {
    /// Creates an attempt that nothing has been reported on yet.
    pub(crate) fn new(now: Micros, start: AttemptStart) -> RunningAttempt {
        RunningAttempt {
            start,
            started_at: now,
            reported_at: now,
            blocked_time: 0,
            blocked: None,
            progress: ProgressReport::default(),
            progress_reports: 0,
            streaming_since: None,
            abandoned_at: None,
            over_bound_since: None,
            is_blocked: false,
            is_counted_in_hold: false,
            expectation: None,
            enforcement: AttemptEnforcement::default(),
        }
    }

    /// Returns the event that reported the start of the attempt.
    pub(crate) fn start(&self) -> &AttemptStart {
        &self.start
    }

    /// Returns the time at which the attempt was sent.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns the total time for which the engine reported the attempt as blocked.
    pub(crate) fn blocked_time(&self) -> Micros {
        self.blocked_time
    }

    /// Returns the latest value of each reported quantity.
    pub(crate) fn progress(&self) -> &ProgressReport {
        &self.progress
    }

    /// Returns the number of reports with work or a completed fraction.
    pub(crate) fn progress_reports(&self) -> u32 {
        self.progress_reports
    }

    /// Returns the time at which the client began to receive rows.
    pub(crate) fn streaming_since(&self) -> Option<Micros> {
        self.streaming_since
    }

    /// Returns the time at which the router stopped waiting for the attempt.
    pub(crate) fn abandoned_at(&self) -> Option<Micros> {
        self.abandoned_at
    }

    /// Returns the time since which a measured value has exceeded its bound.
    pub(crate) fn over_bound_since(&self) -> Option<Micros> {
        self.over_bound_since
    }

    /// Returns whether the attempt waited for another statement or for memory in the last detection run.
    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Returns whether the engine works on the attempt and the router waits for it.
    pub(crate) fn is_executing(&self) -> bool {
        self.abandoned_at.is_none() && self.streaming_since.is_none()
    }

    /// Returns the run time without the time for which the attempt was blocked.
    pub(crate) fn active_time(&self, now: Micros) -> RunTime {
        let until = self.streaming_since.or(self.abandoned_at).unwrap_or(now);
        RunTime((until - self.started_at).saturating_sub(self.blocked_time) as f64)
    }

    /// Returns the reason why the attempt is blocked, if a recent report says so.
    pub(crate) fn blocked_state(&self, now: Micros) -> Option<&BlockedState> {
        self.blocked
            .as_ref()
            .filter(|(at, _)| now.saturating_sub(*at) <= BLOCKED_REPORT_TTL)
            .map(|(_, state)| state)
    }

    /// Returns the work done so far, if reported.
    pub(crate) fn work(&self) -> Option<Work> {
        self.progress.work.map(|work| Work(work as f64))
    }

    /// Returns the peak memory, if reported.
    pub(crate) fn memory(&self) -> Option<Memory> {
        self.progress.memory_mb.map(Memory)
    }

    /// Records an engine's report. Values that are missing from the report keep their previous value; invalid ones are
    /// ignored.
    pub(crate) fn record_report(&mut self, now: Micros, report: ProgressReport) {
        if report.blocked_state.is_some() {
            self.blocked_time += now.saturating_sub(self.reported_at);
        }
        self.reported_at = now;
        self.progress_reports += u32::from(report.done.is_some() || report.work.is_some());
        self.blocked = report.blocked_state.map(|state| (now, state));
        let old = std::mem::take(&mut self.progress);
        let valid = |value: Option<f64>| value.filter(|f| f.is_finite() && *f >= 0.0);
        self.progress = ProgressReport {
            work: report.work.or(old.work),
            done: valid(report.done).filter(|done| *done <= 1.0).or(old.done),
            rows: report.rows.or(old.rows),
            memory_mb: valid(report.memory_mb).or(old.memory_mb),
            spills: report.spills || old.spills,
            blocked_state: None,
        };
    }

    /// Records the total work in µs, if it was reported at the end.
    pub(crate) fn record_total_work(&mut self, work: Option<Micros>) {
        self.progress.work = work.or(self.progress.work);
    }

    /// Records that the client began to receive rows.
    pub(crate) fn start_streaming(&mut self, now: Micros) {
        self.streaming_since.get_or_insert(now);
    }

    /// Records that the router stopped waiting for the attempt.
    pub(crate) fn abandon(&mut self, now: Micros) {
        self.abandoned_at.get_or_insert(now);
    }

    /// Records whether the attempt is blocked in this detection run.
    pub(crate) fn set_blocked(&mut self, is_blocked: bool) {
        self.is_blocked = is_blocked;
    }

    /// Records that a measured value exceeds its bound. Returns the time since which one has.
    pub(crate) fn mark_over_bound(&mut self, now: Micros) -> Micros {
        *self.over_bound_since.get_or_insert(now)
    }

    /// Records that the attempt is within its bound.
    pub(crate) fn mark_within_bound(&mut self) {
        self.over_bound_since = None;
    }

    /// Records that the attempt is counted as a runaway in the hold of a fingerprint, which may be the one of all
    /// unknown fingerprints. `start.held_as` is set to it.
    pub(crate) fn count_in_hold(&mut self, held_as: FingerprintId) {
        self.is_counted_in_hold = true;
        self.start.held_as = held_as;
    }

    /// Stops counting the attempt as a runaway in a hold. Returns the fingerprint of that hold, if it was counted in
    /// one.
    pub(crate) fn stop_counting_in_hold(&mut self) -> Option<FingerprintId> {
        std::mem::take(&mut self.is_counted_in_hold).then_some(self.start.held_as)
    }

    /// Returns what is expected of the attempt, as last looked up.
    pub(crate) fn expectation(&self) -> Option<&Expectation> {
        self.expectation.as_ref().map(|(_, expected)| expected)
    }

    /// Returns what is expected of the attempt, looked up again if the last result is too old.
    pub(crate) fn refresh_expectation(
        &mut self,
        now: Micros,
        statistics: &Statistics,
        classes: &[Class],
    ) -> Expectation {
        if let Some((at, expected)) = self.expectation
            && now.saturating_sub(at) < EXPECTATION_TTL
        {
            return expected;
        }
        let start = &self.start;
        let class_settings = &classes[start.class];
        let expected = statistics.expectation(
            start.fingerprint,
            start.class,
            class_settings,
            start.announced,
        );
        self.expectation = Some((now, expected));
        expected
    }

    /// Discards the expectation, so that it is looked up again.
    pub(crate) fn invalidate_expectation(&mut self) {
        self.expectation = None;
    }

    /// Returns the subject of findings on the attempt.
    pub(crate) fn subject(&self) -> Subject {
        Subject::Statement(self.start.name.clone())
    }

    /// Creates a finding on the attempt, without blocked statements and without a note.
    pub(crate) fn finding(
        &self,
        now: Micros,
        since: Micros,
        verdict: Verdict,
        cause: Cause,
        evidence: Evidence,
    ) -> Finding {
        Finding {
            class: Some(self.start.class),
            fingerprint: Some(self.start.fingerprint),
            label: self.start.label.to_string(),
            engine: Some(self.start.engine),
            started: self.started_at,
            since,
            ..Finding::new(self.subject(), verdict, cause, now, evidence)
        }
    }
}
