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

/// An engine and its address.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineEndpoint {
    pub(super) engine: EngineId,
    pub(super) addr: SocketAddr,
}

/// The timeouts of an exchange.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// Timeout of opening a connection.
    pub(super) connect: Duration,
    /// Timeout of the request and its response.
    pub(super) response: Duration,
}

/// An error of an authorized exchange.
pub(super) enum ExchangeError {
    /// The request was not authorized, and nothing was sent.
    NotAuthorized(SendRejected),
    /// The exchange failed.
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

    /// Performs an exchange over an idle connection that the engine has not closed, or over a new one.
    ///
    /// An engine can close an idle connection while the request is being written. The result is
    /// [`ClientError::Broken`]: the request may have been executed, so it is not repeated here.
    pub(super) async fn exchange(
        &self,
        endpoint: EngineEndpoint,
        request: &Request,
        timeouts: Timeouts,
    ) -> Result<Response, ClientError> {
        let connection = self.open(endpoint, timeouts).await?;
        self.exchange_over(connection, endpoint, request, timeouts)
            .await
    }

    /// Performs an exchange that is authorized once there is a connection, right before the first byte of the request
    /// is written. The request carries the configuration versions that authorize it.
    pub(super) async fn exchange_authorized(
        &self,
        endpoint: EngineEndpoint,
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
        endpoint: EngineEndpoint,
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
        endpoint: EngineEndpoint,
        request: &Request,
        timeouts: Timeouts,
    ) -> Result<Response, ClientError> {
        let response = connection.exchange(request, timeouts.response).await;
        if response.is_ok() && connection.is_reusable() {
            self.release(endpoint, connection);
        }
        response
    }

    fn take_idle(&self, endpoint: EngineEndpoint) -> Option<EngineConnection> {
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

    fn release(&self, endpoint: EngineEndpoint, connection: EngineConnection) {
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

/// Returns the value of [`extra::CONFIG_VERSIONS`]: `2..3`, or `2..3 doubt`.
fn format_versions(versions: &ConfigVersions) -> String {
    let doubt = if versions.in_doubt { " doubt" } else { "" };
    format!("{}..{}{doubt}", versions.in_force, versions.enforced)
}
