//! The connections to all engines. A connection carries one request at a time, so a response that is invalid, cut off or
//! lost makes its connection useless and affects no other request. Idle connections are kept for reuse.

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

/// Timeouts and limits.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time, before engines do.
    pub idle_timeout: Duration,
    /// The timeout of a health check.
    pub probe_timeout: Duration,
    /// Connections at most.
    pub max_connections: usize,
    /// Bytes of results that are being fetched at most, all together.
    pub max_result_bytes: u64,
}

/// The connections to all engines.
pub struct ConnectionPool {
    config: PoolConfig,
    engines: RefCell<HashMap<EngineId, EngineEntry>>,
    limiter: ConnectionLimiter,
    result_memory: ResultMemory,
    /// Notified when a connection or memory may have become free.
    freed: Event,
    probes_sent: Cell<u64>,
    retries: Rc<RetryLimiter>,
}

/// An engine and its idle connections.
struct EngineEntry {
    endpoint: EndpointState,
    /// Attempts and health checks in flight.
    in_flight: usize,
    /// Idle connections, the one used last at the end.
    idle: Vec<Connection>,
}

/// Keeps an engine's entry while an attempt or a health check is in flight.
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
    /// A pool without engines.
    pub fn new(config: PoolConfig, retries: Rc<RetryLimiter>) -> ConnectionPool {
        ConnectionPool {
            config,
            engines: RefCell::default(),
            limiter: ConnectionLimiter::new(config.max_connections),
            result_memory: ResultMemory::new(config.max_result_bytes),
            freed: Event::new(),
            probes_sent: Cell::new(0),
            retries,
        }
    }

    /// Applies an update of an endpoint. Engines are known by id, as an address may pass to another engine.
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

    /// Removes the engines that are not on a complete endpoint list.
    pub fn retain_listed(&self, listed: &[Endpoint]) {
        self.engines.borrow_mut().retain(|id, entry| {
            if !listed.iter().any(|endpoint| endpoint.id == id.0) {
                entry.endpoint.mark_removed();
                entry.idle.clear();
            }
            !entry.endpoint.is_removed() || entry.in_flight > 0
        });
    }

    /// The state of an engine's endpoint; `None` if it was removed or never listed.
    pub fn endpoint(&self, engine: EngineId) -> Option<EndpointState> {
        self.engines
            .borrow()
            .get(&engine)
            .map(|entry| entry.endpoint)
            .filter(|endpoint| !endpoint.is_removed())
    }

    /// Connections, including those that are being established.
    pub fn open_connections(&self) -> usize {
        self.limiter.open()
    }

    /// Engines with an entry.
    pub fn known_engines(&self) -> usize {
        self.engines.borrow().len()
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        let timeout = self.config.idle_timeout;
        for entry in self.engines.borrow_mut().values_mut() {
            entry
                .idle
                .retain(|connection| connection.idle_since().elapsed() < timeout);
        }
        self.freed.notify(usize::MAX);
    }

    /// Requests a load report from an engine; `None` if there is none within the timeout.
    pub async fn probe(&self, engine: EngineId) -> Option<LoadReport> {
        let _in_flight = self.enter(engine)?;
        self.probes_sent.set(self.probes_sent.get() + 1);
        let tag = format!("load-{}", self.probes_sent.get());
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
            Timer::after(self.config.probe_timeout).await;
            None
        })
        .await
    }

    fn enter(&self, engine: EngineId) -> Option<InFlightGuard<'_>> {
        self.engines
            .borrow_mut()
            .get_mut(&engine)
            .filter(|entry| !entry.endpoint.is_removed())?
            .in_flight += 1;
        Some(InFlightGuard { pool: self, engine })
    }

    /// A connection to an engine that has not carried this request, and whether it was used before.
    async fn acquire(
        &self,
        engine: EngineId,
        request: Option<u64>,
    ) -> Result<(Connection, bool), AttemptError> {
        loop {
            let Some(mut connection) = self.take_idle(engine, request) else {
                break;
            };
            if connection.is_healthy() {
                return Ok((connection, true));
            }
        }
        let endpoint = self.endpoint(engine).ok_or(AttemptError::UnknownEngine)?;
        let deadline = Instant::now() + self.config.connect_timeout;
        let permit = self.acquire_permit(deadline).await;
        let permit = permit.ok_or(AttemptError::NoDescriptor)?;
        let connect = Async::<TcpStream>::connect(endpoint.addr);
        let stream = future::or(connect, async {
            Timer::at(deadline).await;
            Err(io::ErrorKind::TimedOut.into())
        });
        let stream = stream.await.map_err(AttemptError::Connect)?;
        let _ = stream.get_ref().set_nodelay(true);
        Ok((Connection::new(stream, endpoint, permit), false))
    }

    /// Takes the idle connection used last that has not carried this request: a late response to an earlier attempt of
    /// the same request must not be taken for the response to this one.
    fn take_idle(&self, engine: EngineId, request: Option<u64>) -> Option<Connection> {
        let mut engines = self.engines.borrow_mut();
        let idle = &mut engines.get_mut(&engine)?.idle;
        let position = idle.iter().rposition(|connection| {
            request.is_none_or(|request| !connection.has_carried(request))
        })?;
        Some(idle.remove(position))
    }

    /// Acquires the right to a connection, if need be by closing the one that has been idle longest.
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

    /// Returns a connection whose request has ended.
    fn release(&self, engine: EngineId, mut connection: Connection) {
        connection.mark_idle();
        if let Some(entry) = self.engines.borrow_mut().get_mut(&engine)
            && !entry.endpoint.is_removed()
            && entry.endpoint.is_same_process(connection.endpoint())
            && connection.is_reusable()
        {
            entry.idle.push(connection);
        }
        // All are notified: of two notifications of one waiter each, the second is lost if the first has not run yet.
        self.freed.notify(usize::MAX);
    }
}
