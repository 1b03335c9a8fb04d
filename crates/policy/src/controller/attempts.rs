//! Processing of the outcomes and the progress of attempts.

use super::Controller;
use crate::attempt::InFlightAttempt;
use crate::attempt_progress::{PaceLimits, ProgressDecision};
use crate::capacity::engine_capacity;
use crate::class_statistics::Classes;
use crate::engine::Engines;
use crate::interface::{
    Action, AttemptStatus, EngineId, Idempotency, LoadReport, Micros, Outcome, Progress, RequestId,
};
use crate::load::{observed_load, reflects_load_level, reported_load};
use crate::memory_grant::SpillReport;
use crate::outlier_detection;
use crate::units::{Load, RunTime, Work};

impl Controller {
    pub(super) fn on_outcome(&mut self, outcome: &Outcome, out: &mut Vec<Action>) {
        let engine = self.engines.get_mut(&outcome.engine);
        let attempt =
            engine.and_then(|engine| engine.remove_attempt(outcome.request, outcome.attempt));
        let Some(attempt) = attempt else {
            return;
        };
        self.congestion_window.remove_in_flight(
            attempt.class,
            self.settings.classes[attempt.class].threads(),
        );
        if outcome.status == AttemptStatus::Succeeded {
            self.update_class_statistics(&attempt, outcome);
        }
        let request = self.requests.get_mut(outcome.request);
        let failures = request.map(|request| &mut request.failures);
        outlier_detection::record_outcome(
            &mut self.engines,
            failures,
            outcome,
            &self.settings,
            self.now,
        );
        self.update_load(attempt.class, outcome);
        self.close_attempt(outcome, attempt.sent_at);
        if outcome.status.may_still_run() {
            self.pause_key(outcome.request);
        }
        self.continue_request(outcome, out);
    }

    /// Ends the request after the outcome of an attempt, or queues it again.
    fn continue_request(&mut self, outcome: &Outcome, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(outcome.request) else {
            return;
        };
        if outcome.terminal || request.done {
            if outcome.status == AttemptStatus::Succeeded && !request.done {
                let mean_work = self.statistics[request.class].mean_work();
                let work = outcome.work.map_or(mean_work, |work| Work(work as f64));
                let response_time = self.now - request.first_sent_at;
                self.objective_balance.record_success(
                    &self.settings.classes[request.class],
                    response_time,
                    work,
                );
            }
            self.finish(outcome.request, None, out);
        } else if !request.attempts.is_any_in_flight() && request.queue_entry.is_none() {
            self.enqueue(outcome.request, out);
        }
    }

    /// Updates the statistics of the class and the slowdown of the engine after a success.
    fn update_class_statistics(&mut self, attempt: &InFlightAttempt, outcome: &Outcome) {
        let threads = self.settings.classes[attempt.class].threads();
        let statistics = &mut self.statistics[attempt.class];
        let thread_time = RunTime(outcome.elapsed as f64) * threads;
        // Without reported work, the slowdown is measured against the unloaded run time: the mean run time grows with
        // the load and would hide it.
        let unloaded_run = statistics.unloaded_run_time() * threads;
        let work = outcome
            .work
            .map_or(thread_time, |work| Work(work as f64))
            .max(Work(1.0));
        statistics.record_success(outcome.elapsed, threads, outcome.work);
        self.grant_margins[attempt.class].record_success(attempt.progress.has_spilled());
        if let Some(engine) = self.engines.get_mut(&outcome.engine) {
            engine.limit.record_run(
                thread_time,
                if self.settings.reports_work {
                    work
                } else {
                    unloaded_run
                },
            );
        }
    }

    /// Returns the load of an engine according to its report.
    pub(super) fn reported_load(&self, id: EngineId, report: Option<&LoadReport>) -> Option<Load> {
        let engine = self.engines.get(&id)?;
        let capacity = engine_capacity(&self.settings, engine.entry.kind);
        reported_load(report?, capacity, self.classes().mean_threads_in_flight())
    }

    /// Updates the load of the engine and, if the outcome reflects the load of all engines, the congestion window.
    fn update_load(&mut self, class: usize, outcome: &Outcome) {
        let reported = self.reported_load(outcome.engine, outcome.report.as_ref());
        let (config, statistics) = (&self.settings.classes[class], &self.statistics[class]);
        let Some(load) = observed_load(outcome, reported, config, statistics, &self.settings)
        else {
            return;
        };
        self.record_engine_load(class, outcome.engine, load, reported);
        if reflects_load_level(outcome.status, &self.settings) {
            self.load_level.observe(load);
            let classes = Classes::new(&self.settings.classes, &self.statistics);
            self.congestion_window.update(
                classes,
                class,
                &self.load_level,
                &self.settings,
                self.now,
            );
        }
    }

    /// Records the observed load of an engine and, if the engine reports its queries in flight, the threads of other
    /// gateways. The report still includes the attempt that has just ended.
    fn record_engine_load(
        &mut self,
        class: usize,
        id: EngineId,
        load: Load,
        reported: Option<Load>,
    ) {
        let classes = &self.settings.classes;
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        if let Some(reported) = reported.filter(|_| self.settings.reports_in_flight) {
            let threads = engine_capacity(&self.settings, engine.entry.kind) * reported.0;
            let others = threads - engine.own_threads(classes) - classes[class].threads();
            engine.limit.record_other_threads(others);
        }
        engine.load.record(load, self.now);
    }

    /// Removes an ended attempt from its request and holds, and records where it may have run.
    fn close_attempt(&mut self, outcome: &Outcome, sent_at: Micros) {
        let Some(request) = self.requests.get_mut(outcome.request) else {
            return;
        };
        request.attempts.remove(outcome.attempt);
        self.holds.record_outcome(request.properties);
        if !outcome.status.never_ran() {
            let entry = self
                .engines
                .get(&outcome.engine)
                .map(|engine| &engine.entry);
            request.attempts.record_possible_run(entry, sent_at);
        }
    }

    /// Pauses the ordering key of a request with an attempt that may still be running.
    fn pause_key(&mut self, id: RequestId) {
        let key = self.requests.get(id).and_then(|request| request.key);
        if let Some(key) = key {
            let until = self.now.saturating_add(self.settings.rules.key_pause);
            self.ordering_keys.pause(key, until);
        }
    }

    /// Processes a progress event. It may lead to cancelling the attempt for a retry, once for a spill and once for its
    /// pace, or to abandoning the request.
    pub(super) fn on_progress(
        &mut self,
        id: RequestId,
        number: u32,
        engine: EngineId,
        progress: Progress,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(attempt) = record_progress_event(&mut self.engines, engine, id, number, now)
        else {
            return;
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let class = request.class;
        let limits = &self.settings.limits;
        let is_idempotent = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        let may_cancel = limits.cancel && !attempt.is_cancelled() && !request.done;
        let may_cancel_for_retry =
            may_cancel && is_idempotent && request.attempts.count() < limits.max_attempts;
        let decision = match progress {
            Progress::Spilling(missing_mb) => {
                let report = SpillReport {
                    missing_mb,
                    running_for: now - attempt.sent_at,
                    may_cancel_for_retry,
                };
                let margin = &mut self.grant_margins[class];
                let max_grant_mb = self.settings.max_grant_mb;
                request
                    .memory
                    .record_spill(&report, &mut attempt.progress, margin, max_grant_mb)
            }
            Progress::Completed(completed_share @ 0.0..=1.0) if may_cancel => {
                let pace_limits = PaceLimits {
                    mean_run_time: self.statistics[class].mean_run_time(),
                    time_left: request.valid_until.saturating_sub(now),
                    may_cancel_for_retry,
                    has_cancelled: request.cancelled_for_pace,
                    is_overloaded: self.load_level.is_overloaded(),
                };
                let decision = attempt
                    .progress
                    .check_pace(completed_share, &pace_limits, now);
                request.cancelled_for_pace |= decision == ProgressDecision::CancelAndRetry;
                decision
            }
            Progress::Completed(_) | Progress::Blocked => ProgressDecision::Continue,
        };
        match decision {
            ProgressDecision::Continue => {}
            ProgressDecision::CancelAndRetry => attempt.cancel(out),
            ProgressDecision::Abandon => self.abandon(id, out),
        }
    }
}

/// Records a progress event and returns its attempt, or `None` if the attempt is not in flight.
fn record_progress_event(
    engines: &mut Engines,
    engine: EngineId,
    request: RequestId,
    number: u32,
    now: Micros,
) -> Option<&mut InFlightAttempt> {
    let engine = engines.get_mut(&engine)?;
    let position = engine.position_of(request, number)?;
    engine.health.record_activity(now);
    let attempt = &mut engine.in_flight_mut()[position];
    attempt.progress.record_event(now);
    Some(attempt)
}
