//! Judgement of one running attempt: whether it is at fault, for which cause, and how certain that is.
//!
//! In this order: an attempt that is blocked is not at fault, except in a deadlock; one that blocks many others is
//! judged more strictly; reported work is the attempt's own; where only time is known, it is divided by the slowness
//! of the engine; what all attempts of a fingerprint do is a change of the fingerprint.

use hoptiller_policy::Micros;

use crate::attempt::RunningAttempt;
use crate::detector::RunawayDetector;
use crate::fingerprint_change::ChangeStatus;
use crate::interface::{
    AttemptId, Basis, BlockedState, Cause, Evidence, Finding, MAX_BLOCKED_NAMES, Measure, Subject,
    Verdict,
};
use crate::measures::{
    CONFIRMATION_TIME, CROWD_BOUND_FACTOR, Excess, MIN_CROWD, evidence, has_bad_plan,
    largest_excess,
};
use crate::statistics::Expectation;
use crate::wait_graph::WaitGraph;

/// A client that has received rows for this long reads slowly.
const SLOW_READER_AFTER: Micros = 30_000_000;

impl RunawayDetector {
    /// Compares one attempt with what is expected of it.
    pub(crate) fn detect_attempt(&mut self, now: Micros, id: AttemptId, waits: &WaitGraph) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.streaming_since.is_some() {
            return self.detect_slow_reader(now, id);
        }
        if attempt.abandoned_at.is_some() {
            return; // It is judged by the attempts that it blocks.
        }
        if let Some(cycle) = waits.cycle(&attempt.start.name) {
            let others = cycle.iter().skip(1).map(|s| (*s).to_owned()).collect();
            return self.report_deadlock(now, id, others);
        }
        let Some(expectation) = self.expectation(id).copied() else {
            return;
        };
        let blocked = waits.waiter_names(&attempt.start.name);
        let blocks_many = blocked.len() >= MIN_CROWD;
        if let Some(evidence) = self.excessive_memory(now, attempt, &expectation) {
            let excess = Excess {
                evidence,
                certain: false,
            };
            return self.report_over_bound(now, id, Cause::Memory, &excess, Vec::new());
        }
        match self.inexcusable_excess(now, attempt, &expectation, blocks_many) {
            Some(excess) => {
                let cause = match (blocks_many, has_bad_plan(attempt, &expectation)) {
                    (true, _) => Cause::Blocks,
                    (false, true) => Cause::BadPlan,
                    (false, false) => Cause::Heavy,
                };
                self.report_over_bound(now, id, cause, &excess, blocked);
            }
            None => self.report_within_bound(now, id),
        }
    }

    /// The largest excess of an attempt, unless something other than the attempt may be the reason for it.
    fn inexcusable_excess(
        &self,
        now: Micros,
        attempt: &RunningAttempt,
        expectation: &Expectation,
        blocks_many: bool,
    ) -> Option<Excess> {
        let slowness = self
            .engine_slowness(now, attempt.start.engine, Some(attempt.start.attempt))
            .factor;
        let bound_factor = if blocks_many { CROWD_BOUND_FACTOR } else { 1.0 };
        let excess = largest_excess(attempt, expectation, now, slowness, bound_factor)?;
        // An attempt that is blocked is not at fault, whatever it took before.
        if attempt.is_blocked {
            return None;
        }
        if !matches!(excess.evidence.measure, Measure::Run | Measure::RunToCome) {
            return Some(excess);
        }
        if self.may_be_blocked_unseen(now, attempt, excess.evidence.figure) {
            return None;
        }
        // Where engines report on other attempts, one without reports is unreachable rather than heavy: that is for
        // routing to handle.
        let is_silent = attempt.progress_reports == 0
            && self
                .attempts
                .values()
                .any(|other| other.progress_reports > 0);
        (blocks_many || !is_silent).then_some(excess)
    }

    fn report_deadlock(&mut self, now: Micros, id: AttemptId, others: Vec<String>) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let evidence = Evidence {
            measure: Measure::Time,
            figure: attempt.blocked_time as f64,
            usual: 0.0,
            bound: 0.0,
            basis: Basis::Settings,
        };
        let excess = Excess {
            evidence,
            certain: false,
        };
        self.report_over_bound(now, id, Cause::Deadlock, &excess, others);
    }

    /// Reports an attempt that is over its bound, once that is confirmed as a runaway.
    fn report_over_bound(
        &mut self,
        now: Micros,
        id: AttemptId,
        cause: Cause,
        excess: &Excess,
        blocks: Vec<String>,
    ) {
        let engines = self.engines.iter().filter(|e| e.is_up).count();
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let since = *attempt.over_bound_since.get_or_insert(now);
        let (fingerprint, subject) = (attempt.start.fingerprint, attempt.subject());
        let of_fingerprint = Subject::Fingerprint(fingerprint);
        if self
            .findings
            .get(&of_fingerprint)
            .is_some_and(|f| f.cause == Cause::FingerprintChanged)
        {
            return; // One notice covers all of them.
        }
        let cycle = if cause == Cause::Deadlock {
            blocks.clone()
        } else {
            Vec::new()
        };
        let confirmed = excess.certain || now - since >= CONFIRMATION_TIME;
        let own_fault = matches!(cause, Cause::Heavy | Cause::BadPlan);
        let change = match own_fault && !self.findings.is_runaway(&subject) {
            true => self
                .fingerprint_changes
                .classify(fingerprint, now - since, engines),
            false => ChangeStatus::Isolated,
        };
        if confirmed && change == ChangeStatus::Changed {
            return self.report_fingerprint_change(now, fingerprint, id, excess.evidence);
        }
        let verdict = if confirmed && change == ChangeStatus::Isolated {
            Verdict::Runaway
        } else {
            Verdict::Suspect
        };
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let found = Finding {
            blocked: blocks.len(),
            blocks: blocks.into_iter().take(MAX_BLOCKED_NAMES).collect(),
            ..attempt.finding(now, since, verdict, cause, excess.evidence)
        };
        let is_new = self.findings.report(found, &mut self.decisions);
        if is_new && verdict == Verdict::Runaway {
            self.enforce(now, id, cause, &cycle);
        }
    }

    /// Clears what was suspected of an attempt that is within its bound.
    fn report_within_bound(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let subject = &attempt.subject();
        // A runaway stays one until it ends, even if a lower figure is reported, except for deadlocks and lack of
        // memory, which pass.
        let is_revocable = self.findings.get(subject).is_some_and(|f| {
            f.verdict == Verdict::Suspect || matches!(f.cause, Cause::Deadlock | Cause::Memory)
        });
        if is_revocable || self.findings.get(subject).is_none() {
            attempt.over_bound_since = None;
            attempt.end_at = None;
        }
        if is_revocable {
            self.findings
                .clear(now, subject, "it is within its bound", &mut self.decisions);
            self.remove_from_hold(now, id);
        }
    }

    /// Reports a client that receives the rows of an attempt slowly.
    fn detect_slow_reader(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Some(since) = attempt
            .streaming_since
            .filter(|at| now - *at >= SLOW_READER_AFTER)
        else {
            return;
        };
        let evidence = Evidence {
            measure: Measure::Time,
            figure: (now - since) as f64,
            usual: 0.0,
            bound: SLOW_READER_AFTER as f64,
            basis: Basis::Settings,
        };
        let found = Finding {
            note: "its engine is done with it; the rows wait for its client",
            ..attempt.finding(now, since, Verdict::Notice, Cause::SlowReader, evidence)
        };
        self.findings.report(found, &mut self.decisions);
    }

    /// Evidence that an attempt uses far more memory than usual while others at its engine wait for memory.
    fn excessive_memory(
        &self,
        now: Micros,
        attempt: &RunningAttempt,
        expected: &Expectation,
    ) -> Option<Evidence> {
        let (memory, e) = (attempt.progress.memory_mb?, expected.memory?);
        let waits = |other: &&RunningAttempt| {
            other.start.engine == attempt.start.engine
                && other.blocked_state(now) == Some(&BlockedState::Memory)
        };
        let is_excessive = memory > e.bound && attempt.blocked_state(now).is_none();
        (is_excessive && self.attempts.values().filter(waits).count() >= MIN_CROWD)
            .then(|| evidence(Measure::Memory, memory, &e))
    }
}
