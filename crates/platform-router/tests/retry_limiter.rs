//! Tests of the retry budget, which applies when retries are sent.

use std::time::{Duration, Instant};

use hoptiller_platform_router::retry_limiter::RetryLimiter;
use hoptiller_policy::RetryBudget;

const WINDOW: Duration = Duration::from_secs(4);

fn limiter_with(min_retries: f64, ratio: f64) -> RetryLimiter {
    RetryLimiter::new(Some(RetryBudget {
        min_retries,
        ratio,
        window: WINDOW.as_micros() as u64,
    }))
}

#[test]
fn retries_count_from_the_time_they_are_sent() {
    let (limiter, now) = (limiter_with(2.0, 0.0), Instant::now());
    for _ in 0..2 {
        assert!(limiter.allows_retry(now));
        limiter.record_retry(now);
    }
    assert!(
        !limiter.allows_retry(now) && !limiter.allows_retry(now + WINDOW),
        "both are still in the window"
    );
    assert!(limiter.allows_retry(now + WINDOW + Duration::from_micros(1)));
}

#[test]
fn requests_add_to_the_budget_within_its_window() {
    let (limiter, now) = (limiter_with(0.0, 0.5), Instant::now());
    assert!(!limiter.allows_retry(now));
    limiter.record_request(now);
    assert!(
        !limiter.allows_retry(now),
        "one request allows half a retry"
    );
    limiter.record_request(now + Duration::from_secs(1));
    assert!(limiter.allows_retry(now + Duration::from_secs(2)));
    assert!(
        !limiter.allows_retry(now + WINDOW),
        "the first request has left the window"
    );
}

#[test]
fn retries_are_unlimited_without_a_budget() {
    let (limiter, now) = (RetryLimiter::new(None), Instant::now());
    (0..100).for_each(|_| limiter.record_retry(now));
    assert!(limiter.allows_retry(now));
}
