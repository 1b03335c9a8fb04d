//! A pool of the connections to all engines. Each connection carries one request at a time, so that an invalid,
//! truncated or lost response costs its connection but affects no other request. Idle connections are kept for reuse.

mod exchange;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future;
use hoptiller_platform_protocol::{Endpoint, ResponseBody, engine_command};
use hoptiller_policy::{EngineId, LoadReport};

use crate::attempt::AttemptError;
use crate::connection::Connection;
use crate::connection_limiter::{ConnectionLimiter, ConnectionPermit};
use crate::endpoint::EndpointState;
use crate::result_memory::ResultMemory;
use crate::retry_limiter::RetryLimiter;

/// The timeouts and limits of a connection pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The time after which idle connections are closed, before engines close them.
    pub idle_timeout: Duration,
    /// The timeout of a health check.
    pub health_check_timeout: Duration,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum size of all results of several pages that are being fetched.
    pub max_result_bytes: u64,
}

/// A pool of the connections to all engines.
pub struct ConnectionPool {
    config: PoolConfig,
    engines: RefCell<HashMap<EngineId, EngineEntry>>,
    limiter: ConnectionLimiter,
    result_memory: ResultMemory,
    /// Notifies waiting attempts that a connection or memory may have become free.
    freed: Event,
    health_checks_sent: Cell<u64>,
    retries: Rc<RetryLimiter>,
}

/// An engine and its idle connections.
struct EngineEntry {
    endpoint: EndpointState,
    /// The number of attempts and health checks in flight.
    in_flight: usize,
    /// The idle connections, with the most recently used one last.
    idle: Vec<Connection>,
}

/// Counts an attempt or a health check as in flight until it is dropped, which keeps the engine's entry in the pool.
struct InFlightGuard<'a> {
    pool: &'a ConnectionPool,
    engine: EngineId,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut engines = self.pool.engines.borrow_mut();
        if let Some(entry) = engines.get_mut(&self.engine) {
            entry.in_flight -= 1;
            if entry.endpoint.is_removed() && entry.in_flight == 0 {
                engines.remove(&self.engine);
            }
        }
        drop(engines);
        self.pool.freed.notify(usize::MAX);
    }
}

impl ConnectionPool {
    /// Creates a pool without engines.
    pub fn new(config: PoolConfig, retries: Rc<RetryLimiter>) -> ConnectionPool {
        ConnectionPool {
            config,
            engines: RefCell::default(),
            limiter: ConnectionLimiter::new(config.max_connections),
            result_memory: ResultMemory::new(config.max_result_bytes),
            freed: Event::new(),
            health_checks_sent: Cell::new(0),
            retries,
        }
    }

    /// Applies an update of an endpoint. Engines are identified by id, as an address may pass to another engine.
    pub fn update_endpoint(&self, endpoint: &Endpoint) {
        let mut engines = self.engines.borrow_mut();
        let id = EngineId(endpoint.id);
        let state = EndpointState::new(endpoint);
        let entry = engines.entry(id).or_insert_with(|| EngineEntry {
            endpoint: state,
            in_flight: 0,
            idle: Vec::new(),
        });
        if !entry.endpoint.is_same_process(&state) || state.is_removed() {
            entry.idle.clear();
        }
        entry.endpoint = state;
        if state.is_removed() && entry.in_flight == 0 {
            engines.remove(&id);
        }
    }

    /// Removes the engines that are missing from a complete endpoint list.
    pub fn retain_listed(&self, listed: &[Endpoint]) {
        self.engines.borrow_mut().retain(|id, entry| {
            if !listed.iter().any(|endpoint| endpoint.id == id.0) {
                entry.endpoint.mark_removed();
                entry.idle.clear();
            }
            !entry.endpoint.is_removed() || entry.in_flight > 0
        });
    }

    /// Returns the state of an engine's endpoint, or `None` if it was removed or never listed.
    pub fn endpoint(&self, engine: EngineId) -> Option<EndpointState> {
        self.engines
            .borrow()
            .get(&engine)
            .map(|entry| entry.endpoint)
            .filter(|endpoint| !endpoint.is_removed())
    }

    /// Returns the number of connections, including those being established.
    pub fn open_connections(&self) -> usize {
        self.limiter.open()
    }

    /// Returns the number of engines in the pool, including removed ones with attempts or health checks in flight.
    pub fn known_engines(&self) -> usize {
        self.engines.borrow().len()
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn close_expired_connections(&self) {
        let timeout = self.config.idle_timeout;
        for entry in self.engines.borrow_mut().values_mut() {
            entry
                .idle
                .retain(|connection| connection.idle_since().elapsed() < timeout);
        }
        self.freed.notify(usize::MAX);
    }

    /// Checks an engine's health by a load request. Returns its load report, or `None` if none arrives within the
    /// timeout.
    pub async fn check_health(&self, engine: EngineId) -> Option<LoadReport> {
        let _in_flight = self.track_in_flight(engine)?;
        self.health_checks_sent
            .set(self.health_checks_sent.get() + 1);
        let tag = format!("load-{}", self.health_checks_sent.get());
        let exchange = async {
            let (mut connection, _) = self.acquire(engine, None).await.ok()?;
            connection
                .write_all(engine_command::encode_load_request(&tag).as_bytes())
                .await
                .ok()?;
            loop {
                if let ResponseBody::Load(report) = connection.response(&tag).await.ok()? {
                    self.release(engine, connection);
                    return report;
                }
            }
        };
        future::or(exchange, async {
            Timer::after(self.config.health_check_timeout).await;
            None
        })
        .await
    }

    /// Counts an attempt or a health check as in flight until the guard is dropped. Returns `None` for an engine that
    /// is not listed.
    fn track_in_flight(&self, engine: EngineId) -> Option<InFlightGuard<'_>> {
        self.engines
            .borrow_mut()
            .get_mut(&engine)
            .filter(|entry| !entry.endpoint.is_removed())?
            .in_flight += 1;
        Some(InFlightGuard { pool: self, engine })
    }

    /// Returns a connection to an engine, on which this request was not sent before, and whether the connection was
    /// idle in the pool.
    async fn acquire(
        &self,
        engine: EngineId,
        request: Option<u64>,
    ) -> Result<(Connection, bool), AttemptError> {
        loop {
            let Some(mut connection) = self.take_idle(engine, request) else {
                break;
            };
            if connection.is_usable() {
                return Ok((connection, true));
            }
        }
        let endpoint = self.endpoint(engine).ok_or(AttemptError::UnknownEngine)?;
        let deadline = Instant::now() + self.config.connect_timeout;
        let permit = self.acquire_permit(deadline).await;
        let permit = permit.ok_or(AttemptError::ConnectionLimitReached)?;
        let connect = Async::<TcpStream>::connect(endpoint.addr);
        let stream = future::or(connect, async {
            Timer::at(deadline).await;
            Err(io::ErrorKind::TimedOut.into())
        });
        let stream = stream.await.map_err(AttemptError::Connect)?;
        let _ = stream.get_ref().set_nodelay(true);
        Ok((Connection::new(stream, endpoint, permit), false))
    }

    /// Takes the most recently used idle connection that has not carried this request, so that a late response to an
    /// earlier attempt of the same request is not mistaken for the response to this one.
    fn take_idle(&self, engine: EngineId, request: Option<u64>) -> Option<Connection> {
        let mut engines = self.engines.borrow_mut();
        let idle = &mut engines.get_mut(&engine)?.idle;
        let position = idle.iter().rposition(|connection| {
            request.is_none_or(|request| !connection.has_carried(request))
        })?;
        Some(idle.remove(position))
    }

    /// Acquires a permit for a new connection, closing the longest idle connection if necessary.
    async fn acquire_permit(&self, deadline: Instant) -> Option<ConnectionPermit> {
        loop {
            let freed = self.freed.listen();
            if self.limiter.is_exhausted() {
                self.close_longest_idle();
            }
            if let Some(permit) = self.limiter.try_acquire() {
                return Some(permit);
            }
            let in_time = future::or(
                async {
                    freed.await;
                    true
                },
                async {
                    Timer::at(deadline).await;
                    false
                },
            );
            if !in_time.await {
                return None;
            }
        }
    }

    fn close_longest_idle(&self) {
        let mut engines = self.engines.borrow_mut();
        let longest_idle = engines
            .values_mut()
            .filter(|entry| !entry.idle.is_empty())
            .min_by_key(|entry| entry.idle[0].idle_since());
        if let Some(entry) = longest_idle {
            entry.idle.remove(0);
        }
    }

    /// Returns a connection to the pool after its request has ended.
    fn release(&self, engine: EngineId, mut connection: Connection) {
        connection.mark_idle();
        if let Some(entry) = self.engines.borrow_mut().get_mut(&engine)
            && !entry.endpoint.is_removed()
            && entry.endpoint.is_same_process(connection.endpoint())
            && connection.is_reusable()
        {
            entry.idle.push(connection);
        }
        // `notify(1)` does nothing while a waiter that was already notified has not run, so two releases in a row would
        // wake only one waiter.
        self.freed.notify(usize::MAX);
    }
}
