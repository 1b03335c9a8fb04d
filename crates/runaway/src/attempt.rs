//! State kept for one attempt that was sent and may still run at its engine.

use hoptiller_policy::Micros;

use crate::enforcement::AttemptEnforcement;
use crate::expectation::Expectation;
use crate::interface::{
    AttemptStart, BlockedState, Cause, Class, Evidence, Finding, FingerprintId, ProgressReport,
    Subject, Verdict,
};
use crate::statistics::Statistics;
use crate::units::{Memory, RunTime, Work};

/// A report that an attempt is blocked counts for this long.
const BLOCKED_REPORT_TTL: Micros = 3_000_000;
/// An expectation is looked up again after this time.
const EXPECTATION_TTL: Micros = 4_000_000;

/// An attempt that was sent and may still run at its engine.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    start: AttemptStart,
    started_at: Micros,
    /// When its engine last reported on it.
    reported_at: Micros,
    /// Total time for which its engine reported it as blocked.
    blocked_time: Micros,
    /// The last report that it is blocked, and when that was received.
    blocked: Option<(Micros, BlockedState)>,
    /// The latest value of each reported figure.
    progress: ProgressReport,
    /// Reports with work or a completed share.
    progress_reports: u32,
    /// When its client began to receive rows.
    streaming_since: Option<Micros>,
    /// When its router stopped waiting for it.
    abandoned_at: Option<Micros>,
    /// Since when a figure has been over its bound.
    over_bound_since: Option<Micros>,
    /// It waits for another statement or for memory, as reported or inferred in the last detection run.
    is_blocked: bool,
    /// It is counted as a runaway in the hold of `start.held_as`.
    is_counted_in_hold: bool,
    /// What is expected of it, and when that was looked up.
    expectation: Option<(Micros, Expectation)>,
    /// Its pause and its end.
    pub(crate) enforcement: AttemptEnforcement,
}

impl RunningAttempt {
    /// An attempt of which nothing has been reported yet.
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

    /// What its router reported when it was sent.
    pub(crate) fn start(&self) -> &AttemptStart {
        &self.start
    }

    /// When it was sent.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Total time for which its engine reported it as blocked.
    pub(crate) fn blocked_time(&self) -> Micros {
        self.blocked_time
    }

    /// The latest value of each reported figure.
    pub(crate) fn progress(&self) -> &ProgressReport {
        &self.progress
    }

    /// Reports with work or a completed share.
    pub(crate) fn progress_reports(&self) -> u32 {
        self.progress_reports
    }

    /// When its client began to receive rows.
    pub(crate) fn streaming_since(&self) -> Option<Micros> {
        self.streaming_since
    }

    /// When its router stopped waiting for it.
    pub(crate) fn abandoned_at(&self) -> Option<Micros> {
        self.abandoned_at
    }

    /// Since when a figure has been over its bound.
    pub(crate) fn over_bound_since(&self) -> Option<Micros> {
        self.over_bound_since
    }

    /// Whether it waited for another statement or for memory in the last detection run.
    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Its engine works on it and its router waits for it.
    pub(crate) fn is_executing(&self) -> bool {
        self.abandoned_at.is_none() && self.streaming_since.is_none()
    }

    /// Run time without the time for which it was blocked.
    pub(crate) fn active_time(&self, now: Micros) -> RunTime {
        let until = self.streaming_since.or(self.abandoned_at).unwrap_or(now);
        RunTime((until - self.started_at).saturating_sub(self.blocked_time) as f64)
    }

    /// Why it is blocked, if a recent report says so.
    pub(crate) fn blocked_state(&self, now: Micros) -> Option<&BlockedState> {
        self.blocked
            .as_ref()
            .filter(|(at, _)| now.saturating_sub(*at) <= BLOCKED_REPORT_TTL)
            .map(|(_, state)| state)
    }

    /// Work done so far, if reported.
    pub(crate) fn work(&self) -> Option<Work> {
        self.progress.work.map(|work| Work(work as f64))
    }

    /// Peak memory, if reported.
    pub(crate) fn memory(&self) -> Option<Memory> {
        self.progress.memory_mb.map(Memory)
    }

    /// Records what its engine reports. A figure that is not reported again keeps its value; one that can't be is
    /// ignored.
    pub(crate) fn record_report(&mut self, now: Micros, report: ProgressReport) {
        if report.blocked_state.is_some() {
            self.blocked_time += now.saturating_sub(self.reported_at);
        }
        self.reported_at = now;
        self.progress_reports += u32::from(report.done.is_some() || report.work.is_some());
        self.blocked = report.blocked_state.map(|state| (now, state));
        let old = std::mem::take(&mut self.progress);
        let valid = |figure: Option<f64>| figure.filter(|f| f.is_finite() && *f >= 0.0);
        self.progress = ProgressReport {
            work: report.work.or(old.work),
            done: valid(report.done).filter(|done| *done <= 1.0).or(old.done),
            rows: report.rows.or(old.rows),
            memory_mb: valid(report.memory_mb).or(old.memory_mb),
            spills: report.spills || old.spills,
            blocked_state: None,
        };
    }

    /// Records its total work in µs, if that is reported at its end.
    pub(crate) fn record_total_work(&mut self, work: Option<Micros>) {
        self.progress.work = work.or(self.progress.work);
    }

    /// Records that its client began to receive rows.
    pub(crate) fn start_streaming(&mut self, now: Micros) {
        self.streaming_since.get_or_insert(now);
    }

    /// Records that its router stopped waiting for it.
    pub(crate) fn abandon(&mut self, now: Micros) {
        self.abandoned_at.get_or_insert(now);
    }

    /// Records whether it is blocked in this detection run.
    pub(crate) fn set_blocked(&mut self, is_blocked: bool) {
        self.is_blocked = is_blocked;
    }

    /// Records that a figure is over its bound. Returns since when.
    pub(crate) fn mark_over_bound(&mut self, now: Micros) -> Micros {
        *self.over_bound_since.get_or_insert(now)
    }

    /// Records that it is within its bound.
    pub(crate) fn mark_within_bound(&mut self) {
        self.over_bound_since = None;
    }

    /// Records that it is counted as a runaway in the hold of a fingerprint.
    pub(crate) fn count_in_hold(&mut self, held_as: FingerprintId) {
        self.is_counted_in_hold = true;
        self.start.held_as = held_as;
    }

    /// The fingerprint in whose hold it is counted as a runaway; it is to be counted there no longer.
    pub(crate) fn take_hold_count(&mut self) -> Option<FingerprintId> {
        std::mem::take(&mut self.is_counted_in_hold).then_some(self.start.held_as)
    }

    /// What is expected of it, as last looked up.
    pub(crate) fn expectation(&self) -> Option<&Expectation> {
        self.expectation.as_ref().map(|(_, expected)| expected)
    }

    /// What is expected of it, looked up again if the last look-up is too old.
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

    /// Has its expectation looked up again.
    pub(crate) fn invalidate_expectation(&mut self) {
        self.expectation = None;
    }

    /// What findings call it.
    pub(crate) fn subject(&self) -> Subject {
        Subject::Statement(self.start.name.clone())
    }

    /// A finding on this attempt that blocks nobody and has no note.
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
