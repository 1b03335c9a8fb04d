//! Events of attempts and engines: arrivals, starts, progress reports, ends, engine updates.
//!
//! An attempt is kept after its router stopped waiting for it while its engine may still run it: such an attempt
//! often blocks others.

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};

use crate::attempt::{RemoteStatement, RunningAttempt};
use crate::detector::{REPORTS_TTL, RunawayDetector};
use crate::engine_speed::Sample;
use crate::interface::{
    AttemptId, AttemptStart, BlockedState, EngineStatus, ExecutionOutcome, FingerprintId, Holder,
    ProgressReport,
};
use crate::measures::{LONG_RUN_FACTOR, SPILL_TOLERANCE};
use crate::statistics::{Expectation, Run};

/// Abandoned attempts that are kept at most.
const MAX_UNCONFIRMED: usize = 1024;
/// Pairs of engine and table group of which the last completion is kept.
const MAX_COMPLETIONS: usize = 8192;
/// Statements of other routers that are tracked at most.
const MAX_REMOTE_STATEMENTS: usize = 256;
/// A run within this part of its bound counts as clean for the hold of its fingerprint.
const CLEAN_RUN_PART: f64 = 0.5;

impl RunawayDetector {
    /// Records that a statement arrived. Returns the fingerprint under which it can be held: its own, or the one
    /// that stands for all unknown fingerprints of its class while those are held together.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    pub fn observe_arrival(
        &mut self,
        now: Micros,
        fingerprint: FingerprintId,
        class: usize,
        label: &Rc<str>,
    ) -> FingerprintId {
        self.statistics
            .record_arrival(fingerprint, class, label, now);
        let together = FingerprintId::unknown(&self.settings.classes[class].name);
        match self.holds.fingerprints.contains_key(&together)
            && !self.statistics.is_known(fingerprint)
        {
            true => together,
            false => fingerprint,
        }
    }

    /// Tracks an attempt that was sent.
    pub fn start_attempt(&mut self, now: Micros, start: AttemptStart) {
        let (name, id) = (start.name.clone(), start.attempt);
        self.attempts.insert(id, RunningAttempt::new(now, start));
        self.attempt_ids.insert(name, id);
    }

    /// Records what an engine reports of an attempt.
    pub fn report_progress(&mut self, now: Micros, id: AttemptId, report: ProgressReport) {
        self.last_report_at = Some(now);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if report.blocked_state.is_some() {
            attempt.blocked_time += now.saturating_sub(attempt.reported_at);
        }
        attempt.reported_at = now;
        attempt.progress_reports += u32::from(report.done.is_some() || report.work.is_some());
        attempt.blocked = report.blocked_state.clone().map(|why| (now, why));
        // A figure that is not reported again keeps its value.
        let old = std::mem::take(&mut attempt.progress);
        let sane = |v: Option<f64>| v.filter(|v| v.is_finite() && *v >= 0.0);
        attempt.progress = ProgressReport {
            work: report.work.or(old.work),
            done: sane(report.done).filter(|d| *d <= 1.0).or(old.done),
            rows: report.rows.or(old.rows),
            memory_mb: sane(report.memory_mb).or(old.memory_mb),
            spills: report.spills || old.spills,
            blocked_state: None,
        };
        let engine = attempt.start.engine;
        if let Some(BlockedState::Behind(Some(holder))) = &report.blocked_state
            && !self.attempt_ids.contains_key(&holder.name)
        {
            self.record_remote_statement(now, engine, holder);
        }
    }

    /// Tracks a statement of another router that blocks an attempt of this one.
    fn record_remote_statement(&mut self, now: Micros, engine: EngineId, holder: &Holder) {
        if self.remote_statements.len() >= MAX_REMOTE_STATEMENTS
            && !self.remote_statements.contains_key(&holder.name)
        {
            return; // Bounded; tracked ones expire soon.
        }
        // Without a reported age, it is as old as the first report of it.
        let since = holder.age.map(|age| now.saturating_sub(age));
        let class = holder.class.filter(|c| *c < self.settings.classes.len());
        let remote = self
            .remote_statements
            .entry(holder.name.clone())
            .or_insert_with(|| RemoteStatement::new(now, engine, class, since.unwrap_or(now)));
        remote.reported_at = now;
        remote.engine = engine;
        remote.started_at = since.map_or(remote.started_at, |since| since.max(remote.started_at));
        remote.class = remote.class.or(class);
    }

    /// Records that the client of an attempt began to receive rows.
    pub fn start_streaming(&mut self, now: Micros, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.streaming_since.get_or_insert(now);
        }
    }

    /// Records that an attempt ended. `work` is its total work in µs, if reported.
    pub fn end_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: ExecutionOutcome,
        work: Option<Micros>,
    ) {
        if outcome == ExecutionOutcome::Abandoned {
            return self.abandon_attempt(now, id);
        }
        let Some(expected) = self.refresh_expectation(now, id) else {
            return;
        };
        let Some(mut attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.remove_name(&attempt.start.name, id);
        self.unconfirmed.retain(|other| *other != id);
        attempt.progress.work = work.or(attempt.progress.work);
        let subject = attempt.subject();
        let was_runaway = self.findings.is_runaway(&subject);
        if attempt.counted_in_hold {
            self.holds.remove_runaway(now, attempt.start.held_as);
        }
        if outcome == ExecutionOutcome::Succeeded {
            self.learn_from_success(now, &attempt, &expected, was_runaway);
        }
        let note = match outcome {
            ExecutionOutcome::Succeeded => "it has ended, with its result",
            ExecutionOutcome::NeverRan => "it never ran",
            _ => "it has ended, without a result",
        };
        self.findings
            .clear(now, &subject, note, &mut self.decisions);
    }

    /// Updates statistics with an attempt that succeeded.
    fn learn_from_success(
        &mut self,
        now: Micros,
        attempt: &RunningAttempt,
        expected: &Expectation,
        was_runaway: bool,
    ) {
        let (id, s) = (attempt.start.attempt, &attempt.start);
        let active = attempt.active_time(now).max(1.0);
        let slowness = self.engine_slowness(now, s.engine, Some(id)).factor;
        let known_by_work = attempt.progress.work.is_some();
        let (figure, expected_figure) = match attempt.progress.work {
            Some(work) => (work as f64, &expected.work),
            None => (active / slowness, &expected.run),
        };
        let spills = if attempt.progress.spills {
            SPILL_TOLERANCE
        } else {
            1.0
        };
        let is_beyond_bound = was_runaway || figure > expected_figure.bound * spills;
        let run = Run {
            ran: active / slowness,
            work: attempt.progress.work.map(|w| w as f64),
            rows: attempt.progress.rows.map(|r| r as f64),
            memory: attempt.progress.memory_mb,
        };
        if expected.known && !is_beyond_bound && !(attempt.is_blocked && attempt.blocked_time == 0)
        {
            let sample = Sample {
                fingerprint: s.fingerprint,
                times: active / expected.run.usual.max(1.0),
            };
            self.engine_speeds.record_completion(now, s.engine, sample);
        }
        self.holds.record_run(
            now,
            s.held_as,
            figure <= expected_figure.bound * CLEAN_RUN_PART,
        );
        if is_beyond_bound {
            let runs = self.statistics.record_beyond_bound(s.fingerprint, &run);
            self.fingerprint_changes.record_long_run(
                now,
                s.fingerprint,
                id,
                attempt.started_at,
                s.engine,
            );
            self.adopt_if_changed(now, s.fingerprint, runs);
            return;
        }
        let is_usual = figure < expected_figure.usual * LONG_RUN_FACTOR;
        let is_usual_by_time = known_by_work && active < expected.run.usual;
        self.learn_run_within_bound(now, attempt, &run, is_usual, is_usual_by_time);
    }

    /// Updates statistics with a run within its bound.
    fn learn_run_within_bound(
        &mut self,
        now: Micros,
        attempt: &RunningAttempt,
        run: &Run,
        is_usual: bool,
        is_usual_by_time: bool,
    ) {
        let s = &attempt.start;
        if is_usual || is_usual_by_time {
            self.fingerprint_changes
                .record_usual_run(s.fingerprint, s.attempt, attempt.started_at);
        }
        if let (Some(group), true) = (s.group, is_usual) {
            self.record_completion(now, (s.engine, group), attempt.started_at);
        }
        if !self.fingerprint_changes.contains(s.fingerprint) {
            self.statistics.discard_beyond_bound(s.fingerprint);
        }
        self.statistics
            .learn(s.fingerprint, s.class, s.announced, run);
    }

    /// Records that an attempt on a table group ran as usual at an engine.
    fn record_completion(&mut self, now: Micros, at: (EngineId, u64), started: Micros) {
        let last = self.last_completions.entry(at).or_default();
        *last = (*last).max(started);
        if self.last_completions.len() > MAX_COMPLETIONS {
            self.last_completions
                .retain(|_, started| now.saturating_sub(*started) < REPORTS_TTL);
        }
        if self.last_completions.len() > MAX_COMPLETIONS {
            self.last_completions.clear();
        }
    }

    /// The router stopped waiting; the engine may still run the attempt.
    fn abandon_attempt(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.abandoned_at.get_or_insert(now);
        let holds = self.settings.classes[attempt.start.class].holds_tables;
        if !holds && attempt.over_bound_since.is_none() {
            // It holds no tables and was within its bound: it needs no further observation.
            return self.remove_attempt(now, id, "its router has stopped waiting");
        }
        self.unconfirmed.push_back(id);
        if self.unconfirmed.len() > MAX_UNCONFIRMED
            && let Some(oldest) = self.unconfirmed.front().copied()
        {
            self.remove_attempt(now, oldest, "it went on at its engine, and is forgotten");
        }
    }

    /// Stops tracking an attempt of which nothing more can be learned.
    pub(crate) fn remove_attempt(&mut self, now: Micros, id: AttemptId, note: &'static str) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.unconfirmed.retain(|other| *other != id);
        self.remove_name(&attempt.start.name, id);
        if attempt.counted_in_hold {
            self.holds.remove_runaway(now, attempt.start.held_as);
        }
        let subject = attempt.subject();
        self.findings
            .clear(now, &subject, note, &mut self.decisions);
    }

    fn remove_name(&mut self, name: &str, id: AttemptId) {
        if self.attempt_ids.get(name) == Some(&id) {
            self.attempt_ids.remove(name);
        }
    }

    /// Replaces the engine list.
    pub fn update_engines(&mut self, engines: Vec<EngineStatus>) {
        self.holds.update_engines(&engines);
        self.engine_speeds
            .retain(|id| engines.iter().any(|e| e.engine == id));
        self.engines = engines;
        self.publish_holds();
    }

    /// An engine restarted: abandoned attempts that it ran are gone.
    pub fn reset_engine(&mut self, now: Micros, engine: EngineId) {
        let gone: Vec<AttemptId> = self
            .unconfirmed
            .iter()
            .filter(|id| {
                self.attempts
                    .get(id)
                    .is_some_and(|attempt| attempt.start.engine == engine)
            })
            .copied()
            .collect();
        for id in gone {
            self.remove_attempt(now, id, "its engine was started anew");
        }
    }

    /// Lifts the hold of a fingerprint on behalf of an operator. False if it is not held.
    pub fn release_hold(&mut self, fingerprint: FingerprintId) -> bool {
        let held = self.holds.release(fingerprint);
        self.publish_holds();
        held
    }
}
