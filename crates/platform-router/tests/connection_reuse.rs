//! Tests of the connection pool: reuse of connections, and unexpected bytes on them.

mod common;

use std::time::{Duration, Instant};

use async_io::Timer;
use common::pool::*;
use common::*;
use futures_lite::future;
use hoptiller_platform_protocol::{Endpoint, Phase};
use hoptiller_platform_router::attempt::AttemptError;
use hoptiller_platform_router::retry_limiter::RetryLimiter;

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
                .expect("another request on the same connection");
            // The response is followed by a late duplicate of the response to the first attempt.
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
    let other_responses = served_line(IDS[2]).repeat(2_000);
    for bytes_while_idle in [b"{\"t\":\"served\",".to_vec(), other_responses] {
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
            // On loopback, the bytes have been received once the write completes.
            first.send(&bytes_while_idle).await;
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
    run_test(async |spawner| {
        let (manual_engine, pool) = (ManualEngine::new(), pool());
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let addr = manual_engine.addr;
        spawner.spawn(async move {
            let mut connection = manual_engine.accept().await;
            connection.next_command().await.expect("a request");
            let other_responses = served_line(IDS[2]).repeat(100);
            for _ in 0..4_000 {
                connection.send(&other_responses).await;
            }
        });
        let attempt = TestAttempt::new();
        let result = attempt.run(&pool, IDS[0]).await;
        assert!(
            matches!(result, Err(AttemptError::TooManyBytes)),
            "{addr}: {result:?}"
        );
        assert!(
            Instant::now() < attempt.deadline,
            "the attempt must fail before its deadline"
        );
    });
}

#[test]
fn no_pages_are_fetched_for_a_disconnected_client_and_the_connection_is_reused() {
    run_test(async |_| {
        // There is memory for one result of 3 pages of 6,000 bytes, but not for two.
        let pool = pool_with(8, 20_000, RetryLimiter::new(None));
        let manual_engine = ManualEngine::new();
        pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
        let pages = |id: &str| {
            format!(
                "{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":3}},\"b\":\"{ENCODED_PAGE}\"}}\n"
            )
            .into_bytes()
        };
        let (reserving, abandoned, next) =
            (TestAttempt::new(), TestAttempt::new(), TestAttempt::new());
        let engine = async {
            let mut first = manual_engine.accept().await;
            first.next_command().await.expect("a request");
            first.send(&pages(IDS[0])).await;
            first
                .next_command()
                .await
                .expect("a fetch command, as the memory is reserved");
            let mut second = manual_engine.accept().await;
            second.next_command().await.expect("a request");
            second.send(&pages(IDS[1])).await;
            abandoned.token.mark_request_ended();
            let command = second.next_command().await.expect("a command");
            assert!(
                command.contains("\"END\"") && !command.contains("FETCH"),
                "{command}"
            );
            assert_eq!(
                command_id(&second.next_command().await.expect("the next request")),
                IDS[2]
            );
            second.send(&served_line(IDS[2])).await;
            first
        };
        let second = async {
            wait_until(|| reserving.token.has_started()).await;
            let result = abandoned.run(&pool, IDS[1]).await;
            assert!(
                matches!(result, Err(AttemptError::RequestEnded)),
                "{result:?}"
            );
            next.run(&pool, IDS[2]).await.expect("served");
        };
        let others = future::zip(engine, second);
        let first = async {
            let _ = reserving.run(&pool, IDS[0]).await;
            panic!("the attempt ended although its pages were never sent");
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
            let run_at_second =
                async |attempt: &TestAttempt, id| attempt.run_at(8, &pool, id).await.map(|_| ());
            future::zip(
                run_at_second(&c, "9b1f03aa5c7e2d51"),
                run_at_second(&d, "9b1f03aa5c7e2d52"),
            )
            .await
        };
        let running = future::zip(a.run(&pool, IDS[0]), b.run(&pool, IDS[1]));
        let engines = async {
            let (mut x, mut y) = (first.accept().await, first.accept().await);
            let (x_command, y_command) = (
                x.next_command().await.expect("a request"),
                y.next_command().await.expect("a request"),
            );
            // After this, both other attempts are waiting for a permit, as no other task on this thread is ready.
            for _ in 0..20 {
                future::yield_now().await;
            }
            Timer::after(Duration::from_millis(20)).await;
            x.send(&served_line(&command_id(&x_command))).await;
            y.send(&served_line(&command_id(&y_command))).await;
            // Neither request gets a response before both connections are accepted.
            let mut both = [second.accept().await, second.accept().await];
            for connection in &mut both {
                let id = command_id(&connection.next_command().await.expect("a request"));
                connection.send(&served_line(&id)).await;
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
