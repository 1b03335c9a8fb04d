//! Retries: the attempts of a request, the gateway's retry budget, and the conditions for another attempt.

use std::collections::VecDeque;

use crate::idempotency::{PossibleRun, safe_until};
use crate::interface::{EndpointEntry, EngineId, Idempotency, Limits, Micros, RetryBudget};

/// The attempts of one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Number of attempts so far, which is the number of the next attempt.
    count: u32,
    /// Number and engine of each attempt without an outcome.
    in_flight: Vec<(u32, EngineId)>,
    tried: Vec<EngineId>,
    possible_run: Option<PossibleRun>,
}

impl AttemptHistory {
    /// Returns the number of attempts so far, which is the number of the next attempt.
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

    /// Removes an attempt after its outcome.
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

    /// Records that an attempt may have run. Only the first such attempt is kept. `entry` is the entry of its engine,
    /// if the engine is still known.
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

    /// Returns whether certainly no attempt has run or is running.
    pub(crate) fn never_ran(&self) -> bool {
        self.possible_run.is_none() && self.in_flight.is_empty()
    }

    /// Returns whether a request that was sent before may be sent again, according to its idempotency, the retry budget
    /// and the limits on attempts.
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

/// Events at the same time.
struct TimedCount {
    at: Micros,
    count: u64,
}

/// The arrivals and retries within the retry budget window, oldest first. Those of the same time need one entry.
#[derive(Default)]
pub struct RetryUsage {
    arrivals: VecDeque<TimedCount>,
    retries: VecDeque<TimedCount>,
}

impl RetryUsage {
    /// Counts an arrival.
    pub fn record_arrival(&mut self, now: Micros) {
        record(&mut self.arrivals, now);
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Micros) {
        record(&mut self.retries, now);
    }

    /// Returns the number of entries.
    pub fn entries(&self) -> usize {
        self.arrivals.len() + self.retries.len()
    }

    /// Returns whether the budget permits another retry. The count is conservative: at exactly the start of the window,
    /// a retry counts but an arrival does not.
    pub fn is_within(&self, budget: RetryBudget, now: Micros) -> bool {
        let since = now.saturating_sub(budget.window);
        let arrivals = count_while(&self.arrivals, |at| at > since);
        let retries = count_while(&self.retries, |at| at >= since);
        retries + 1.0 <= budget.min_retries + budget.ratio * arrivals
    }

    /// Removes times that are older than the retry budget window.
    pub fn prune(&mut self, budget: Option<RetryBudget>, now: Micros) {
        let window = budget.map_or(0, |budget| budget.window);
        for times in [&mut self.arrivals, &mut self.retries] {
            while times
                .front()
                .is_some_and(|entry| entry.at.saturating_add(window) < now)
            {
                times.pop_front();
            }
        }
    }
}

fn record(times: &mut VecDeque<TimedCount>, at: Micros) {
    match times.back_mut() {
        Some(last) if last.at == at => last.count += 1,
        _ => times.push_back(TimedCount { at, count: 1 }),
    }
}

/// Counts the latest events whose times meet the condition.
fn count_while(times: &VecDeque<TimedCount>, is_counted: impl Fn(Micros) -> bool) -> f64 {
    let counted = times.iter().rev().take_while(|entry| is_counted(entry.at));
    counted.map(|entry| entry.count).sum::<u64>() as f64
}
