//! Utilities for tests of the connection pool.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::future;
use hoptiller_platform_protocol::{Endpoint, Phase, StatementCommand};
use hoptiller_platform_router::attempt::{
    AttemptError, AttemptRequest, CompleteResponse, NotSentReason,
};
use hoptiller_platform_router::cancel::CancelToken;
use hoptiller_platform_router::connection_pool::{ConnectionPool, PoolConfig};
use hoptiller_platform_router::retry_limiter::RetryLimiter;
use hoptiller_policy::EngineId;

use super::{ManualEngine, wait_until};

pub const IDS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

/// Creates a pool whose timeouts are longer than any of its tests.
pub fn pool_with(
    max_connections: usize,
    max_result_bytes: u64,
    retries: RetryLimiter,
) -> ConnectionPool {
    let timeout = Duration::from_secs(20);
    let config = PoolConfig {
        connect_timeout: timeout,
        idle_timeout: timeout,
        health_check_timeout: timeout,
        max_connections,
        max_result_bytes,
    };
    ConnectionPool::new(config, Rc::new(retries))
}

/// Creates a pool with no limit on retries.
pub fn pool() -> ConnectionPool {
    pool_with(8, 1 << 20, RetryLimiter::new(None))
}

/// Returns the endpoint of engine 7.
pub fn listed_endpoint(addr: SocketAddr, phase: Phase, started_ms: u64) -> Endpoint {
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

/// The parameters of an attempt, which each test changes as needed.
pub struct TestAttempt {
    pub token: CancelToken,
    pub deadline: Instant,
    pub send_by: Option<Instant>,
    pub is_retry: bool,
}

impl TestAttempt {
    pub fn new() -> TestAttempt {
        let deadline = Instant::now() + Duration::from_secs(15);
        TestAttempt {
            token: CancelToken::default(),
            deadline,
            send_by: None,
            is_retry: false,
        }
    }

    pub async fn run(
        &self,
        pool: &ConnectionPool,
        id: &str,
    ) -> Result<CompleteResponse, AttemptError> {
        self.run_at(7, pool, id).await
    }

    pub async fn run_at(
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

/// Runs an attempt whose connection is established only after `event` has completed, and returns why it was not sent.
pub async fn not_sent_reason_after(
    attempt: &TestAttempt,
    event: impl AsyncFnOnce(&ConnectionPool, SocketAddr),
) -> NotSentReason {
    let (manual_engine, pool) = (ManualEngine::with_full_backlog().await, pool());
    pool.update_endpoint(&listed_endpoint(manual_engine.addr, Phase::Ready, 0));
    let meanwhile = async {
        wait_until(|| pool.open_connections() == 1).await;
        event(&pool, manual_engine.addr).await;
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
        other => panic!("expected an attempt that is not sent: {other:?}"),
    }
}
