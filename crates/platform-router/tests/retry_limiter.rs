//! The budget of further attempts, at the moments at which they begin.

use std::time::{Duration, Instant};

use hoptiller_platform_router::retry_limiter::RetryLimiter;
use hoptiller_policy::RetryBudget;

const BACK: Duration = Duration::from_secs(4);

fn retries(spare: f64, ratio: f64) -> RetryLimiter {
    RetryLimiter::new(Some(RetryBudget {
        min_retries: spare,
        ratio,
        window: BACK.as_micros() as u64,
    }))
}

#[test]
fn those_of_some_time_that_begin_at_once_count_when_they_begin() {
    let (r, t) = (retries(2.0, 0.0), Instant::now());
    for _ in 0..2 {
        assert!(r.allows_retry(t));
        r.record_retry(t);
    }
    assert!(
        !r.allows_retry(t) && !r.allows_retry(t + BACK),
        "both are still in sight"
    );
    assert!(r.allows_retry(t + BACK + Duration::from_micros(1)));
}

#[test]
fn requests_earn_a_share_as_long_as_they_are_in_sight() {
    let (r, t) = (retries(0.0, 0.5), Instant::now());
    assert!(!r.allows_retry(t));
    r.record_request(t);
    assert!(!r.allows_retry(t), "half a one");
    r.record_request(t + Duration::from_secs(1));
    assert!(r.allows_retry(t + Duration::from_secs(2)));
    assert!(!r.allows_retry(t + BACK), "the first one is out of sight");
}

#[test]
fn without_a_budget_nothing_is_rationed() {
    let (r, t) = (RetryLimiter::new(None), Instant::now());
    (0..100).for_each(|_| r.record_retry(t));
    assert!(r.allows_retry(t));
}
