//! Enforcement of the retry budget when retries are sent. The policy counts a retry when it decides on it. Retries
//! whose connections are slow to establish may all be sent at once, and the budget has to hold then too.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hoptiller_policy::RetryBudget;

/// Limits retries, based on the requests received and the retries sent within the budget's window.
#[derive(Debug)]
pub struct RetryLimiter {
    budget: Option<RetryBudget>,
    window: RefCell<Window>,
}

/// The times of requests and retries within the budget's window, oldest first.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Window {
    fn prune(&mut self, now: Instant, length: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > length)
            {
                times.pop_front();
            }
        }
    }
}

impl RetryLimiter {
    /// Creates a limiter with no requests counted. Without a budget, retries are not limited and nothing is counted.
    pub fn new(budget: Option<RetryBudget>) -> RetryLimiter {
        RetryLimiter {
            budget,
            window: RefCell::default(),
        }
    }

    /// Counts a received request, whether or not its client marks it as a retry.
    pub fn record_request(&self, now: Instant) {
        let Some(budget) = self.budget else { return };
        let mut window = self.window.borrow_mut();
        window.requests.push_back(now);
        window.prune(now, Duration::from_micros(budget.window));
    }

    /// Returns whether the budget allows one more retry.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let Some(budget) = self.budget else {
            return true;
        };
        let length = Duration::from_micros(budget.window);
        let mut window = self.window.borrow_mut();
        window.prune(now, length);
        // The count is conservative, as in the policy: at exactly the window's length, retries still count but requests
        // no longer do.
        let requests = window
            .requests
            .iter()
            .filter(|at| now.saturating_duration_since(**at) < length)
            .count();
        window.retries.len() as f64 + 1.0 <= budget.min_retries + budget.ratio * requests as f64
    }

    /// Counts a sent retry.
    pub fn record_retry(&self, now: Instant) {
        if self.budget.is_some() {
            self.window.borrow_mut().retries.push_back(now);
        }
    }
}
