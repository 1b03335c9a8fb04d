//! Assessment of statements that this router no longer waits for or never sent: abandoned attempts and statements of
//! other routers. Only their age and the attempts that they block are known.

use hoptiller_policy::{EngineId, Micros};

use crate::attempts::Attempts;
use crate::expectation::Expected;
use crate::interface::{
    AttemptId, Cause, Class, Evidence, Finding, FingerprintId, MAX_BLOCKED_NAMES, Measure, Subject,
    Verdict,
};
use crate::measures::{CONFIRMATION_TIME, MANY_WAITERS, MANY_WAITERS_BOUND_FACTOR, evidence};
use crate::remote_statements::RemoteStatements;
use crate::statistics::Statistics;
use crate::units::RunTime;

/// A statement that blocks attempts.
#[derive(Debug)]
pub(crate) struct Blocker {
    /// The attempt id, for an attempt of this router.
    id: Option<AttemptId>,
    engine: EngineId,
    class: Option<usize>,
    fingerprint: Option<FingerprintId>,
    label: String,
    /// The start time; for an attempt of this router, moved forward by its blocked time.
    started_at: Micros,
    over_bound_since: Option<Micros>,
    /// The expected run time, for an attempt of this router.
    expected: Option<Expected<RunTime>>,
}

impl Blocker {
    /// Finds the attempt of this router with this name, or else the remote statement.
    pub(crate) fn find(
        name: &str,
        attempts: &Attempts,
        remote_statements: &RemoteStatements,
    ) -> Option<Blocker> {
        let Some(attempt) = attempts.get_by_name(name) else {
            return remote_statements.get(name).map(|remote| Blocker {
                id: None,
                engine: remote.engine,
                class: remote.class,
                fingerprint: None,
                label: String::new(),
                started_at: remote.started_at,
                over_bound_since: remote.over_bound_since,
                expected: None,
            });
        };
        let start = attempt.start();
        Some(Blocker {
            id: Some(start.attempt),
            engine: start.engine,
            class: Some(start.class),
            fingerprint: Some(start.fingerprint),
            label: start.label.to_string(),
            started_at: attempt.started_at() + attempt.blocked_time(),
            over_bound_since: attempt.over_bound_since(),
            expected: attempt.expectation().map(|expected| expected.run_time),
        })
    }

    /// Returns the attempt id, for an attempt of this router.
    pub(crate) fn id(&self) -> Option<AttemptId> {
        self.id
    }

    /// Returns evidence that the blocker has run for too long, given the number of attempts that it blocks.
    pub(crate) fn excess(
        &self,
        now: Micros,
        blocked: usize,
        statistics: &Statistics,
        classes: &[Class],
    ) -> Option<Evidence> {
        let mut expected = self.expected_run_time(statistics, classes)?;
        if blocked >= MANY_WAITERS {
            expected = expected.with_bound_factor(MANY_WAITERS_BOUND_FACTOR);
        }
        let run_time = RunTime(now.saturating_sub(self.started_at) as f64);
        (run_time > expected.bound).then(|| evidence(Measure::Run, run_time, expected))
    }

    /// Creates the finding on the blocker, under its name on engines.
    pub(crate) fn finding(
        self,
        now: Micros,
        name: &str,
        evidence: Evidence,
        blocked: &[String],
    ) -> Finding {
        let since = self.over_bound_since.unwrap_or(now);
        let verdict = if now - since >= CONFIRMATION_TIME {
            Verdict::Runaway
        } else {
            Verdict::Suspect
        };
        let subject = Subject::Statement(name.to_owned());
        Finding {
            class: self.class,
            fingerprint: self.fingerprint,
            label: self.label,
            engine: Some(self.engine),
            started: self.started_at,
            since,
            blocked_count: blocked.len(),
            blocked_names: blocked.iter().take(MAX_BLOCKED_NAMES).cloned().collect(),
            note: match self.id {
                Some(_) => "this router waits for it no longer; its engine goes on",
                None => "not a statement of this router's present life",
            },
            ..Finding::new(subject, verdict, Cause::Blocks, now, evidence)
        }
    }

    /// Returns the expected run time: of the attempt itself, or of its class, or of the class with the highest bound.
    fn expected_run_time(
        &self,
        statistics: &Statistics,
        classes: &[Class],
    ) -> Option<Expected<RunTime>> {
        let by_class = |class: usize| statistics.remote_expectation(class, &classes[class]);
        let longest = || {
            (0..classes.len())
                .map(by_class)
                .max_by(|a, b| a.bound.0.total_cmp(&b.bound.0))
        };
        self.expected
            .or_else(|| self.class.map(by_class))
            .or_else(longest)
    }
}
