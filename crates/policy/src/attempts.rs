//! Attempts: their outcomes, their progress, and whether a request may be tried again.

use crate::concurrency::MAX_REPORTED;
use crate::deadlines::HOUSEKEEPING_INTERVAL;
use crate::interface::{
    Action, AttemptStatus, Class, EngineId, Idempotency, Micros, Outcome, Progress, RequestId,
};
use crate::state::{ClassState, Controller, InFlightAttempt, Request};

const MIN_ON_TIME: f64 = 0.8; // Part of answers within the objective above which limits may grow.
const PRIOR_RUN: f64 = 0.1; // Run time as part of the deadline until answers come.
const MEAN_WEIGHT: f64 = 0.03; // Weight of a new sample in a class's means, once there are enough.
const BASE_WEIGHT: f64 = 0.125; // The undisturbed run is held once a sample weighs no more.
const LOST_INTERVALS: f64 = 1.6; // Without a progress event for so many intervals an attempt is lost.
const SLOW_RUNS: f64 = 3.0; // An attempt is slow whose pace leaves it so many mean runs to go.
const MIN_COMPLETED: f64 = 0.002; // The least share done that is believed.
const MARGIN_INCREASE: f64 = 0.2; // A spill adds so much of the estimate to later grants of the class,
const MARGIN_DECREASE: f64 = 0.02; // and an answer without one takes this off.
const EARLY: Micros = 5 * HOUSEKEEPING_INTERVAL; // A query that spills so soon after its start did little.

/// Statistics of a class without answers.
pub(crate) fn initial_class_state(class: &Class) -> ClassState {
    let run = (class.deadline as f64 * PRIOR_RUN).max(1.0);
    ClassState {
        mean_work: run * class.threads,
        mean_run: run,
        base_run: run,
        grant_margin: MARGIN_INCREASE,
        ..ClassState::default()
    }
}

impl Controller {
    pub(crate) fn on_outcome(&mut self, outcome: &Outcome, out: &mut Vec<Action>) {
        let engine = self.engines.get_mut(&outcome.engine);
        let attempt = engine.and_then(|e| e.remove_attempt(outcome.request, outcome.attempt));
        let Some(attempt) = attempt else { return };
        self.classes[attempt.class].threads_in_flight -= self.settings.classes[attempt.class].threads;
        if outcome.status == AttemptStatus::Succeeded {
            self.update_class_statistics(&attempt, outcome);
        }
        self.update_outlier_state(outcome);
        self.update_load(attempt.class, outcome);
        self.close_attempt(outcome, attempt.sent_at);
        if outcome.status.may_still_run() {
            self.pause_key(outcome.request);
        }
        let Some(request) = self.requests.get(&outcome.request) else { return };
        if outcome.terminal || request.done {
            if outcome.status == AttemptStatus::Succeeded && !request.done {
                self.objective_balance += self.objective_credit(request, outcome);
            }
            self.finish(outcome.request, None, out);
        } else if request.in_flight.is_empty() && request.queued.is_none() {
            self.enqueue(outcome.request, out);
        }
    }

    /// Pauses the ordering key of an attempt that may still run: the key's next request must not overtake it.
    fn pause_key(&mut self, id: RequestId) {
        let key = self.requests.get(&id).and_then(|request| request.key);
        if let Some(queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            let pause_end = self.now.saturating_add(self.settings.rules.key_pause);
            queue.paused_until = queue.paused_until.max(pause_end);
        }
    }

    /// Contribution of a served request to the objective balance.
    fn objective_credit(&self, request: &Request, outcome: &Outcome) -> f64 {
        let (class, took) = (&self.settings.classes[request.class], (self.now - request.started_at) as f64);
        let work = outcome.work.map_or(self.classes[request.class].mean_work, |work| work as f64);
        let objective = class.latency_objective as f64 + class.objective_stretch * work / class.threads;
        f64::from(took <= objective) - MIN_ON_TIME
    }

    /// Updates the means of a class and the slowdown of an engine from a served query.
    fn update_class_statistics(&mut self, attempt: &InFlightAttempt, outcome: &Outcome) {
        let threads = self.settings.classes[attempt.class].threads;
        let class = &mut self.classes[attempt.class];
        let run_time = outcome.elapsed as f64 * threads;
        // Without reported work the mean run rises with the load; measured against it, nothing looks slow.
        let undisturbed = class.base_run * threads;
        // The run time stands in for the work there: too high rather than too low.
        let work = outcome.work.map_or(run_time, |work| work as f64).max(1.0);
        class.samples += 1.0;
        let decrease = if attempt.spilled { 0.0 } else { MARGIN_DECREASE };
        class.grant_margin = (class.grant_margin - decrease).max(0.0);
        let weight = (1.0 / class.samples).max(MEAN_WEIGHT);
        class.mean_work += (work - class.mean_work) * weight;
        class.mean_run += (outcome.elapsed as f64 - class.mean_run) * weight;
        class.base_run =
            if weight > BASE_WEIGHT { class.mean_run } else { class.base_run.min(class.mean_run) };
        if let Some(engine) = self.engines.get_mut(&outcome.engine) {
            engine.run_time += run_time;
            engine.work += if self.settings.reports_work { work } else { undisturbed };
        }
    }

    /// Until when sending a request again can do nothing twice.
    pub(crate) fn safe_until(&self, request: &Request) -> Micros {
        match (self.settings.classes[request.class].idempotency, request.possible_run) {
            (Idempotency::Idempotent, _) | (_, None) => Micros::MAX,
            (Idempotency::WithKey { window, .. }, Some(run)) => run.sent_at.saturating_add(window),
            (Idempotency::NotIdempotent, Some(_)) => 0,
        }
    }

    /// Whether a request that was sent before may be sent again: idempotency, attempts, retry budget.
    pub(crate) fn may_retry(&self, request: &Request) -> bool {
        let limits = &self.settings.limits;
        self.now < self.safe_until(request)
            && self.retry_budget_left()
            && (request.in_flight.is_empty() || limits.hedged_requests)
            && request.attempts < limits.max_attempts
    }

    /// Both counts span the same window; admissions only strictly inside it, or a tick could break the rule.
    fn retry_budget_left(&self) -> bool {
        let Some(budget) = self.settings.rules.retry_budget else { return true };
        let since = self.now.saturating_sub(budget.window);
        let admissions = self.admissions.iter().rev().take_while(|at| **at > since).count() as f64;
        let retries = self.retries.iter().rev().take_while(|at| **at >= since).count() as f64;
        retries + 1.0 <= budget.min_retries + budget.ratio * admissions
    }

    /// Cancels an attempt that spills at its start or has a slow pace, once each, for its request to be tried
    /// again: each attempt draws its plan anew, and a bad one holds threads and memory for many runs. A
    /// request that is slow again is slow by itself: it is abandoned when it can't end within the client's
    /// deadline, or under overload, where its slot serves several others.
    pub(crate) fn on_progress(
        &mut self,
        id: RequestId,
        number: u32,
        engine: EngineId,
        progress: Progress,
        out: &mut Vec<Action>,
    ) {
        let (now, limits, max_grant) = (self.now, &self.settings.limits, self.settings.max_grant_mb);
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        let mut attempts = engine.in_flight.iter_mut();
        let Some(attempt) = attempts.find(|a| a.request == id && a.attempt == number) else { return };
        (attempt.last_progress_at, engine.last_response_at) = (now, now);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = &mut self.classes[request.class];
        let idempotent = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        let settled = !limits.cancel || attempt.cancelled || request.done;
        let may_retry = idempotent && !settled && request.attempts < limits.max_attempts;
        match progress {
            Progress::Spilling(missing_mb) => {
                // Estimates are off, and a query short of memory does its work several times over.
                class.grant_margin +=
                    if attempt.spilled || request.cancelled_for_memory { 0.0 } else { MARGIN_INCREASE };
                attempt.spilled = true;
                let can_grow = request.grant_mb > 0.0 && request.grant_mb < max_grant;
                let usable = (0.0..MAX_REPORTED).contains(&missing_mb);
                let early = now - attempt.sent_at < EARLY;
                if may_retry && can_grow && usable && !request.cancelled_for_memory && early {
                    request.cancelled_for_memory = true;
                    request.grant_mb = (request.grant_mb + missing_mb).min(max_grant);
                    attempt.cancel(out);
                }
            }
            Progress::Completed(done @ 0.0..=1.0) if !settled => {
                let (ran, mean_run) = ((now - attempt.pace_since) as f64, class.mean_run);
                let left = ran / done.max(MIN_COMPLETED) - ran;
                let time_left = request.valid_until.saturating_sub(now) as f64;
                let slow = left > SLOW_RUNS * mean_run;
                if may_retry && !request.cancelled_for_pace && mean_run < time_left && slow {
                    request.cancelled_for_pace = true;
                    attempt.cancel(out);
                } else if done == 0.0 {
                    attempt.pace_since = now; // It waits for memory or a load: not slow by itself.
                } else if left > time_left || (request.cancelled_for_pace && self.load_level > 1.0 && slow) {
                    self.abandon(id, out);
                }
            }
            Progress::Completed(_) | Progress::Blocked => {}
        }
    }

    /// Cancels attempts without progress events. A lost answer, or an engine that died unnoticed, would keep
    /// the client waiting until it leaves; where progress events come, the request can be tried again.
    pub(crate) fn cancel_lost_attempts(&mut self, out: &mut Vec<Action>) {
        let lost_after = (self.settings.progress_interval as f64 * LOST_INTERVALS) as Micros;
        if lost_after == 0 || !self.settings.limits.cancel {
            return;
        }
        let attempts = self.engines.values_mut().flat_map(|e| &mut e.in_flight);
        for attempt in attempts.filter(|a| self.now - a.last_progress_at > lost_after) {
            attempt.cancel(out);
        }
    }
}
