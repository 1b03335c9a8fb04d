//! State kept for one running attempt, and for a statement of another router.

use std::collections::BTreeSet;

use hoptiller_policy::{EngineId, Micros};

use crate::interface::{
    AttemptStart, BlockedState, Cause, Evidence, Finding, ProgressReport, Subject, Verdict,
};
use crate::statistics::Expectation;

/// A report that an attempt is blocked counts for this long.
const BLOCKED_REPORT_TTL: Micros = 3_000_000;
/// How long the tables that a runaway of another router blocks are excluded from its engine at first.
const MIN_EXCLUSION: Micros = 20_000_000;

/// An attempt that was sent and may still run at its engine.
#[derive(Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) start: AttemptStart,
    pub(crate) started_at: Micros,
    /// When its engine last reported on it.
    pub(crate) reported_at: Micros,
    /// Total time for which its engine reported it as blocked.
    pub(crate) blocked_time: Micros,
    /// The last report that it is blocked, and when that was received.
    pub(crate) blocked: Option<(Micros, BlockedState)>,
    /// The latest value of each reported figure.
    pub(crate) progress: ProgressReport,
    /// Reports with work or a completed share.
    pub(crate) progress_reports: u32,
    /// When its client began to receive rows.
    pub(crate) streaming_since: Option<Micros>,
    /// When its router stopped waiting for it.
    pub(crate) abandoned_at: Option<Micros>,
    /// Since when a figure has been over its bound.
    pub(crate) over_bound_since: Option<Micros>,
    /// When it is due to be ended.
    pub(crate) end_at: Option<Micros>,
    /// When it is due to be resumed.
    pub(crate) resume_at: Option<Micros>,
    /// It was paused once; it is not paused again.
    pub(crate) is_paused: bool,
    /// Its end was decided; it is not decided again.
    pub(crate) end_requested: bool,
    /// It is counted as a runaway in the hold of its fingerprint.
    pub(crate) counted_in_hold: bool,
    /// It waits for another statement or for memory, as reported or inferred in the last detection run.
    pub(crate) is_blocked: bool,
    /// What is expected of it, and when that was looked up.
    pub(crate) expectation: Option<(Micros, Expectation)>,
}

impl RunningAttempt {
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
            end_at: None,
            resume_at: None,
            is_paused: false,
            end_requested: false,
            counted_in_hold: false,
            is_blocked: false,
            expectation: None,
        }
    }

    /// Run time in µs, without the time for which it was blocked.
    pub(crate) fn active_time(&self, now: Micros) -> f64 {
        let until = self.streaming_since.or(self.abandoned_at).unwrap_or(now);
        (until - self.started_at).saturating_sub(self.blocked_time) as f64
    }

    /// Why it is blocked, if a recent report says so.
    pub(crate) fn blocked_state(&self, now: Micros) -> Option<&BlockedState> {
        self.blocked
            .as_ref()
            .filter(|(at, _)| now.saturating_sub(*at) <= BLOCKED_REPORT_TTL)
            .map(|(_, state)| state)
    }

    /// Its engine works on it and its router waits for it.
    pub(crate) fn is_executing(&self) -> bool {
        self.abandoned_at.is_none() && self.streaming_since.is_none()
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
            id: 0,
            subject: self.subject(),
            verdict,
            cause,
            class: Some(self.start.class),
            fingerprint: Some(self.start.fingerprint),
            label: self.start.label.to_string(),
            engine: Some(self.start.engine),
            started: self.started_at,
            since,
            at: now,
            evidence,
            blocks: Vec::new(),
            blocked: 0,
            note: "",
        }
    }
}

/// A statement of another router, or of an earlier incarnation of this one, that blocks attempts of this router.
#[derive(Debug)]
pub(crate) struct RemoteStatement {
    pub(crate) engine: EngineId,
    pub(crate) class: Option<usize>,
    pub(crate) started_at: Micros,
    pub(crate) reported_at: Micros,
    pub(crate) over_bound_since: Option<Micros>,
    /// Table groups of the attempts that it blocked.
    pub(crate) groups: BTreeSet<u64>,
    /// Until when those groups are excluded from its engine; 0 if it was never found to be a runaway.
    pub(crate) excluded_until: Micros,
    /// Length of the exclusion; it doubles each time that the statement outlasts it.
    pub(crate) exclusion: Micros,
}

impl RemoteStatement {
    pub(crate) fn new(
        now: Micros,
        engine: EngineId,
        class: Option<usize>,
        started_at: Micros,
    ) -> RemoteStatement {
        RemoteStatement {
            engine,
            class,
            started_at,
            reported_at: now,
            over_bound_since: None,
            groups: BTreeSet::new(),
            excluded_until: 0,
            exclusion: MIN_EXCLUSION,
        }
    }
}
