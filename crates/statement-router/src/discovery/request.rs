//! Requests to discovery and to engines, bounded by the lease under which they are sent.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_statement::extra;

use super::Discovery;
use super::adaptive_timeout::AdaptiveTimeout;
use crate::fleet_member::LeasedOperation;

/// Maximum bytes of a response.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

impl Discovery {
    /// Sends a GET request within a timeout that adapts to its server. Under a lease, the request carries the fencing
    /// token and times out no later than the lease expires.
    pub(super) async fn get(
        &self,
        addr: SocketAddr,
        target: &str,
        operation: Option<&LeasedOperation>,
        timeout: &RefCell<AdaptiveTimeout>,
    ) -> Result<Response, ClientError> {
        let started = Instant::now();
        let limit = timeout.borrow().current();
        let result = self.get_within(addr, target, operation, limit).await;
        timeout.borrow_mut().record(&result, started.elapsed());
        result
    }

    async fn get_within(
        &self,
        addr: SocketAddr,
        target: &str,
        operation: Option<&LeasedOperation>,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let mut request = Request::new(Method::Get, target)
            .with_header(extra::ROUTER, &self.settings.router.name)
            .with_header("Connection", "close");
        if let Some(operation) = operation {
            let lease = format!("{}#{}", operation.shard(), operation.fencing_token());
            request = request.with_header(extra::LEASE, &lease);
        }
        let limits = Limits {
            max_body_bytes: MAX_RESPONSE_BYTES,
            ..Limits::default()
        };
        let connect_timeout = self.settings.discovery.timeout;
        let mut connection = Connection::open(addr, connect_timeout, limits).await?;
        // The lease is checked again right before sending: it may have expired while the connection was opened.
        let remaining = match operation {
            Some(operation) => operation.remaining().ok_or_else(lease_expired)?,
            None => timeout,
        };
        connection.exchange(&request, timeout.min(remaining)).await
    }
}

fn lease_expired() -> ClientError {
    ClientError::Connect(io::Error::other("the task lease has expired"))
}
