//! The connection pool: events between the decision on an attempt and its first byte, and bytes on a connection that no
//! request asked for.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use common::*;
use futures_lite::future;
use hoptiller_platform_protocol::{Endpoint, Phase, StatementCommand};
use hoptiller_platform_router::attempt::{
    AttemptError, AttemptRequest, CompleteResponse, NotSentReason,
};
use hoptiller_platform_router::cancel::CancelToken;
use hoptiller_platform_router::connection_pool::{ConnectionPool, PoolConfig};
use hoptiller_platform_router::retry_limiter::RetryLimiter;
use hoptiller_policy::EngineId;

const IDS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

/// A pool whose timeouts are longer than a test.
fn pool_with(
    max_connections: usize,
    max_result_bytes: u64,
    retries: RetryLimiter,
) -> ConnectionPool {
    let timeout = Duration::from_secs(20);
    let config = PoolConfig {
        connect_timeout: timeout,
        idle_timeout: timeout,
        probe_timeout: timeout,
        max_connections,
        max_result_bytes,
    };
    ConnectionPool::new(config, Rc::new(retries))
}

fn pool() -> ConnectionPool {
    pool_with(8, 1 << 20, RetryLimiter::new(None))
}

fn listed_endpoint(addr: SocketAddr, phase: Phase, started_ms: u64) -> Endpoint {
    Endpoint {
        id: 7,
        addr,
        zone: None,
        kind: None,
        cell: 0,
        phase,
        started_ms,
    }
}

struct TestAttempt {
    token: CancelToken,
    deadline: Instant,
    send_by: Option<Instant>,
    is_retry: bool,
}

impl TestAttempt {
    fn new() -> TestAttempt {
        let deadline = Instant::now() + Duration::from_secs(15);
        TestAttempt {
            token: CancelToken::default(),
            deadline,
            send_by: None,
            is_retry: false,
        }
    }

    async fn run(&self, pool: &ConnectionPool, id: &str) -> Result<CompleteResponse, AttemptError> {
        self.run_at(7, pool, id).await
    }

    async fn run_at(
        &self,
        engine: u32,
        pool: &ConnectionPool,
        id: &str,
    ) -> Result<CompleteResponse, AttemptError> {
        let endpoint = pool.endpoint(EngineId(engine)).expect("listed");
        let (send_by, token) = (self.send_by, &self.token);
        let command = StatementCommand {
            id,
            class: "lookup",
            idempotency_key: None,
            priority: None,
            statement: "SELECT 1",
        };
        let request = AttemptRequest {
            command,
            deadline: self.deadline,
            send_by,
            is_retry: self.is_retry,
            token,
            endpoint,
        };
        pool.attempt(EngineId(engine), &request).await
    }
}

/// The reason why an attempt was not sent whose connection was established only after `happens` was done.
async fn not_sent_reason_after(
    attempt: &TestAttempt,
    happens: impl AsyncFnOnce(&ConnectionPool, SocketAddr),
) -> NotSentReason {
    let (manual_engine, pool) = (ManualEngine::with_full_backlog().await, pool());
    pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
    let meanwhile = async {
        wait_until(|| pool.open_connections() == 1).await;
        happens(&pool, manual_engine.addr).await;
        manual_engine.accept_backlog().await;
        future::pending::<()>().await;
    };
    let running = async { attempt.run(&pool, IDS[0]).await };
    let result = future::or(async { Some(running.await) }, async {
        meanwhile.await;
        None
    });
    match result.await {
        Some(Err(AttemptError::NotSent(reason))) => {
            assert!(!attempt.token.has_started());
            reason
        }
        other => panic!("it was sent: {other:?}"),
    }
}

#[test]
fn attempt_cancelled_before_its_task_runs_is_not_sent() {
    run_test(async |_| {
        let (manual_engine, pool) = (ManualEngine::new(), pool());
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let engine = async {
            let mut line = manual_engine.accept().await;
            line.next_command().await.expect("the first request");
            line.send(&served_line(IDS[0])).await;
            assert_eq!(
                command_id(&line.next_command().await.expect("the next request")),
                IDS[2]
            );
            line.send(&served_line(IDS[2])).await;
        };
        let router = async {
            // With an idle connection, it could be written in its task's first step.
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
fn abandoned_attempt_is_not_sent_when_its_connection_is_established() {
    run_test(async |_| {
        let attempt = TestAttempt::new();
        let reason = not_sent_reason_after(&attempt, async |_, _| attempt.token.abandon()).await;
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
        let left_out = async |pool: &ConnectionPool, _| pool.retain_listed(&[]);
        assert_eq!(
            not_sent_reason_after(&TestAttempt::new(), left_out).await,
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
            let mut line = manual_engine.accept().await;
            for _ in 0..2 {
                let id = command_id(&line.next_command().await.expect("a request"));
                line.send(&served_line(&id)).await;
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
                    Err(AttemptError::NotSent(NotSentReason::RetryBudgetSpent))
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
        let over = Instant::now() + Duration::from_millis(100);
        let attempt = TestAttempt {
            deadline: over,
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
            let mut line = manual_engine.accept().await;
            let left = attempt.deadline.saturating_duration_since(Instant::now());
            let request: serde_json::Value =
                serde_json::from_str(&line.next_command().await.expect("a request")).expect("JSON");
            line.send(&served_line(IDS[0])).await;
            (request["f"]["w"].as_u64().expect("w"), left)
        };
        let (result, (wait_ms, left)) = future::zip(attempt.run(&pool, IDS[0]), engine).await;
        result.expect("served");
        // It was written after the connection came up, and before it was accepted here or soon after.
        let at_first = Duration::from_secs(10);
        assert!(
            left < at_first
                && Duration::from_millis(wait_ms) < at_first - Duration::from_millis(500),
            "{wait_ms}"
        );
        assert!(
            wait_ms + 500 > left.as_millis() as u64,
            "{wait_ms} {left:?}"
        );
    });
}

#[test]
fn connection_never_carries_the_same_request_id_twice() {
    run_test(async |_| {
        let (manual_engine, pool) = (ManualEngine::new(), pool());
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let overloaded = |id: &str| format!("{{\"t\":\"overload\",\"i\":\"{id}\"}}\n").into_bytes();
        let engine = async {
            let mut first = manual_engine.accept().await;
            first.next_command().await.expect("the first attempt");
            first.send(&overloaded(IDS[0])).await;
            first
                .next_command()
                .await
                .expect("another request, over the same");
            // With its response, a late second one to the first attempt.
            first
                .send(&[served_line(IDS[1]), overloaded(IDS[0])].concat())
                .await;
            let mut second = manual_engine.accept().await;
            assert_eq!(
                command_id(&second.next_command().await.expect("the retry")),
                IDS[0]
            );
            second.send(&served_line(IDS[0])).await;
        };
        let router = async {
            assert!(matches!(
                TestAttempt::new().run(&pool, IDS[0]).await,
                Err(AttemptError::Overloaded)
            ));
            TestAttempt::new().run(&pool, IDS[1]).await.expect("served");
            TestAttempt::new()
                .run(&pool, IDS[0])
                .await
                .expect("served, and not rejected by the late response");
        };
        future::zip(engine, router).await;
        assert_eq!(pool.open_connections(), 2);
    });
}

#[test]
fn idle_connection_with_a_partial_line_or_too_many_bytes_is_not_reused() {
    let foreign = served_line(IDS[2]).repeat(2_000);
    for meanwhile in [b"{\"t\":\"served\",".to_vec(), foreign] {
        run_test(async move |_| {
            let (manual_engine, pool) = (ManualEngine::new(), pool());
            pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
            let engine = async {
                let mut first = manual_engine.accept().await;
                first.next_command().await.expect("the first request");
                first.send(&served_line(IDS[0])).await;
                first
            };
            let (result, mut first) =
                future::zip(TestAttempt::new().run(&pool, IDS[0]), engine).await;
            result.expect("served");
            // It is received once the engine's write is done, as both run on one kernel.
            first.send(&meanwhile).await;
            let engine = async {
                let mut second = manual_engine.accept().await;
                assert_eq!(
                    command_id(&second.next_command().await.expect("the second request")),
                    IDS[1]
                );
                second.send(&served_line(IDS[1])).await;
            };
            let (result, ()) = future::zip(TestAttempt::new().run(&pool, IDS[1]), engine).await;
            result.expect("served");
        });
    }
}

#[test]
fn endless_responses_to_other_requests_fail_the_attempt() {
    run_test(async |ex| {
        let (manual_engine, pool) = (ManualEngine::new(), pool());
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let addr = manual_engine.addr;
        ex.spawn(async move {
            let mut line = manual_engine.accept().await;
            line.next_command().await.expect("a request");
            let foreign = served_line(IDS[2]).repeat(100);
            for _ in 0..4_000 {
                line.send(&foreign).await;
            }
        });
        let attempt = TestAttempt::new();
        let result = attempt.run(&pool, IDS[0]).await;
        assert!(
            matches!(result, Err(AttemptError::Line(_))),
            "{addr}: {result:?}"
        );
        assert!(Instant::now() < attempt.deadline, "before its time");
    });
}

#[test]
fn no_pages_are_fetched_for_a_disconnected_client_and_the_connection_is_reused() {
    run_test(async |_| {
        // Room for one result of several pages.
        let pool = pool_with(8, 20_000, RetryLimiter::new(None));
        let manual_engine = ManualEngine::new();
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let pages = |id: &str| {
            format!(
                "{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":3}},\"b\":\"{ENCODED_PAGE}\"}}\n"
            )
            .into_bytes()
        };
        let (holds, left, next) = (TestAttempt::new(), TestAttempt::new(), TestAttempt::new());
        let engine = async {
            let mut first = manual_engine.accept().await;
            first.next_command().await.expect("a request");
            first.send(&pages(IDS[0])).await;
            first
                .next_command()
                .await
                .expect("it fetches, and has the room");
            let mut second = manual_engine.accept().await;
            second.next_command().await.expect("a request");
            second.send(&pages(IDS[1])).await;
            left.token.abandon();
            let said = second.next_command().await.expect("a command");
            assert!(
                said.contains("\"END\"") && !said.contains("FETCH"),
                "{said}"
            );
            assert_eq!(
                command_id(&second.next_command().await.expect("the next request")),
                IDS[2]
            );
            second.send(&served_line(IDS[2])).await;
            first
        };
        let second = async {
            wait_until(|| holds.token.has_started()).await;
            let result = left.run(&pool, IDS[1]).await;
            assert!(matches!(result, Err(AttemptError::Abandoned)), "{result:?}");
            next.run(&pool, IDS[2]).await.expect("served");
        };
        let others = future::zip(engine, second);
        let first = async {
            let _ = holds.run(&pool, IDS[0]).await;
            panic!("its pages never come");
        };
        future::or(first, async {
            others.await;
        })
        .await;
    });
}

#[test]
fn two_connections_released_at_once_wake_two_waiting_attempts() {
    run_test(async |_| {
        let pool = pool_with(2, 1 << 20, RetryLimiter::new(None));
        let (first, second) = (ManualEngine::new(), ManualEngine::new());
        pool.update_endpoint(&listed_endpoint(first.addr, Phase::Ready, 0));
        pool.update_endpoint(&Endpoint {
            id: 8,
            ..listed_endpoint(second.addr, Phase::Ready, 0)
        });
        let (a, b, c, d) = (
            TestAttempt::new(),
            TestAttempt::new(),
            TestAttempt::new(),
            TestAttempt::new(),
        );
        let waiting = async {
            wait_until(|| a.token.has_started() && b.token.has_started()).await;
            let to_the_other =
                async |attempt: &TestAttempt, id| attempt.run_at(8, &pool, id).await.map(|_| ());
            future::zip(
                to_the_other(&c, "9b1f03aa5c7e2d51"),
                to_the_other(&d, "9b1f03aa5c7e2d52"),
            )
            .await
        };
        let running = future::zip(a.run(&pool, IDS[0]), b.run(&pool, IDS[1]));
        let engines = async {
            let (mut x, mut y) = (first.accept().await, first.accept().await);
            let (of_x, of_y) = (
                x.next_command().await.expect("a request"),
                y.next_command().await.expect("a request"),
            );
            // Both wait for a permit by now: nothing else is due on this thread.
            for _ in 0..20 {
                future::yield_now().await;
            }
            Timer::after(Duration::from_millis(20)).await;
            x.send(&served_line(&command_id(&of_x))).await;
            y.send(&served_line(&command_id(&of_y))).await;
            // Neither is answered before both have come.
            let mut both = [second.accept().await, second.accept().await];
            for line in &mut both {
                let id = command_id(&line.next_command().await.expect("a request"));
                line.send(&served_line(&id)).await;
            }
            (x, y, both)
        };
        let (((a, b), (c, d)), _) = future::zip(future::zip(running, waiting), engines).await;
        assert!(
            a.is_ok() && b.is_ok() && c.is_ok() && d.is_ok(),
            "{c:?} {d:?}"
        );
    });
}
