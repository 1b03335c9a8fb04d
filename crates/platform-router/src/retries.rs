//! Owns the count of further attempts at the moments at which they begin. The decisions count them when they decide; a late
//! connection lets several of some time begin at once, and that is when the budget has to hold.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hoptiller_policy::RetryBudget;

/// Requests taken and further attempts begun, as far back as the budget looks.
#[derive(Debug)]
pub struct Retries {
    budget: Option<RetryBudget>,
    times: RefCell<Times>,
}

#[derive(Debug, Default)]
struct Times {
    taken: VecDeque<Instant>,
    begun: VecDeque<Instant>,
}

impl Retries {
    /// Nothing was taken yet. `None`: further attempts are not rationed, and nothing is kept.
    pub fn new(budget: Option<RetryBudget>) -> Retries {
        Retries {
            budget,
            times: RefCell::default(),
        }
    }

    fn forget(&self, now: Instant, times: &mut Times, look_back: Duration) {
        for line in [&mut times.taken, &mut times.begun] {
            while line
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) > look_back)
            {
                line.pop_front();
            }
        }
    }

    /// A request was taken.
    pub fn taken(&self, now: Instant) {
        let Some(b) = self.budget else { return };
        let mut times = self.times.borrow_mut();
        times.taken.push_back(now);
        self.forget(now, &mut times, Duration::from_micros(b.window));
    }

    /// Whether one more further attempt may begin.
    pub fn may_begin(&self, now: Instant) -> bool {
        let Some(b) = self.budget else { return true };
        let (mut times, look_back) = (self.times.borrow_mut(), Duration::from_micros(b.window));
        self.forget(now, &mut times, look_back);
        // What is just as old as the budget looks back counts among those begun, and not among those taken.
        let counted = times
            .taken
            .iter()
            .filter(|at| now.saturating_duration_since(**at) < look_back)
            .count();
        times.begun.len() as f64 + 1.0 <= b.min_retries + b.ratio * counted as f64
    }

    /// One has begun.
    pub fn begun(&self, now: Instant) {
        if self.budget.is_some() {
            self.times.borrow_mut().begun.push_back(now);
        }
    }
}
