//! Tests of events between the decision on an attempt and its first byte.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::pool::*;
use common::*;
use futures_lite::future;
use hoptiller_platform_protocol::{Endpoint, Phase};
use hoptiller_platform_router::attempt::{AttemptError, NotSentReason};
use hoptiller_platform_router::connection_pool::ConnectionPool;
use hoptiller_platform_router::retry_limiter::RetryLimiter;

#[test]
fn attempt_cancelled_before_its_task_runs_is_not_sent() {
    run_test(async |_| {
        let (manual_engine, pool) = (ManualEngine::new(), pool());
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let engine = async {
            let mut connection = manual_engine.accept().await;
            connection.next_command().await.expect("the first request");
            connection.send(&served_line(IDS[0])).await;
            assert_eq!(
                command_id(&connection.next_command().await.expect("the next request")),
                IDS[2]
            );
            connection.send(&served_line(IDS[2])).await;
        };
        let router = async {
            // This leaves an idle connection, over which the next attempt could be sent when its task first runs.
            TestAttempt::new().run(&pool, IDS[0]).await.expect("served");
            let attempt = TestAttempt::new();
            attempt.token.cancel();
            let result = attempt.run(&pool, IDS[1]).await;
            assert!(
                matches!(result, Err(AttemptError::NotSent(NotSentReason::Cancelled))),
                "{result:?}"
            );
            TestAttempt::new()
                .run(&pool, IDS[2])
                .await
                .expect("served over the same connection");
        };
        future::zip(engine, router).await;
    });
}

#[test]
fn attempt_of_an_ended_request_is_not_sent_when_its_connection_is_established() {
    run_test(async |_| {
        let attempt = TestAttempt::new();
        let reason =
            not_sent_reason_after(&attempt, async |_, _| attempt.token.mark_request_ended()).await;
        assert_eq!(reason, NotSentReason::Cancelled);
    });
}

#[test]
fn endpoint_state_is_checked_at_the_first_byte() {
    let changes: [fn(SocketAddr) -> Endpoint; 4] = [
        |addr| listed_endpoint(addr, Phase::Draining, 0),
        |addr| listed_endpoint(addr, Phase::Removed, 0),
        |addr| listed_endpoint(addr, Phase::Ready, 1_800_000_000_000),
        |_| listed_endpoint(([127, 0, 0, 1], 9).into(), Phase::Ready, 0),
    ];
    for change in changes {
        run_test(async move |_| {
            let changed = async |pool: &ConnectionPool, addr| pool.update_endpoint(&change(addr));
            assert_eq!(
                not_sent_reason_after(&TestAttempt::new(), changed).await,
                NotSentReason::EndpointChanged
            );
        });
    }
    run_test(async |_| {
        let unlisted = async |pool: &ConnectionPool, _| pool.retain_listed(&[]);
        assert_eq!(
            not_sent_reason_after(&TestAttempt::new(), unlisted).await,
            NotSentReason::EndpointChanged
        );
    });
}

#[test]
fn retry_is_not_sent_after_its_idempotency_window() {
    run_test(async |_| {
        let send_by = Instant::now() + Duration::from_millis(100);
        let attempt = TestAttempt {
            send_by: Some(send_by),
            ..TestAttempt::new()
        };
        let passed = async |_: &ConnectionPool, _| wait_until(|| Instant::now() >= send_by).await;
        assert_eq!(
            not_sent_reason_after(&attempt, passed).await,
            NotSentReason::IdempotencyWindowPassed
        );
    });
}

#[test]
fn retry_over_the_budget_is_not_sent() {
    run_test(async |_| {
        let manual_engine = ManualEngine::new();
        let budget = hoptiller_policy::RetryBudget {
            min_retries: 1.0,
            ratio: 0.0,
            window: 60_000_000,
        };
        let pool = pool_with(8, 1 << 20, RetryLimiter::new(Some(budget)));
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let engine = async {
            let mut connection = manual_engine.accept().await;
            for _ in 0..2 {
                let id = command_id(&connection.next_command().await.expect("a request"));
                connection.send(&served_line(&id)).await;
            }
        };
        let retry = || TestAttempt {
            is_retry: true,
            ..TestAttempt::new()
        };
        let router = async {
            retry().run(&pool, IDS[0]).await.expect("within the budget");
            let second = retry().run(&pool, IDS[1]).await;
            assert!(
                matches!(
                    second,
                    Err(AttemptError::NotSent(NotSentReason::RetryBudgetExhausted))
                ),
                "{second:?}"
            );
            TestAttempt::new()
                .run(&pool, IDS[2])
                .await
                .expect("a first attempt is not limited");
        };
        future::zip(engine, router).await;
    });
}

#[test]
fn timeout_before_the_connection_is_established_counts_as_not_sent() {
    run_test(async |_| {
        let deadline = Instant::now() + Duration::from_millis(100);
        let attempt = TestAttempt {
            deadline,
            ..TestAttempt::new()
        };
        let passed = async |_: &ConnectionPool, _| future::pending().await;
        assert_eq!(
            not_sent_reason_after(&attempt, passed).await,
            NotSentReason::TimedOut
        );
    });
}

#[test]
fn engine_is_given_the_time_left_when_the_command_is_written() {
    run_test(async |_| {
        let (manual_engine, pool) = (ManualEngine::with_full_backlog().await, pool());
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let attempt = TestAttempt {
            deadline: Instant::now() + Duration::from_secs(10),
            ..TestAttempt::new()
        };
        let engine = async {
            wait_until(|| pool.open_connections() == 1).await;
            manual_engine.accept_backlog().await;
            let mut connection = manual_engine.accept().await;
            let left = attempt.deadline.saturating_duration_since(Instant::now());
            let request: serde_json::Value =
                serde_json::from_str(&connection.next_command().await.expect("a request"))
                    .expect("JSON");
            connection.send(&served_line(IDS[0])).await;
            (request["f"]["w"].as_u64().expect("w"), left)
        };
        let (result, (wait_ms, left)) = future::zip(attempt.run(&pool, IDS[0]), engine).await;
        result.expect("served");
        // The command was written after the connection was established, at about the time at which it was accepted
        // here.
        // The kernel retries after about a second, so at least 500 ms have passed.
        let initial = Duration::from_secs(10);
        assert!(
            left < initial && Duration::from_millis(wait_ms) < initial - Duration::from_millis(500),
            "{wait_ms}"
        );
        assert!(
            wait_ms + 500 > left.as_millis() as u64,
            "{wait_ms} {left:?}"
        );
    });
}
