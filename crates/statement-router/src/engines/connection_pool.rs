//! Connections to engines, kept open between requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::Async;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Request, Response};
use hoptiller_policy::EngineId;
use hoptiller_statement::extra::{self, ConfigVersions};

use super::observer::SendRejected;

/// Maximum number of idle connections to one engine; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 64;

type EngineConnection = Connection<Async<TcpStream>>;

/// An engine and where it is reached.
#[derive(Clone, Copy, Debug)]
pub(super) struct Endpoint {
    pub(super) engine: EngineId,
    pub(super) addr: SocketAddr,
}

/// The timeouts of an exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// Of opening a connection.
    pub(super) connect: Duration,
    /// Of the request and its response.
    pub(super) response: Duration,
}

/// Why an authorized exchange has no response.
pub(super) enum ExchangeError {
    /// The request was not authorized, and nothing was sent.
    NotAuthorized(SendRejected),
    /// The exchange has failed.
    Failed(ClientError),
}

/// Idle connections, by engine.
pub(super) struct ConnectionPool {
    limits: Limits,
    idle: RefCell<HashMap<EngineId, IdleConnections>>,
}

struct IdleConnections {
    addr: SocketAddr,
    connections: Vec<EngineConnection>,
}

impl ConnectionPool {
    pub(super) fn new(limits: Limits) -> ConnectionPool {
        ConnectionPool {
            limits,
            idle: RefCell::default(),
        }
    }

    /// One exchange, over an idle connection where there is one that the engine has not closed.
    ///
    /// An engine can close an idle connection just as the request is written. That is [`ClientError::Broken`], and the
    /// request may have been executed: it is not repeated here.
    pub(super) async fn exchange(
        &self,
        endpoint: Endpoint,
        request: &Request,
        timeouts: Timeouts,
    ) -> Result<Response, ClientError> {
        let connection = self.open(endpoint, timeouts).await?;
        self.exchange_over(connection, endpoint, request, timeouts)
            .await
    }

    /// The same for a request that is authorized once there is a connection, right before its first byte is written. The
    /// configuration versions that authorize it are sent along.
    pub(super) async fn exchange_authorized(
        &self,
        endpoint: Endpoint,
        request: &Request,
        timeouts: Timeouts,
        authorize: impl FnOnce() -> Result<Option<ConfigVersions>, SendRejected>,
    ) -> Result<Response, ExchangeError> {
        let connection = self
            .open(endpoint, timeouts)
            .await
            .map_err(ExchangeError::Failed)?;
        let response = match authorize() {
            Err(rejected) => {
                self.release(endpoint, connection);
                return Err(ExchangeError::NotAuthorized(rejected));
            }
            Ok(None) => {
                self.exchange_over(connection, endpoint, request, timeouts)
                    .await
            }
            Ok(Some(versions)) => {
                let versions = format_versions(&versions);
                let request = request
                    .clone()
                    .with_header(extra::CONFIG_VERSIONS, &versions);
                self.exchange_over(connection, endpoint, &request, timeouts)
                    .await
            }
        };
        response.map_err(ExchangeError::Failed)
    }

    async fn open(
        &self,
        endpoint: Endpoint,
        timeouts: Timeouts,
    ) -> Result<EngineConnection, ClientError> {
        match self.take_idle(endpoint) {
            Some(connection) => Ok(connection),
            None => Connection::open(endpoint.addr, timeouts.connect, self.limits).await,
        }
    }

    async fn exchange_over(
        &self,
        mut connection: EngineConnection,
        endpoint: Endpoint,
        request: &Request,
        timeouts: Timeouts,
    ) -> Result<Response, ClientError> {
        let response = connection.exchange(request, timeouts.response).await;
        if response.is_ok() && connection.is_reusable() {
            self.release(endpoint, connection);
        }
        response
    }

    fn take_idle(&self, endpoint: Endpoint) -> Option<EngineConnection> {
        let mut idle = self.idle.borrow_mut();
        let engine_connections = idle.get_mut(&endpoint.engine)?;
        if engine_connections.addr != endpoint.addr {
            idle.remove(&endpoint.engine);
            return None;
        }
        while let Some(connection) = engine_connections.connections.pop() {
            if !connection.is_stale() {
                return Some(connection);
            }
        }
        None
    }

    fn release(&self, endpoint: Endpoint, connection: EngineConnection) {
        let mut idle = self.idle.borrow_mut();
        let engine_connections = idle
            .entry(endpoint.engine)
            .or_insert_with(|| IdleConnections {
                addr: endpoint.addr,
                connections: Vec::new(),
            });
        let has_room = engine_connections.connections.len() < MAX_IDLE_CONNECTIONS;
        if engine_connections.addr == endpoint.addr && has_room {
            engine_connections.connections.push(connection);
        }
    }

    /// Closes the idle connections to an engine.
    pub(super) fn close_idle(&self, engine: EngineId) {
        self.idle.borrow_mut().remove(&engine);
    }
}

/// The value of [`extra::CONFIG_VERSIONS`]: `2..3`, or `2..3 doubt`.
fn format_versions(versions: &ConfigVersions) -> String {
    let doubt = if versions.in_doubt { " doubt" } else { "" };
    format!("{}..{}{doubt}", versions.in_force, versions.enforced)
}
