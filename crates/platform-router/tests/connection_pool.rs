//! Crossings at the connections to engines: what happens between the decision to send and the first byte, and what comes
//! over a connection that is not asked for.

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

fn pool() -> ConnectionPool {
    let long = Duration::from_secs(20);
    let manner = PoolConfig {
        connect_timeout: long,
        idle_timeout: long,
        probe_timeout: long,
        max_connections: 8,
        max_result_bytes: 1 << 20,
    };
    ConnectionPool::new(manner, Rc::new(RetryLimiter::new(None)))
}

fn member(addr: SocketAddr, phase: Phase, started_ms: u64) -> Endpoint {
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

struct Asked {
    token: CancelToken,
    deadline: Instant,
    send_by: Option<Instant>,
    is_retry: bool,
}

impl Asked {
    fn new() -> Asked {
        let deadline = Instant::now() + Duration::from_secs(15);
        Asked {
            token: CancelToken::default(),
            deadline,
            send_by: None,
            is_retry: false,
        }
    }

    async fn of(&self, pool: &ConnectionPool, id: &str) -> Result<CompleteResponse, AttemptError> {
        self.at(7, pool, id).await
    }

    async fn at(
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

/// What became of an attempt whose connection came up only after that had happened, and that the engine saw no line of it.
async fn after_a_late_connection(
    asked: &Asked,
    happens: impl AsyncFnOnce(&ConnectionPool, SocketAddr),
) -> NotSentReason {
    let (peer, pool) = (Peer::late().await, pool());
    pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
    let meanwhile = async {
        until(|| pool.open_connections() == 1).await;
        happens(&pool, peer.addr).await;
        peer.connections_come_up().await;
        future::pending::<()>().await;
    };
    let attempt = async { asked.of(&pool, IDS[0]).await };
    let came = future::or(async { Some(attempt.await) }, async {
        meanwhile.await;
        None
    });
    match came.await {
        Some(Err(AttemptError::NotSent(why))) => {
            assert!(!asked.token.has_started());
            why
        }
        other => panic!("it was sent: {other:?}"),
    }
}

#[test]
fn an_attempt_that_is_taken_back_before_its_task_runs_is_never_sent() {
    play(async |_| {
        let (peer, pool) = (Peer::new(), pool());
        pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
        let engine = async {
            let mut line = peer.accept().await;
            line.next().await.expect("the first request");
            line.say(&served(IDS[0])).await;
            assert_eq!(id_of(&line.next().await.expect("the next request")), IDS[2]);
            line.say(&served(IDS[2])).await;
        };
        let router = async {
            // With a connection that rests, it could be written in its task's first step.
            Asked::new().of(&pool, IDS[0]).await.expect("served");
            let asked = Asked::new();
            asked.token.cancel();
            let came = asked.of(&pool, IDS[1]).await;
            assert!(
                matches!(came, Err(AttemptError::NotSent(NotSentReason::Cancelled))),
                "{came:?}"
            );
            Asked::new()
                .of(&pool, IDS[2])
                .await
                .expect("served over the same connection");
        };
        future::zip(engine, router).await;
    });
}

#[test]
fn a_client_that_leaves_while_the_connection_comes_up_has_nothing_sent() {
    play(async |_| {
        let asked = Asked::new();
        let why = after_a_late_connection(&asked, async |_, _| asked.token.abandon()).await;
        assert_eq!(why, NotSentReason::Cancelled);
    });
}

#[test]
fn what_the_list_says_at_the_moment_of_the_first_byte_decides() {
    let changes: [fn(SocketAddr) -> Endpoint; 4] = [
        |addr| member(addr, Phase::Draining, 0),
        |addr| member(addr, Phase::Removed, 0),
        |addr| member(addr, Phase::Ready, 1_800_000_000_000),
        |_| member(([127, 0, 0, 1], 9).into(), Phase::Ready, 0),
    ];
    for change in changes {
        play(async move |_| {
            let changed = async |pool: &ConnectionPool, addr| pool.update_endpoint(&change(addr));
            assert_eq!(
                after_a_late_connection(&Asked::new(), changed).await,
                NotSentReason::EndpointChanged
            );
        });
    }
    play(async |_| {
        let left_out = async |pool: &ConnectionPool, _| pool.retain_listed(&[]);
        assert_eq!(
            after_a_late_connection(&Asked::new(), left_out).await,
            NotSentReason::EndpointChanged
        );
    });
}

#[test]
fn a_repeat_whose_window_passes_while_the_connection_comes_up_is_not_sent() {
    play(async |_| {
        let send_by = Instant::now() + Duration::from_millis(100);
        let asked = Asked {
            send_by: Some(send_by),
            ..Asked::new()
        };
        let passed = async |_: &ConnectionPool, _| until(|| Instant::now() >= send_by).await;
        assert_eq!(
            after_a_late_connection(&asked, passed).await,
            NotSentReason::IdempotencyWindowPassed
        );
    });
}

#[test]
fn a_further_attempt_that_is_over_the_budget_by_the_time_it_could_begin_is_not_sent() {
    play(async |_| {
        let (peer, long) = (Peer::new(), Duration::from_secs(20));
        let budget = hoptiller_policy::RetryBudget {
            min_retries: 1.0,
            ratio: 0.0,
            window: 60_000_000,
        };
        let manner = PoolConfig {
            connect_timeout: long,
            idle_timeout: long,
            probe_timeout: long,
            max_connections: 8,
            max_result_bytes: 1 << 20,
        };
        let pool = ConnectionPool::new(manner, Rc::new(RetryLimiter::new(Some(budget))));
        pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
        let engine = async {
            let mut line = peer.accept().await;
            for _ in 0..2 {
                let id = id_of(&line.next().await.expect("a request"));
                line.say(&served(&id)).await;
            }
        };
        let further = || Asked {
            is_retry: true,
            ..Asked::new()
        };
        let router = async {
            further()
                .of(&pool, IDS[0])
                .await
                .expect("the one that there is");
            let second = further().of(&pool, IDS[1]).await;
            assert!(
                matches!(
                    second,
                    Err(AttemptError::NotSent(NotSentReason::RetryBudgetSpent))
                ),
                "{second:?}"
            );
            Asked::new()
                .of(&pool, IDS[2])
                .await
                .expect("a first attempt is not rationed");
        };
        future::zip(engine, router).await;
    });
}

#[test]
fn one_whose_time_ends_while_the_connection_comes_up_is_known_not_to_have_run() {
    play(async |_| {
        let over = Instant::now() + Duration::from_millis(100);
        let asked = Asked {
            deadline: over,
            ..Asked::new()
        };
        let passed = async |_: &ConnectionPool, _| future::pending().await;
        assert_eq!(
            after_a_late_connection(&asked, passed).await,
            NotSentReason::TimedOut
        );
    });
}

#[test]
fn the_wait_told_to_an_engine_is_what_is_left_when_its_connection_stands() {
    play(async |_| {
        let (peer, pool) = (Peer::late().await, pool());
        pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
        let asked = Asked {
            deadline: Instant::now() + Duration::from_secs(10),
            ..Asked::new()
        };
        let engine = async {
            until(|| pool.open_connections() == 1).await;
            peer.connections_come_up().await;
            let mut line = peer.accept().await;
            let left = asked.deadline.saturating_duration_since(Instant::now());
            let request: serde_json::Value =
                serde_json::from_str(&line.next().await.expect("a request")).expect("JSON");
            line.say(&served(IDS[0])).await;
            (request["f"]["w"].as_u64().expect("w"), left)
        };
        let (came, (told, left)) = future::zip(asked.of(&pool, IDS[0]), engine).await;
        came.expect("served");
        // It was written after the connection came up, and before it was accepted here or soon after.
        let at_first = Duration::from_secs(10);
        assert!(
            left < at_first && Duration::from_millis(told) < at_first - Duration::from_millis(500),
            "{told}"
        );
        assert!(told + 500 > left.as_millis() as u64, "{told} {left:?}");
    });
}

#[test]
fn an_id_never_goes_twice_over_a_connection_though_others_went_between() {
    play(async |_| {
        let (peer, pool) = (Peer::new(), pool());
        pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
        let full = |id: &str| format!("{{\"t\":\"overload\",\"i\":\"{id}\"}}\n").into_bytes();
        let engine = async {
            let mut first = peer.accept().await;
            first.next().await.expect("the first attempt");
            first.say(&full(IDS[0])).await;
            first.next().await.expect("another request, over the same");
            // With its answer, a second one to the first attempt, which is late.
            first.say(&[served(IDS[1]), full(IDS[0])].concat()).await;
            let mut second = peer.accept().await;
            assert_eq!(
                id_of(&second.next().await.expect("the further attempt")),
                IDS[0]
            );
            second.say(&served(IDS[0])).await;
        };
        let router = async {
            assert!(matches!(
                Asked::new().of(&pool, IDS[0]).await,
                Err(AttemptError::Overloaded)
            ));
            Asked::new().of(&pool, IDS[1]).await.expect("served");
            Asked::new()
                .of(&pool, IDS[0])
                .await
                .expect("served, and not turned away by what was said before");
        };
        future::zip(engine, router).await;
        assert_eq!(pool.open_connections(), 2);
    });
}

#[test]
fn a_connection_over_which_half_a_line_or_too_much_came_meanwhile_is_not_used_again() {
    let foreign = served(IDS[2]).repeat(2_000);
    for meanwhile in [b"{\"t\":\"served\",".to_vec(), foreign] {
        play(async move |_| {
            let (peer, pool) = (Peer::new(), pool());
            pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
            let engine = async {
                let mut first = peer.accept().await;
                first.next().await.expect("the first request");
                first.say(&served(IDS[0])).await;
                first
            };
            let (came, mut first) = future::zip(Asked::new().of(&pool, IDS[0]), engine).await;
            came.expect("served");
            // It has come to this side once the peer's write is done: both are one kernel's.
            first.say(&meanwhile).await;
            let engine = async {
                let mut second = peer.accept().await;
                assert_eq!(
                    id_of(&second.next().await.expect("the second request")),
                    IDS[1]
                );
                second.say(&served(IDS[1])).await;
            };
            let (came, ()) = future::zip(Asked::new().of(&pool, IDS[1]), engine).await;
            came.expect("served");
        });
    }
}

#[test]
fn answers_to_others_without_end_end_the_attempt_and_hold_up_nobody() {
    play(async |ex| {
        let (peer, pool) = (Peer::new(), pool());
        pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
        let addr = peer.addr;
        ex.spawn(async move {
            let mut line = peer.accept().await;
            line.next().await.expect("a request");
            let foreign = served(IDS[2]).repeat(100);
            for _ in 0..4_000 {
                line.say(&foreign).await;
            }
        });
        let asked = Asked::new();
        let came = asked.of(&pool, IDS[0]).await;
        assert!(
            matches!(came, Err(AttemptError::Line(_))),
            "{addr}: {came:?}"
        );
        assert!(Instant::now() < asked.deadline, "before its time");
    });
}

#[test]
fn nothing_more_is_fetched_for_a_client_that_has_left_and_the_connection_is_used_again() {
    play(async |_| {
        let long = Duration::from_secs(20);
        // Room for one result of several pages.
        let manner = PoolConfig {
            connect_timeout: long,
            idle_timeout: long,
            probe_timeout: long,
            max_connections: 8,
            max_result_bytes: 20_000,
        };
        let pool = ConnectionPool::new(manner, Rc::new(RetryLimiter::new(None)));
        let peer = Peer::new();
        pool.update_endpoint(&member(peer.addr, Phase::Ready, 0));
        let pages = |id: &str| {
            format!(
                "{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":3}},\"b\":\"{ROWS}\"}}\n"
            )
            .into_bytes()
        };
        let (holds, left, next) = (Asked::new(), Asked::new(), Asked::new());
        let engine = async {
            let mut first = peer.accept().await;
            first.next().await.expect("a request");
            first.say(&pages(IDS[0])).await;
            first.next().await.expect("it fetches, and has the room");
            let mut second = peer.accept().await;
            second.next().await.expect("a request");
            second.say(&pages(IDS[1])).await;
            left.token.abandon();
            let said = second.next().await.expect("a command");
            assert!(
                said.contains("\"END\"") && !said.contains("FETCH"),
                "{said}"
            );
            assert_eq!(
                id_of(&second.next().await.expect("the next request")),
                IDS[2]
            );
            second.say(&served(IDS[2])).await;
            first
        };
        let second = async {
            until(|| holds.token.has_started()).await;
            let came = left.of(&pool, IDS[1]).await;
            assert!(matches!(came, Err(AttemptError::Abandoned)), "{came:?}");
            next.of(&pool, IDS[2]).await.expect("served");
        };
        let others = future::zip(engine, second);
        let first = async {
            let _ = holds.of(&pool, IDS[0]).await;
            panic!("its pages never come");
        };
        future::or(first, async {
            others.await;
        })
        .await;
    });
}

#[test]
fn two_connections_that_are_given_back_at_once_make_room_for_two_that_wait() {
    play(async |_| {
        let long = Duration::from_secs(20);
        let manner = PoolConfig {
            connect_timeout: long,
            idle_timeout: long,
            probe_timeout: long,
            max_connections: 2,
            max_result_bytes: 1 << 20,
        };
        let pool = ConnectionPool::new(manner, Rc::new(RetryLimiter::new(None)));
        let (first, second) = (Peer::new(), Peer::new());
        pool.update_endpoint(&member(first.addr, Phase::Ready, 0));
        pool.update_endpoint(&Endpoint {
            id: 8,
            ..member(second.addr, Phase::Ready, 0)
        });
        let (a, b, c, d) = (Asked::new(), Asked::new(), Asked::new(), Asked::new());
        let waiting = async {
            until(|| a.token.has_started() && b.token.has_started()).await;
            let to_the_other = async |asked: &Asked, id| asked.at(8, &pool, id).await.map(|_| ());
            future::zip(
                to_the_other(&c, "9b1f03aa5c7e2d51"),
                to_the_other(&d, "9b1f03aa5c7e2d52"),
            )
            .await
        };
        let running = future::zip(a.of(&pool, IDS[0]), b.of(&pool, IDS[1]));
        let engines = async {
            let (mut x, mut y) = (first.accept().await, first.accept().await);
            let (of_x, of_y) = (
                x.next().await.expect("a request"),
                y.next().await.expect("a request"),
            );
            // Both wait for a descriptor by now: nothing else is due on this thread.
            for _ in 0..20 {
                future::yield_now().await;
            }
            Timer::after(Duration::from_millis(20)).await;
            x.say(&served(&id_of(&of_x))).await;
            y.say(&served(&id_of(&of_y))).await;
            // Neither is answered before both have come.
            let mut both = [second.accept().await, second.accept().await];
            for line in &mut both {
                let id = id_of(&line.next().await.expect("a request"));
                line.say(&served(&id)).await;
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
