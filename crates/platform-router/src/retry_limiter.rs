//! Enforcement of the retry budget when retries are sent. The policy counts a retry when it decides on it. Retries
//! whose connections are slow to establish may all be sent at once, and the budget has to hold then too.

use std::cell::RefCell;
use std::time::Instant;

use hoptiller_policy::{Micros, RetryBudget, RetryUsage};

/// Number of intervals of the budget's window. Requests received within one interval count from its start, which
/// bounds the memory of the window whatever the rate of requests.
const INTERVALS_PER_WINDOW: Micros = 4096;

/// Limits retries, based on the requests received and the retries sent within the budget's window.
pub struct RetryLimiter {
    budget: Option<RetryBudget>,
    started_at: Instant,
    usage: RefCell<RetryUsage>,
}

impl RetryLimiter {
    /// Creates a limiter with no requests counted. Without a budget, retries are not limited and nothing is counted.
    pub fn new(budget: Option<RetryBudget>) -> RetryLimiter {
        RetryLimiter {
            budget,
            started_at: Instant::now(),
            usage: RefCell::default(),
        }
    }

    /// Counts a received request, whether or not its client marks it as a retry.
    pub fn record_request(&self, now: Instant) {
        let Some(budget) = self.budget else { return };
        let now = self.micros(budget, now);
        let interval = budget.window.div_ceil(INTERVALS_PER_WINDOW).max(1);
        let mut usage = self.usage.borrow_mut();
        usage.record_arrival(now - now % interval);
        usage.prune(self.budget, now);
    }

    /// Returns whether the budget allows one more retry.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let Some(budget) = self.budget else {
            return true;
        };
        let now = self.micros(budget, now);
        let mut usage = self.usage.borrow_mut();
        usage.prune(self.budget, now);
        usage.is_within(budget, now)
    }

    /// Counts a sent retry.
    pub fn record_retry(&self, now: Instant) {
        if let Some(budget) = self.budget {
            let now = self.micros(budget, now);
            self.usage.borrow_mut().record_retry(now);
        }
    }

    /// Returns the number of entries that requests and retries within the window take up.
    pub fn entries(&self) -> usize {
        self.usage.borrow().entries()
    }

    /// Converts a time to µs on a clock that starts one window late, so that the first window begins at 0.
    fn micros(&self, budget: RetryBudget, at: Instant) -> Micros {
        let since_start = at.saturating_duration_since(self.started_at);
        budget.window + since_start.as_micros() as Micros + 1
    }
}
