//! Retries: the attempts of a request, the retry budget of the gateway, and whether a request may be sent again.

use std::collections::VecDeque;

use crate::idempotency::{PossibleRun, safe_until};
use crate::interface::{EndpointEntry, EngineId, Idempotency, Limits, Micros, RetryBudget};

/// The attempts of one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Attempts so far; the number of the next one.
    count: u32,
    /// Attempts without an outcome: number and engine.
    in_flight: Vec<(u32, EngineId)>,
    tried: Vec<EngineId>,
    possible_run: Option<PossibleRun>,
}

impl AttemptHistory {
    /// Attempts so far; the number of the next one.
    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    /// Adds the next attempt. Returns its number.
    pub(crate) fn add(&mut self, engine: EngineId) -> u32 {
        let number = self.count;
        self.in_flight.push((number, engine));
        self.tried.push(engine);
        self.count += 1;
        number
    }

    /// Removes an attempt whose outcome has come.
    pub(crate) fn remove(&mut self, number: u32) {
        self.in_flight.retain(|(other, _)| *other != number);
    }

    pub(crate) fn is_any_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    pub(crate) fn is_in_flight_at(&self, engine: EngineId) -> bool {
        self.in_flight.iter().any(|(_, other)| *other == engine)
    }

    pub(crate) fn has_tried(&self, engine: EngineId) -> bool {
        self.tried.contains(&engine)
    }

    /// Records that an attempt may have run; the first one counts. `entry` is its engine's, where that is still known.
    pub(crate) fn record_possible_run(&mut self, entry: Option<&EndpointEntry>, sent_at: Micros) {
        let (zone, cell) = entry.map_or((None, 0), |entry| (entry.zone, entry.cell));
        self.possible_run.get_or_insert(PossibleRun {
            zone,
            cell,
            sent_at,
        });
    }

    pub(crate) fn possible_run(&self) -> Option<PossibleRun> {
        self.possible_run
    }

    /// Whether certainly no attempt has run or still runs.
    pub(crate) fn never_ran(&self) -> bool {
        self.possible_run.is_none() && self.in_flight.is_empty()
    }

    /// Whether a request that was sent before may be sent again: idempotency, retry budget, attempts.
    pub(crate) fn may_retry(
        &self,
        idempotency: Idempotency,
        limits: &Limits,
        budget: Option<RetryBudget>,
        usage: &RetryUsage,
        now: Micros,
    ) -> bool {
        now < safe_until(idempotency, self.possible_run)
            && budget.is_none_or(|budget| usage.is_within(budget, now))
            && (self.in_flight.is_empty() || limits.hedged_requests)
            && self.count < limits.max_attempts
    }
}

/// Times of admissions and retries in the window of the retry budget, oldest first.
#[derive(Default)]
pub(crate) struct RetryUsage {
    admissions: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryUsage {
    pub(crate) fn record_admission(&mut self, now: Micros) {
        self.admissions.push_back(now);
    }

    pub(crate) fn record_retry(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Whether the budget permits one more retry. At the start of the window the count is conservative: a retry at exactly
    /// that time counts, an admission does not.
    fn is_within(&self, budget: RetryBudget, now: Micros) -> bool {
        let since = now.saturating_sub(budget.window);
        let admissions = self
            .admissions
            .iter()
            .rev()
            .take_while(|at| **at > since)
            .count() as f64;
        let retries = self
            .retries
            .iter()
            .rev()
            .take_while(|at| **at >= since)
            .count() as f64;
        retries + 1.0 <= budget.min_retries + budget.ratio * admissions
    }

    /// Removes what is older than the window of the budget.
    pub(crate) fn prune(&mut self, budget: Option<RetryBudget>, now: Micros) {
        let window = budget.map_or(0, |budget| budget.window);
        for times in [&mut self.admissions, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| at.saturating_add(window) < now)
            {
                times.pop_front();
            }
        }
    }
}
